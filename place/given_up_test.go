package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// Guards against an engine without progress that gets calls again since another host gave up a call to it.
func TestCallsGivenUpElsewhereShowNoProgress(t *testing.T) {
	for name, ending := range map[string]place.Ending{"caller left": place.EndCancelled, "connection broken": place.EndBroken, "unreachable": place.EndUnreachable} {
		t.Run(name, func(t *testing.T) {
			other, ts := newTestSchedulerFor(t, "host-2", 1), newTestScheduler(t, 1)
			hangs := other.grant(other.request(0, "s", 20, 20))
			ts.grant(ts.request(0, "s", 20, 20))
			ts.handle(place.ReceiveReport{Report: other.scheduler.LoadReport(other.now, false)})
			ts.now = ts.now.Add(2 * time.Second)
			ts.waits(ts.request(0, "s", 20, 20))

			other.handle(place.Ended{Call: hangs.Call, Ending: ending})
			report := other.scheduler.LoadReport(other.now, false)
			report.Doubts = nil
			ts.handle(place.ReceiveReport{Report: report})

			assert.Equal(t, len(ts.handle(place.Tick{})), 0)
			ts.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: 10, Upstreams: []spoke.HostUpstreamLoad{{Upstream: "engine-0", Runs: 1, Prefill: 20}}}})
			ts.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: 11, Upstreams: []spoke.HostUpstreamLoad{{Upstream: "engine-0", Runs: 1}}}})
			assert.Equal(t, len(ts.handle(place.Tick{})), 1, "a call that begins elsewhere shows progress")
		})
	}
}
