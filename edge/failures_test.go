package edge_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

const (
	callCount   = 10000
	callerCount = 8
	// failurePeriod is the number of calls of one caller during which both engines fail, in one of
	// periodsPerFailure periods. All failures together are fewer than the log lines of level warning
	// that are allowed in a second, since a fast machine makes all calls within one.
	failurePeriod     = 20
	periodsPerFailure = 20
)

// Guards against failed calls that are missing in the log: if an engine's own failure is logged at the
// level of successes, it is dropped with most of those under load.
func TestEveryFailedCallIsLogged(t *testing.T) {
	d := start(t, 2)
	var mu sync.Mutex
	var failed []string
	var group sync.WaitGroup
	for caller := range callerCount {
		group.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for count := range callCount / callerCount {
				if caller == 0 {
					d.failPeriodically(count)
				}
				id := fmt.Sprintf("many-%d-%d", caller, count)
				response, err := client.Do(d.request(bookCall(id)))
				if err == nil {
					_ = response.Body.Close()
				}
				if err != nil || response.StatusCode >= http.StatusBadRequest {
					mu.Lock()
					failed = append(failed, id)
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	assert.Assert(t, len(failed) > 50, "only %d calls failed", len(failed))
	t.Logf("%d of %d calls failed", len(failed), callCount)
	awaitTrue(t, "failed calls are missing in the log", func() bool { return len(d.missingInLog(failed)) == 0 })
}

// failPeriodically makes both engines fail during the last period of each cycle.
func (d *deployment) failPeriodically(count int) {
	switch count % (failurePeriod * periodsPerFailure) {
	case 0:
		d.setBehaviour(fake.Serve)
	case failurePeriod * (periodsPerFailure - 1):
		d.setBehaviour(fake.Fail)
	}
}

// missingInLog returns the ids for which the log has no line of level warning.
func (d *deployment) missingInLog(ids []string) []string {
	raw, err := os.ReadFile(filepath.Join(d.logs, "host-1.log"))
	assert.NilError(d.t, err)
	logged := make(map[string]bool)
	for line := range strings.Lines(string(raw)) {
		if _, rest, found := strings.Cut(line, `"request-id":"`); found && strings.Contains(line, `"level":"warning"`) {
			id, _, _ := strings.Cut(rest, `"`)
			logged[id] = true
		}
	}
	var missing []string
	for _, id := range ids {
		if !logged[id] {
			missing = append(missing, id)
		}
	}
	return missing
}
