package edge_test

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkFirstEvent measures by how much a host delays the first event, compared with a direct
// connection to the engine. Direct and relayed calls alternate and reuse their connections.
func BenchmarkFirstEvent(b *testing.B) {
	d := start(b, 1)
	engine := d.engines[0]
	var direct, relayed []time.Duration
	for i := range b.N {
		unrelayed := d.request(chatCall(fmt.Sprintf("direct-%d", i)))
		unrelayed.URL.Host = engine.Address()
		unrelayed.Header.Set("Magnoliaspoke-Expect-Instance", engine.ID)
		direct = append(direct, timeToFirstEvent(b, unrelayed))
		relayed = append(relayed, timeToFirstEvent(b, d.request(chatCall(fmt.Sprintf("relayed-%d", i)))))
	}
	for _, share := range []float64{0.5, 0.99} {
		added := percentile(relayed, share) - percentile(direct, share)
		b.ReportMetric(float64(added.Microseconds()), fmt.Sprintf("added-us-p%.0f", 100*share))
	}
}

func timeToFirstEvent(b *testing.B, request *http.Request) time.Duration {
	b.Helper()
	begin := time.Now()
	response, err := http.DefaultClient.Do(request)
	assert.NilError(b, err)
	defer response.Body.Close()
	assert.Equal(b, response.StatusCode, http.StatusOK)
	lines := bufio.NewScanner(response.Body)
	assert.Assert(b, lines.Scan())
	took := time.Since(begin)
	for lines.Scan() {
		// The rest is read so that the connection can be reused.
		continue
	}
	return took
}

func percentile(times []time.Duration, share float64) time.Duration {
	sorted := slices.Sorted(slices.Values(times))
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}
