package place_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// maxSlowdown is how many times longer a report may take with a long queue. Matching all waiting calls with
// all engines takes about 10,000 times as long.
const maxSlowdown = 500

// overloaded returns a scheduler of 24 engines whose slots are taken, and 200 calls that wait.
func overloaded(t *testing.T) (ts *testScheduler, running []place.Grant) {
	t.Helper()
	ts = newTestScheduler(t, 24)
	for i := range 24 * 16 {
		request := ts.request(0, fmt.Sprint("session-", i%7), 20, 20)
		running = append(running, ts.grant(request))
	}
	for i := range 200 {
		ts.waits(ts.request(spoke.Priority(i%3), fmt.Sprint("session-", i%11), 200, 100))
	}
	return ts, running
}

// In a burst, hosts with a fifth of a core spent all CPU time on matching every waiting call with every
// engine for each report of another host, and were late with the calls that they could serve. Guards
// against messages whose cost grows with the queue.
func TestCostOfReportsIsIndependentOfTheQueue(t *testing.T) {
	busy, _ := overloaded(t)
	slowdown := float64(timeOfReports(busy)) / float64(timeOfReports(newTestScheduler(t, 24)))
	assert.Assert(t, slowdown < maxSlowdown, "%.0f times as long", slowdown)
}

func timeOfReports(ts *testScheduler) time.Duration {
	begin := time.Now()
	for number := range uint64(200) {
		report := spoke.HostReport{Host: "host-2", Sequence: number + 1, Upstreams: []spoke.HostUpstreamLoad{{Upstream: "engine-1", Runs: 1}}}
		ts.handle(place.ReceiveReport{Report: report})
	}
	return time.Since(begin)
}

// Guards against a free slot that stays unused until the next tick, and against giving it to the wrong call.
func TestFreeSlotGoesToTheFirstWaitingCallAtOnce(t *testing.T) {
	ts, running := overloaded(t)
	ts.now = ts.now.Add(10 * time.Millisecond)
	granted := ts.grant(place.Ended{Call: running[0].Call})
	assert.Equal(t, granted.Urgency, spoke.Priority(0))
	assert.Equal(t, granted.Upstream.ID, running[0].Upstream.ID)
}

func BenchmarkReportsAtOverload(b *testing.B) {
	ts := newTestScheduler(&testing.T{}, 24)
	for range 24*16 + 200 {
		ts.handle(ts.request(2, "session", 200, 100))
	}
	number := uint64(0)
	for b.Loop() {
		number++
		ts.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: number}})
	}
}

// Engines disappear without notice while calls run on them and others wait. Guards against placing waiting
// calls at an engine that is no longer listed when one of its calls begins or ends.
func TestUnlistedEngineGetsNoWaitingCalls(t *testing.T) {
	ts := newTestScheduler(t, 1)
	var running []place.Grant
	for range 16 {
		running = append(running, ts.grant(ts.request(0, "session", 20, 20)))
	}
	ts.waits(ts.request(0, "session", 200, 100))
	ts.handle(place.SetUpstreams{Removed: []spoke.UpstreamID{"engine-0"}})
	assert.Equal(t, len(ts.handle(place.Ended{Call: running[0].Call})), 0)
	assert.Equal(t, len(ts.handle(place.Began{Call: running[1].Call})), 0)
}
