package place_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// mostSlowed is how many times longer an account may take beside a long queue. A look at all waiting
// calls and all engines takes some ten thousand times as long.
const mostSlowed = 500

// overloaded returns a scheduler of 24 engines whose slots are taken, and 200 calls that wait.
func overloaded(t *testing.T) (tr *trial, running []place.Grant) {
	t.Helper()
	tr = newTrial(t, 24)
	for i := range 24 * 16 {
		ask := tr.ask(0, fmt.Sprint("session-", i%7), 20, 20)
		running = append(running, tr.grant(ask))
	}
	for i := range 200 {
		tr.waits(tr.ask(spoke.Priority(i%3), fmt.Sprint("session-", i%11), 200, 100))
	}
	return tr, running
}

// Replays a burst at hosts with a fifth of a core, which spent all of it on looks at every waiting
// call and every engine for each account of another host, and so were late with what they could
// serve. Guards against messages whose cost grows with the queue.
func TestOverloadedHostDoesNotSearchForEachMessage(t *testing.T) {
	busy, _ := overloaded(t)
	slowed := float64(timeOfAccounts(busy)) / float64(timeOfAccounts(newTrial(t, 24)))
	assert.Assert(t, slowed < mostSlowed, "%.0f times as long", slowed)
}

func timeOfAccounts(tr *trial) time.Duration {
	begin := time.Now()
	for number := range uint64(200) {
		share := spoke.HostReport{Host: "host-2", Sequence: number + 1, Upstreams: []spoke.HostUpstreamLoad{{Upstream: "engine-1", Runs: 1}}}
		tr.handle(place.ReceiveReport{Report: share})
	}
	return time.Since(begin)
}

// Guards against a free slot that waits for the next look, and against the wrong call that takes it.
func TestFreeSlotGoesToTheFirstWaitingCallAtOnce(t *testing.T) {
	tr, running := overloaded(t)
	tr.now = tr.now.Add(10 * time.Millisecond)
	granted := tr.grant(place.Ended{Call: running[0].Call})
	assert.Equal(t, granted.Urgency, spoke.Priority(0))
	assert.Equal(t, granted.Upstream.ID, running[0].Upstream.ID)
}

func BenchmarkAccountsAtOverload(b *testing.B) {
	tr := newTrial(&testing.T{}, 24)
	for range 24*16 + 200 {
		tr.handle(tr.ask(2, "session", 200, 100))
	}
	number := uint64(0)
	for b.Loop() {
		number++
		tr.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: number}})
	}
}

// Replays engines that leave without a notice while calls run on them and others wait. Guards against
// waiting calls that are offered to an engine that is no longer listed when one of its calls ends.
func TestProgressOfAnUnlistedEngineOffersItNothing(t *testing.T) {
	tr := newTrial(t, 1)
	var running []place.Grant
	for range 16 {
		running = append(running, tr.grant(tr.ask(0, "session", 20, 20)))
	}
	tr.waits(tr.ask(0, "session", 200, 100))
	tr.handle(place.SetUpstreams{Removed: []spoke.UpstreamID{"engine-0"}})
	assert.Equal(t, len(tr.handle(place.Ended{Call: running[0].Call})), 0)
	assert.Equal(t, len(tr.handle(place.Began{Call: running[1].Call})), 0)
}
