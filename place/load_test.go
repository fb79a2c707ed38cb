package place_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// Replays a burst of long prompts. Guards against engines that are filled with them, so that a
// short urgent prompt has to wait until they are read.
func TestUrgentCallOvertakesABurstOfLongPrompts(t *testing.T) {
	tr := newTrial(t, 2)
	tr.grant(tr.ask(2, "s1", 8000, 4000))
	tr.grant(tr.ask(2, "s2", 8000, 4000))
	for range 5 {
		tr.waits(tr.ask(2, "s3", 8000, 4000))
	}
	urgent := tr.grant(tr.ask(0, "s4", 500, 200))
	assert.Assert(t, urgent.Predicted < 400*time.Millisecond, "%s", urgent.Predicted)
}

// Replays the end of a burst. Guards against calls that have missed their target and are still
// served before those that can be on time.
func TestCallsThatCanBeOnTimeGoBeforeLateOnes(t *testing.T) {
	tr := newTrial(t, 1)
	first := tr.grant(tr.ask(2, "s1", 8000, 4000))
	late := tr.ask(2, "s2", 8000, 4000)
	tr.waits(late)
	tr.now = tr.now.Add(500 * time.Millisecond)
	onTime := tr.ask(2, "s3", 8000, 4000)
	granted := tr.grant(onTime)
	assert.Equal(t, granted.Call, onTime.Call)
	tr.handle(place.Ended{Call: first.Call, Ending: place.EndServed})
	tr.handle(place.Began{Call: granted.Call})
	actions := tr.pass(time.Second)
	assert.Assert(t, len(actions) <= 1)
}

// Replays load far above capacity. Guards against calls that wait until their time is over
// although that is known when they arrive.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	tr := newTrial(t, 1)
	var refused *place.Refuse
	for range 60 {
		for _, action := range tr.handle(tr.ask(2, "s", 8000, 4000)) {
			if r, ok := action.(place.Refuse); ok && refused == nil {
				refused = &r
			}
		}
	}
	assert.Assert(t, refused != nil)
	assert.Equal(t, refused.Reason, place.RefusedOverload)
	assert.Assert(t, refused.Backlog > 3*time.Second && refused.Backlog < 6*time.Second, "%s", refused.Backlog)
	assert.Assert(t, refused.RetryAfter > time.Second && refused.RetryAfter <= 4*time.Second, "%s", refused.RetryAfter)

	urgent := tr.ask(0, "s4", 500, 200)
	for _, action := range tr.handle(urgent) {
		_, isRefusal := action.(place.Refuse)
		assert.Assert(t, !isRefusal, "urgent call refused behind less urgent ones")
	}
}

// Guards against engines whose memory is filled, which read prompts again after they preempted them.
func TestMemoryIsNotFilled(t *testing.T) {
	tr := newTrial(t, 1)
	granted := 0
	for range 20 {
		for _, action := range tr.handle(tr.ask(2, "s", 8000, 4000)) {
			if g, ok := action.(place.Grant); ok {
				granted++
				tr.now = tr.now.Add(200 * time.Millisecond)
				tr.handle(place.Began{Call: g.Call})
			}
		}
	}
	assert.Assert(t, granted*12000 <= 90000 && granted >= 6, "%d granted", granted)
}

// Guards against a call that is not given up when its time is over.
func TestWaitingCallEndsAtItsTime(t *testing.T) {
	tr := newTrial(t, 1)
	tr.grant(tr.ask(2, "s1", 8000, 4000))
	waiting := tr.ask(2, "s2", 8000, 4000)
	waiting.Deadline = tr.now.Add(400 * time.Millisecond)
	tr.handle(place.Pause{Upstream: "engine-0", For: 5 * time.Second})
	tr.waits(waiting)
	actions := tr.pass(400 * time.Millisecond)
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].(place.Refuse).Reason, place.RefusedTime)
}

// Guards against a host that fills engines which other hosts use.
func TestWorkOfOtherHostsCounts(t *testing.T) {
	tr := newTrial(t, 2)
	tr.handle(place.ReceiveReport{Report: spoke.HostReport{
		Host: "host-2", Sequence: 1,
		Upstreams: []spoke.HostUpstreamLoad{{Upstream: "engine-0", Prefill: 12000, Memory: 12000, Runs: 1}},
	}})
	for _, session := range []string{"a", "b", "c"} {
		granted := tr.grant(tr.ask(0, session, 500, 200))
		assert.Equal(t, granted.Upstream.ID, spoke.UpstreamID("engine-1"))
	}
	tr.pass(4 * time.Second)
	assert.Equal(t, len(tr.handle(place.RemovePeer{Host: "host-2"})), 0)
}

// Guards against an upstream that fails often and gets as many calls as the others.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	tr := newTrial(t, 0)
	counts := make(map[spoke.UpstreamID]int)
	for range 60 {
		granted := tr.grant(tr.plainAsk())
		counts[granted.Upstream.ID]++
		ending := place.EndServed
		if granted.Upstream.ID == "desk-0" {
			ending = place.EndBroken
		}
		tr.now = tr.now.Add(20 * time.Millisecond)
		tr.handle(place.Ended{Call: granted.Call, Ending: ending})
	}
	assert.Assert(t, counts["desk-0"] < 15, "%v", counts)

	tr.now = tr.now.Add(time.Minute)
	seen := make(map[spoke.UpstreamID]bool)
	for range 5 {
		seen[tr.grant(tr.plainAsk()).Upstream.ID] = true
	}
	assert.Assert(t, seen["desk-0"], "upstream never tried again")
}

