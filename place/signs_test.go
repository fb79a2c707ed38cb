package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// Replays an engine that says in an answer that it leaves while the directory lags and lists it as
// ready, drops its entry and lists it again. Guards against calls that reach it after its notice.
func TestEngineThatSaysThatItLeavesGetsNoMoreCalls(t *testing.T) {
	tr := newTrial(t, 1)
	first := tr.grant(tr.ask(0, "s", 100, 100))
	tr.handle(place.Began{Call: first.Call, IsLeaving: true})
	assert.Equal(t, tr.refusal(tr.ask(0, "s", 100, 100)).Reason, place.RefusedNoUpstream)
	tr.list(engine(0))
	assert.Equal(t, tr.refusal(tr.ask(0, "s", 100, 100)).Reason, place.RefusedNoUpstream)
	tr.handle(place.SetUpstreams{Removed: []spoke.UpstreamID{"engine-0"}})
	tr.list(engine(0))
	assert.Equal(t, tr.refusal(tr.ask(0, "s", 100, 100)).Reason, place.RefusedNoUpstream)

	other := newTrialOf(t, "host-2", 1)
	waiting := other.ask(0, "s", 100, 100)
	other.handle(place.Pause{Upstream: "engine-0", For: time.Second})
	other.waits(waiting)
	other.handle(place.ReceiveReport{Report: tr.scheduler.LoadReport(tr.now, true)})
	assert.Equal(t, other.refusal(other.ask(0, "s", 100, 100)).Reason, place.RefusedNoUpstream)

	restarted := engine(0)
	restarted.Started = time.UnixMilli(5)
	tr.list(restarted)
	tr.grant(tr.ask(0, "s", 100, 100))
}

// Guards against a mark that reaches only the hosts of one cell, or those that missed one account.
func TestLeavingIsToldToAllHosts(t *testing.T) {
	tr := newTrial(t, 1)
	tr.handle(place.SetCell{Cell: 0, Count: 2})
	first := tr.grant(tr.ask(0, "s", 100, 100))
	tr.handle(place.Ended{Call: first.Call, IsLeaving: true})
	far, hasNews := tr.scheduler.ForOtherCells(tr.scheduler.LoadReport(tr.now, false))
	assert.Assert(t, hasNews)
	want := []spoke.UpstreamStart{{ID: "engine-0"}}
	assert.DeepEqual(t, far.Leaving, want)
	assert.Equal(t, len(tr.scheduler.LoadReport(tr.now, false).Leaving), 0)
	assert.DeepEqual(t, tr.scheduler.LoadReport(tr.now, true).Leaving, want)
	far, hasNews = tr.scheduler.OtherCellReport(tr.now, 0)
	assert.Assert(t, hasNews)
	assert.DeepEqual(t, far.Leaving, want)
}

// Replays engines that turn calls away and ask for a pause. Guards against calls, retries and second
// choices that reach one of them in its pause, and against a pause without end.
func TestEngineThatAsksForAPauseGetsIt(t *testing.T) {
	tr := newTrial(t, 2)
	first := tr.grant(tr.ask(0, "s", 100, 100))
	tr.handle(place.Ended{Call: first.Call, Ending: place.EndRefused, Pause: 1500 * time.Millisecond})
	for tr.now.Before(time.Unix(1001, 400000000)) {
		other := tr.grant(tr.ask(0, "s", 100, 100))
		assert.Assert(t, other.Upstream.ID != first.Upstream.ID)
		tr.handle(place.Ended{Call: other.Call})
		tr.now = tr.now.Add(100 * time.Millisecond)
	}
	// What other hosts know of the weights that it loads does not end the engine's own pause.
	tr.handle(place.Pause{Upstream: first.Upstream.ID})
	repeat := tr.ask(0, "s", 100, 100)
	repeat.IsRetry, repeat.Tried = true, []spoke.UpstreamID{"engine-0", "engine-1"}
	assert.Equal(t, tr.refusal(repeat).Reason, place.RefusedNoUpstream)
	tr.now = tr.now.Add(time.Second)
	seen := make(map[spoke.UpstreamID]bool)
	for range 8 {
		seen[tr.grant(tr.ask(0, "s", 4000, 4000)).Upstream.ID] = true
	}
	assert.Assert(t, seen[first.Upstream.ID])
}

// Replays a service whose engines all ask for pauses. Guards against calls that wait for their
// deadline although no engine wants them, and that come back before one does.
func TestCallsAreRefusedWhileAllEnginesAskForPauses(t *testing.T) {
	tr := newTrial(t, 2)
	for _, pause := range []time.Duration{3 * time.Second, 2 * time.Second} {
		granted := tr.grant(tr.ask(0, "s", 100, 100))
		tr.handle(place.Ended{Call: granted.Call, Ending: place.EndRefused, Pause: pause})
	}
	refused := tr.refusal(tr.ask(0, "s", 100, 100))
	assert.Equal(t, refused.Reason, place.RefusedPaused)
	assert.Equal(t, refused.RetryAfter, 2*time.Second)
	tr.now = tr.now.Add(1900 * time.Millisecond)
	// A call that can still be on time after the pause is better off waiting for its end.
	tr.waits(tr.ask(0, "s", 100, 100))
	assert.Equal(t, len(tr.pass(200*time.Millisecond)), 1)
}

// Replays a call that waits when the last engine asks for a pause. Guards against one that is held.
func TestWaitingCallIsRefusedOnceAllEnginesAskForPauses(t *testing.T) {
	tr := newTrial(t, 1)
	filling := tr.grant(tr.ask(2, "s", 8000, 8000))
	tr.waits(tr.ask(2, "t", 8000, 8000))
	tr.handle(place.Ended{Call: filling.Call, Ending: place.EndRefused, Pause: 5 * time.Second})
	actions := tr.pass(0)
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].(place.Refuse).Reason, place.RefusedPaused)
	assert.Equal(t, actions[0].(place.Refuse).RetryAfter, 5*time.Second)
}
