package edge_test

import (
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against hosts that take the loss of their own ways for crashes of all engines, and refuse the requests that were
// under way for long after.
func TestLostWaysAreNoCrashes(t *testing.T) {
	hosts := startCutOff(t)
	for _, engine := range hosts[0].engines {
		engine.SetEventInterval(200 * time.Millisecond)
	}
	var streams sync.WaitGroup
	for _, host := range hosts {
		for range 3 {
			streams.Go(func() { _, _ = host.send(quoteCall("r-cut")) })
		}
	}
	awaitTrue(t, "no engine runs the streams", func() bool { return hosts[0].runs() == 3*len(hosts) })
	for _, host := range hosts {
		host.ways.cut(cutResets)
	}
	streams.Wait()
	for _, host := range hosts {
		host.ways.restore()
	}
	for _, host := range hosts {
		awaitTrue(t, "host does not serve after the cut", func() bool {
			got, err := host.send(quoteCall("r-after"))
			return err == nil && got.status == http.StatusOK && got.body == wholeStream
		})
		assert.Check(t, host.crashes() == 0, "%d crashes were counted", host.crashes())
		assert.Check(t, !host.hasLogged("quarantined"))
	}
}

// restore ends the cuts of all ways of the host.
func (w *engineWays) restore() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for address, way := range w.ways {
		way.SetTarget(address)
		way.Restore()
	}
}

// crashes returns how many crashes of upstreams the host has counted.
func (h cutOffHost) crashes() int {
	h.t.Helper()
	var counts struct {
		Crashes int `json:"crashes"`
	}
	assert.NilError(h.t, json.Unmarshal([]byte(h.metricsPage()), &counts))
	return counts.Crashes
}