// Guards against plain upstreams that get more calls than they run and turn the rest away.
func TestPlainUpstreamsAreNotOverfilled(t *testing.T) {
	tr := newTrial(t, 0)
	granted := 0
	for range 20 {
		for _, action := range tr.handle(tr.plainAsk()) {
			if _, ok := action.(place.Grant); ok {
				granted++
			}
		}
	}
	assert.Equal(t, granted, 8)
}

// Guards against repeated sendings that multiply load when engines fail together.
func TestRetryBudget(t *testing.T) {
	tr := newTrial(t, 0)
	allowed := 0
	for range 100 {
		ask := tr.plainAsk()
		ask.IsRetry = true
		for _, action := range tr.handle(ask) {
			switch a := action.(type) {
			case place.Grant:
				allowed++
				tr.handle(place.Ended{Call: a.Call, Ending: place.EndServed})
			case place.Refuse:
				assert.Equal(t, a.Reason, place.RefusedBudget)
			}
		}
	}
	assert.Assert(t, allowed > 0 && allowed <= 7, "%d", allowed)
	tr.now = tr.now.Add(11 * time.Second)
	ask := tr.plainAsk()
	ask.IsRetry = true
	tr.grant(ask)
}

// Replays an engine whose machine goes dark. Guards against calls that are sent to it one after
// the other while its connections stay open.
func TestSilentEngineGetsNoMoreCalls(t *testing.T) {
	tr := newTrial(t, 2)
	dark := tr.grant(tr.ask(0, "s", 500, 200))
	tr.now = tr.now.Add(time.Second)
	for i := range 5 {
		granted := tr.grant(tr.ask(0, fmt.Sprint(i), 500, 200))
		assert.Assert(t, granted.Upstream.ID != dark.Upstream.ID)
		tr.handle(place.Began{Call: granted.Call})
		tr.handle(place.Ended{Call: granted.Call, Ending: place.EndServed})
	}
	tr.handle(place.Ended{Call: dark.Call, Ending: place.EndBroken})
	assert.Assert(t, tr.scheduler.LoadReport(tr.now, false).Paused[dark.Upstream.ID] > 0)
}

// Replays an engine that becomes free while all hosts have calls waiting. Guards against hosts
// that fill it together before they hear of each other.
func TestHostsTakeTurnsAtAFreeEngine(t *testing.T) {
	placed := 0
	const hosts, rounds = 7, 200
	for round := range rounds {
		for number := range hosts {
			tr := newTrialOf(t, spoke.HostID(fmt.Sprint("host-", number)), 1)
			tr.now = tr.now.Add(time.Duration(round) * 25 * time.Millisecond)
			for other := range hosts {
				if other != number {
					tr.handle(place.ReceiveReport{Report: spoke.HostReport{
						Host: spoke.HostID(fmt.Sprint("host-", other)), Sequence: 1,
						Waiting: []spoke.WaitingWork{{Service: models, Urgency: 2, Tokens: 12000}},
					}})
				}
			}
			placed += len(tr.handle(tr.ask(2, "s", 8000, 4000)))
		}
	}
	assert.Assert(t, placed > rounds*7/10 && placed < rounds*13/10, "%d calls in %d rounds", placed, rounds)
}

// Replays engines that are held for seconds, while callers of streams leave after two seconds without an
// event. Guards against calls that are held until their caller has left, and so never learns that they
// have not run and when to come back.
func TestWaitingCallIsRefusedBeforeItsCallerLeaves(t *testing.T) {
	tr := newTrial(t, 1)
	tr.handle(place.Pause{Upstream: "engine-0", For: 5 * time.Second})
	waiting := tr.ask(2, "s1", 8000, 4000)
	waiting.LeavesAt = tr.now.Add(2 * time.Second)
	tr.waits(waiting)
	assert.Equal(t, len(tr.pass(1500*time.Millisecond)), 0)
	actions := tr.pass(450 * time.Millisecond)
	assert.Equal(t, len(actions), 1)
	refused := actions[0].(place.Refuse)
	assert.Equal(t, refused.Reason, place.RefusedTime)
	assert.Assert(t, refused.RetryAfter > 0)
}

// Replays a burst while two of three engines have gone dark. Guards against calls that are taken since
// engines count which do no work, and then wait until they are late.
func TestEnginesOutOfReachAreNoCapacity(t *testing.T) {
	taken := func(engines int) (taken int) {
		tr := newTrial(t, engines)
		for i := 1; i < engines; i++ {
			tr.handle(place.Pause{Upstream: engine(i).ID, For: time.Minute})
		}
		for range 200 {
			for _, action := range tr.handle(tr.ask(2, "s", 8000, 4000)) {
				if _, isRefusal := action.(place.Refuse); isRefusal {
					return taken
				}
			}
			taken++
		}
		return taken
	}
	assert.Equal(t, taken(3), taken(1))
}
