package place_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// An engine's shared machine turns slow for half a second. Guards against sending long prompts there after
// the engine has reported its slowness to this host or to another.
func TestEngineOnASlowMachineIsAvoidedTemporarily(t *testing.T) {
	for name, report := range map[string]func(ts *testScheduler, first place.Grant){
		"reported to this host": func(ts *testScheduler, first place.Grant) {
			ts.handle(place.Began{Call: first.Call, Load: &spoke.UpstreamLoad{Running: 1, Slots: 16, Slowness: 2.5}})
		},
		"reported to another host": func(ts *testScheduler, first place.Grant) {
			ts.handle(place.Began{Call: first.Call})
			reported := spoke.UpstreamSlowness{Upstream: first.Upstream.ID, Slowness: 2.5, Age: 20 * time.Millisecond}
			ts.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: 1, Slowness: []spoke.UpstreamSlowness{reported}}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			ts := newTestScheduler(t, 2)
			first := ts.grant(ts.request(1, "session", 0, 200))
			ts.now = ts.now.Add(50 * time.Millisecond)
			report(ts, first)
			ts.handle(place.Ended{Call: first.Call})
			ts.now = ts.now.Add(50 * time.Millisecond)
			for i := range 2 {
				granted := ts.grant(ts.request(1, fmt.Sprint("long-", i), 0, 1500))
				assert.Assert(t, granted.Upstream.ID != first.Upstream.ID)
			}
			ts.now = ts.now.Add(3 * time.Second)
			later := []place.Grant{ts.grant(ts.request(1, "later", 0, 1500)), ts.grant(ts.request(1, "last", 0, 1500))}
			assert.Assert(t, later[0].Upstream.ID == first.Upstream.ID || later[1].Upstream.ID == first.Upstream.ID)
		})
	}
}

// Guards against a report of another host with a time in the future or an extreme slowness that keeps its
// effect for ever.
func TestInvalidSlownessDoesNotLast(t *testing.T) {
	for _, reported := range []spoke.UpstreamSlowness{
		{Upstream: "engine-0", Slowness: 1e300, Age: 0}, {Upstream: "engine-0", Slowness: 3, Age: -time.Hour}, {Upstream: "engine-0", Slowness: -1},
	} {
		ts := newTestScheduler(t, 1)
		ts.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: 1, Slowness: []spoke.UpstreamSlowness{reported}}})
		for range 100 {
			granted := ts.grant(ts.request(1, "session", 0, 200))
			ts.now = ts.now.Add(20 * time.Millisecond)
			ts.handle(place.Began{Call: granted.Call, Load: &spoke.UpstreamLoad{Running: 1, Slots: 16, Slowness: 1}})
			ts.handle(place.Ended{Call: granted.Call})
		}
		healthy := ts.grant(ts.request(1, "session", 0, 200))
		assert.Assert(t, healthy.Predicted < 40*time.Millisecond, "%s after %v", healthy.Predicted, reported)
	}
}
