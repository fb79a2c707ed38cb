package place_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// Guards against a burst of long prompts that fills all engines, so that a short urgent prompt has to wait
// for their prefill.
func TestUrgentCallOvertakesABurstOfLongPrompts(t *testing.T) {
	ts := newTestScheduler(t, 2)
	ts.grant(ts.request(2, "s1", 8000, 4000))
	ts.grant(ts.request(2, "s2", 8000, 4000))
	for range 5 {
		ts.waits(ts.request(2, "s3", 8000, 4000))
	}
	urgent := ts.grant(ts.request(0, "s4", 500, 200))
	assert.Assert(t, urgent.Predicted < 400*time.Millisecond, "%s", urgent.Predicted)
}

// Guards against serving calls that have missed their target before calls that can still be on time, as
// at the end of a burst.
func TestOnTimeCallsPrecedeLateCalls(t *testing.T) {
	ts := newTestScheduler(t, 1)
	first := ts.grant(ts.request(2, "s1", 8000, 4000))
	late := ts.request(2, "s2", 8000, 4000)
	ts.waits(late)
	ts.now = ts.now.Add(500 * time.Millisecond)
	onTime := ts.request(2, "s3", 8000, 4000)
	granted := ts.grant(onTime)
	assert.Equal(t, granted.Call, onTime.Call)
	ts.handle(place.Ended{Call: first.Call, Ending: place.EndServed})
	ts.handle(place.Began{Call: granted.Call})
	actions := ts.advance(time.Second)
	assert.Assert(t, len(actions) <= 1)
}

// The load is far above capacity. Guards against calls that wait until their deadline although their
// refusal is foreseeable when they arrive.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	ts := newTestScheduler(t, 1)
	var refused *place.Refuse
	for range 60 {
		for _, action := range ts.handle(ts.request(2, "s", 8000, 4000)) {
			if r, ok := action.(place.Refuse); ok && refused == nil {
				refused = &r
			}
		}
	}
	assert.Assert(t, refused != nil)
	assert.Equal(t, refused.Reason, place.RefusedOverload)
	assert.Assert(t, refused.Backlog > 3*time.Second && refused.Backlog < 6*time.Second, "%s", refused.Backlog)
	assert.Assert(t, refused.RetryAfter > time.Second && refused.RetryAfter <= 4*time.Second, "%s", refused.RetryAfter)

	urgent := ts.request(0, "s4", 500, 200)
	for _, action := range ts.handle(urgent) {
		_, isRefusal := action.(place.Refuse)
		assert.Assert(t, !isRefusal, "urgent call refused behind less urgent ones")
	}
}

// Guards against overcommitted engine memory, which makes engines preempt calls and recompute their
// prompts.
func TestEngineMemoryIsNotOvercommitted(t *testing.T) {
	ts := newTestScheduler(t, 1)
	granted := 0
	for range 20 {
		for _, action := range ts.handle(ts.request(2, "s", 8000, 4000)) {
			if g, ok := action.(place.Grant); ok {
				granted++
				ts.now = ts.now.Add(200 * time.Millisecond)
				ts.handle(place.Began{Call: g.Call})
			}
		}
	}
	assert.Assert(t, granted*12000 <= 90000 && granted >= 6, "%d granted", granted)
}

// Guards against a waiting call that is kept beyond its deadline.
func TestWaitingCallIsRefusedAtItsDeadline(t *testing.T) {
	ts := newTestScheduler(t, 1)
	ts.grant(ts.request(2, "s1", 8000, 4000))
	waiting := ts.request(2, "s2", 8000, 4000)
	waiting.Deadline = ts.now.Add(400 * time.Millisecond)
	ts.handle(place.Pause{Upstream: "engine-0", For: 5 * time.Second})
	ts.waits(waiting)
	actions := ts.advance(400 * time.Millisecond)
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].(place.Refuse).Reason, place.RefusedDeadline)
}

// Guards against a host that ignores the work of other hosts at an engine.
func TestWorkOfOtherHostsIsCounted(t *testing.T) {
	ts := newTestScheduler(t, 2)
	ts.handle(place.ReceiveReport{Report: spoke.HostReport{
		Host: "host-2", Sequence: 1,
		Upstreams: []spoke.HostUpstreamLoad{{Upstream: "engine-0", Prefill: 12000, Memory: 12000, Runs: 1}},
	}})
	for _, session := range []string{"a", "b", "c"} {
		granted := ts.grant(ts.request(0, session, 500, 200))
		assert.Equal(t, granted.Upstream.ID, spoke.UpstreamID("engine-1"))
	}
	ts.advance(4 * time.Second)
	assert.Equal(t, len(ts.handle(place.RemovePeer{Host: "host-2"})), 0)
}

// Guards against an upstream that fails often and still gets as many calls as the others, and against one
// that never gets calls again.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	ts := newTestScheduler(t, 0)
	counts := make(map[spoke.UpstreamID]int)
	for range 60 {
		granted := ts.grant(ts.plainRequest())
		counts[granted.Upstream.ID]++
		ending := place.EndServed
		if granted.Upstream.ID == "desk-0" {
			ending = place.EndBroken
		}
		ts.now = ts.now.Add(20 * time.Millisecond)
		ts.handle(place.Ended{Call: granted.Call, Ending: ending})
	}
	assert.Assert(t, counts["desk-0"] < 15, "%v", counts)

	ts.now = ts.now.Add(time.Minute)
	seen := make(map[spoke.UpstreamID]bool)
	for range 5 {
		seen[ts.grant(ts.plainRequest()).Upstream.ID] = true
	}
	assert.Assert(t, seen["desk-0"], "upstream never tried again")
}

