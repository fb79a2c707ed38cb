package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// Guards against a killed engine that counts as one that has exited behind its last answer although one of the signs tells
// otherwise.
func TestOneSignRulesOutAnExit(t *testing.T) {
	ended := time.Unix(1000, 0)
	whole := place.ExitSigns{
		LeavingFor: 2 * time.Second, Notice: 2 * time.Second, LastBytesAt: ended.Add(-5 * time.Millisecond), EndedAt: ended,
	}
	assert.Assert(t, whole.MayExit())
	for name, change := range map[string]func(*place.ExitSigns){
		"no notice":                     func(s *place.ExitSigns) { s.LeavingFor, s.Notice = 0, 0 },
		"killed before its notice ends": func(s *place.ExitSigns) { s.LeavingFor -= time.Millisecond },
		"killed between two events":     func(s *place.ExitSigns) { s.LastBytesAt = ended.Add(-6 * time.Millisecond) },
	} {
		signs := whole
		change(&signs)
		assert.Check(t, !signs.MayExit(), name)
	}
	for _, c := range []struct {
		others place.OtherRuns
		want   place.OtherRunsState
	}{
		{place.OtherRuns{}, place.OthersEnded},
		{place.OtherRuns{Here: 1}, place.OthersUnderWay},
		{place.OtherRuns{Elsewhere: 1}, place.OthersUnderWay},
		{place.OtherRuns{BrokenAt: ended.Add(-100 * time.Millisecond)}, place.OthersBroken},
		{place.OtherRuns{Here: 1, BrokenAt: ended.Add(time.Second)}, place.OthersBroken},
		// A call that broke off long before shows nothing.
		{place.OtherRuns{BrokenAt: ended.Add(-101 * time.Millisecond)}, place.OthersEnded},
	} {
		assert.Check(t, c.others.State(ended) == c.want, "%v", c.others)
	}
}

// Guards against a wait for the removal of an entry that outlasts the call, or the time for which a killed engine surely
// stays listed.
func TestRemovalIsAwaitedForALimitedTime(t *testing.T) {
	ended := time.Unix(1000, 0)
	assert.Equal(t, place.RemovalUntil(ended, ended.Add(time.Minute)).Sub(ended), 700*time.Millisecond)
	assert.Equal(t, place.RemovalUntil(ended, ended.Add(time.Millisecond)).Sub(ended), time.Millisecond)
}

// Guards against calls at an engine that is killed, at this host and at others, that are not known when another answer of it
// is judged, also once the engine is no longer listed.
func TestOtherCallsAreCounted(t *testing.T) {
	ts, other := newTestScheduler(t, 1), newTestSchedulerFor(t, "host-2", 1)
	first, second := ts.grant(ts.request(0, "a", 500, 200)), ts.grant(ts.request(0, "b", 500, 200))
	elsewhere := other.grant(other.request(0, "c", 500, 200))
	report := func(isFull bool) {
		t.Helper()
		ts.handle(place.ReceiveReport{Report: other.scheduler.LoadReport(other.now, isFull)})
	}
	report(false)
	assert.Equal(t, ts.scheduler.OtherRuns(first.Call), place.OtherRuns{Here: 1, Elsewhere: 1})
	for _, host := range []*testScheduler{ts, other} {
		host.handle(place.SetUpstreams{Removed: []spoke.UpstreamID{"engine-0"}})
	}
	ts.handle(place.Ended{Call: second.Call, Ending: place.EndBroken})
	report(true)
	assert.Equal(t, ts.scheduler.OtherRuns(first.Call), place.OtherRuns{Elsewhere: 1, BrokenAt: ts.now})
	ts.advance(time.Second)
	other.advance(time.Second)
	other.handle(place.Ended{Call: elsewhere.Call, Ending: place.EndBroken})
	report(false)
	got := ts.scheduler.OtherRuns(first.Call)
	assert.Equal(t, got.Elsewhere, 0)
	assert.Equal(t, got.State(ts.now), place.OthersBroken)
}
