package place_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// Guards against a host without reports of the others that takes them to have learned of a limit when it did,
// and sends a call while their last calls before that still count.
func TestUnreportedCallsCountUntilOtherHostsKnewOfTheLimit(t *testing.T) {
	const notice, window = 500 * time.Millisecond, 4 * time.Second
	ts := newTestScheduler(t, 1)
	hosts := []spoke.HostID{"host-1", "host-2", "host-3", "host-4", "host-5", "host-6"}
	ts.handle(place.SetCell{Count: 1, Hosts: hosts, Members: hosts})
	var calls []spoke.CallNumber
	for range 5 {
		calls = append(calls, ts.grant(ts.request(0, "s", 100, 100)).Call)
	}
	ts.now = ts.now.Add(20 * time.Millisecond)
	for _, call := range calls {
		ts.handle(place.LimitNamed{Call: call, Limit: 4})
		ts.handle(place.Ended{Call: call, Ending: place.EndServed})
	}
	learned := ts.now
	for !tryGrant(ts) {
		ts.now = ts.now.Add(10 * time.Millisecond)
		assert.Assert(t, ts.now.Sub(learned) < window+2*notice, "no call at all")
	}
	assert.Assert(t, ts.now.Sub(learned) > window+notice, "sent after %s", ts.now.Sub(learned))
}

// tryGrant makes a call and reports whether it is placed at once.
func tryGrant(ts *testScheduler) bool {
	for _, action := range ts.handle(ts.request(0, "s", 100, 100)) {
		if _, ok := action.(place.Grant); ok {
			return true
		}
	}
	return false
}

// Guards against a host that is cut off from the others and learns of a limit shortly before them: it sent a
// call while the last ones that they sent before they learned of it still counted.
func TestCutOffHostLeavesRoomForLastCallsOfOthers(t *testing.T) {
	f := newFleet(t, 6, 3)
	f.random = rand.New(rand.NewPCG(2, 0))
	f.callsPerSecond, f.brokenShare, f.shedShare, f.resumedShare = 30, 0.025, 0.025, 0.025
	f.at(7, func() { f.hosts[4].isCut = true })
	f.at(8.479, func() { f.limit("engine-0", 0.358) })
	f.run(15)
	f.assertKept()
}

// Guards against a host that is cut off from the others and sends a call once its own last ones before a limit
// have left the span, while those that the others sent later still count.
func TestCutOffHostLeavesRoomForBurstOfOthers(t *testing.T) {
	f := newFleet(t, 7, 3)
	f.random = rand.New(rand.NewPCG(0xa3a48bb, 0))
	f.callsPerSecond = 27.284396268427372
	f.at(6.0703125, func() { f.limit("engine-0", 6.947265625) })
	f.at(14, func() { f.limit("engine-2", 12) })
	h := f.hosts
	disturbances["fence"](f, h[3], 14, 1.34375)
	disturbances["cut"](f, h[1], 13.6484375, 6)
	disturbances["restart"](f, h[0], 12.01683033604693, 0)
	disturbances["join"](f, nil, 10.210857113525329, 0.40728759765625)
	disturbances["fence"](f, h[1], 8.68551254272461, 3.928706593811512)
	f.run(22)
	f.assertKept()
}