// Guards against plain upstreams that get more calls than they accept and reject the rest.
func TestPlainUpstreamsAreNotOverfilled(t *testing.T) {
	ts := newTestScheduler(t, 0)
	granted := 0
	for range 20 {
		for _, action := range ts.handle(ts.plainRequest()) {
			if _, ok := action.(place.Grant); ok {
				granted++
			}
		}
	}
	assert.Equal(t, granted, 8)
}

// Guards against retries that multiply the load when upstreams fail together.
func TestRetriesStayWithinBudget(t *testing.T) {
	ts := newTestScheduler(t, 0)
	allowed := 0
	for range 100 {
		request := ts.plainRequest()
		request.IsRetry = true
		for _, action := range ts.handle(request) {
			switch a := action.(type) {
			case place.Grant:
				allowed++
				ts.handle(place.Ended{Call: a.Call, Ending: place.EndServed})
			case place.Refuse:
				assert.Equal(t, a.Reason, place.RefusedBudget)
			}
		}
	}
	assert.Assert(t, allowed > 0 && allowed <= 7, "%d", allowed)
	ts.now = ts.now.Add(11 * time.Second)
	request := ts.plainRequest()
	request.IsRetry = true
	ts.grant(request)
}

// Guards against further calls to an engine whose machine has failed while its connections stay open.
func TestStalledEngineGetsNoMoreCalls(t *testing.T) {
	ts := newTestScheduler(t, 2)
	stalled := ts.grant(ts.request(0, "s", 500, 200))
	ts.now = ts.now.Add(time.Second)
	for i := range 5 {
		granted := ts.grant(ts.request(0, fmt.Sprint(i), 500, 200))
		assert.Assert(t, granted.Upstream.ID != stalled.Upstream.ID)
		ts.handle(place.Began{Call: granted.Call})
		ts.handle(place.Ended{Call: granted.Call, Ending: place.EndServed})
	}
	ts.handle(place.Ended{Call: stalled.Call, Ending: place.EndBroken})
	assert.Assert(t, ts.scheduler.LoadReport(ts.now, false).Doubts[stalled.Upstream.ID] > 0)
}

// An engine becomes free while all hosts have calls waiting. Guards against hosts that all place calls
// there before they receive each other's load reports.
func TestHostsDrawForAFreeEngine(t *testing.T) {
	placed := 0
	const hosts, rounds = 7, 200
	for round := range rounds {
		for number := range hosts {
			ts := newTestSchedulerFor(t, spoke.HostID(fmt.Sprint("host-", number)), 1)
			ts.now = ts.now.Add(time.Duration(round) * 25 * time.Millisecond)
			for other := range hosts {
				if other != number {
					ts.handle(place.ReceiveReport{Report: spoke.HostReport{
						Host: spoke.HostID(fmt.Sprint("host-", other)), Sequence: 1,
						Waiting: []spoke.WaitingWork{{Service: models, Urgency: 2, Tokens: 12000}},
					}})
				}
			}
			placed += len(ts.handle(ts.request(2, "s", 8000, 4000)))
		}
	}
	assert.Assert(t, placed > rounds*7/10 && placed < rounds*13/10, "%d calls in %d rounds", placed, rounds)
}

// Engines are paused for seconds, and callers of streams disconnect after two seconds without an event.
// Guards against calls that wait until their caller has disconnected, which then receives neither the
// refusal nor the time after which to retry.
func TestWaitingCallIsRefusedBeforeItsCallerLeaves(t *testing.T) {
	ts := newTestScheduler(t, 1)
	ts.handle(place.Pause{Upstream: "engine-0", For: 5 * time.Second})
	waiting := ts.request(2, "s1", 8000, 4000)
	waiting.LeavesAt = ts.now.Add(2 * time.Second)
	ts.waits(waiting)
	assert.Equal(t, len(ts.advance(1500*time.Millisecond)), 0)
	actions := ts.advance(450 * time.Millisecond)
	assert.Equal(t, len(actions), 1)
	refused := actions[0].(place.Refuse)
	assert.Equal(t, refused.Reason, place.RefusedDeadline)
	assert.Assert(t, refused.RetryAfter > 0)
}

// Two of three engines do not respond during a burst. Guards against counting their capacity, so that
// calls are accepted which then wait until they are late.
func TestUnusableEnginesAddNoCapacity(t *testing.T) {
	accepted := func(engines int) (accepted int) {
		ts := newTestScheduler(t, engines)
		for i := 1; i < engines; i++ {
			ts.handle(place.Pause{Upstream: engine(i).ID, For: time.Minute})
		}
		for range 200 {
			for _, action := range ts.handle(ts.request(2, "s", 8000, 4000)) {
				if _, isRefusal := action.(place.Refuse); isRefusal {
					return accepted
				}
			}
			accepted++
		}
		return accepted
	}
	assert.Equal(t, accepted(3), accepted(1))
}
