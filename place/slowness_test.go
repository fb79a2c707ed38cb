package place_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// Replays engines on shared machines, one of which turns slow for half a second. Guards against long
// prompts that are sent there although it has just said so, to this host or to another.
func TestEngineOnASlowMachineIsAvoidedWhileItIs(t *testing.T) {
	for name, tell := range map[string]func(tr *trial, first place.Grant){
		"said to this host": func(tr *trial, first place.Grant) {
			tr.handle(place.Began{Call: first.Call, Load: &spoke.UpstreamLoad{Running: 1, Slots: 16, Slowness: 2.5}})
		},
		"said to another host": func(tr *trial, first place.Grant) {
			tr.handle(place.Began{Call: first.Call})
			said := spoke.UpstreamSlowness{Upstream: first.Upstream.ID, Slowness: 2.5, Age: 20 * time.Millisecond}
			tr.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: 1, Slowness: []spoke.UpstreamSlowness{said}}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			tr := newTrial(t, 2)
			first := tr.grant(tr.ask(1, "session", 0, 200))
			tr.now = tr.now.Add(50 * time.Millisecond)
			tell(tr, first)
			tr.handle(place.Ended{Call: first.Call})
			tr.now = tr.now.Add(50 * time.Millisecond)
			for i := range 2 {
				granted := tr.grant(tr.ask(1, fmt.Sprint("long-", i), 0, 1500))
				assert.Assert(t, granted.Upstream.ID != first.Upstream.ID)
			}
			tr.now = tr.now.Add(3 * time.Second)
			later := []place.Grant{tr.grant(tr.ask(1, "later", 0, 1500)), tr.grant(tr.ask(1, "last", 0, 1500))}
			assert.Assert(t, later[0].Upstream.ID == first.Upstream.ID || later[1].Upstream.ID == first.Upstream.ID)
		})
	}
}

// Guards against a word of another host that counts for ever, since it says that it was said in the
// future or that work takes absurdly long.
func TestAbsurdSlownessDoesNotLast(t *testing.T) {
	for _, said := range []spoke.UpstreamSlowness{
		{Upstream: "engine-0", Slowness: 1e300, Age: 0}, {Upstream: "engine-0", Slowness: 3, Age: -time.Hour}, {Upstream: "engine-0", Slowness: -1},
	} {
		tr := newTrial(t, 1)
		tr.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: 1, Slowness: []spoke.UpstreamSlowness{said}}})
		for range 100 {
			granted := tr.grant(tr.ask(1, "session", 0, 200))
			tr.now = tr.now.Add(20 * time.Millisecond)
			tr.handle(place.Began{Call: granted.Call, Load: &spoke.UpstreamLoad{Running: 1, Slots: 16, Slowness: 1}})
			tr.handle(place.Ended{Call: granted.Call})
		}
		sound := tr.grant(tr.ask(1, "session", 0, 200))
		assert.Assert(t, sound.Predicted < 40*time.Millisecond, "%s after %v", sound.Predicted, said)
	}
}
