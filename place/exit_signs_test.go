package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// Guards against a killed engine that counts as one that has exited behind its last answer although one of the signs tells
// otherwise, and against whole answers of one that still runs.
func TestOneSignRulesOutAnExit(t *testing.T) {
	ended := time.Unix(1000, 0)
	whole := place.ExitSigns{
		LeavingFor: 2 * time.Second, Notice: 2 * time.Second, LastBytesAt: ended.Add(-5 * time.Millisecond), EndedAt: ended, IsRemoved: true,
	}
	for name, c := range map[string]struct {
		change    func(*place.ExitSigns)
		want      place.EndEvidence
		isDecided bool
	}{
		"all signs":                     {func(*place.ExitSigns) {}, place.EndUpstreamLeft, true},
		"no notice":                     {func(s *place.ExitSigns) { s.LeavingFor, s.Notice = 0, 0 }, place.EndUpstreamRefused, true},
		"killed before its notice ends": {func(s *place.ExitSigns) { s.LeavingFor -= time.Millisecond }, place.EndUpstreamRefused, true},
		"killed between two events":     {func(s *place.ExitSigns) { s.LastBytesAt = ended.Add(-6 * time.Millisecond) }, place.EndUpstreamRefused, true},
		"still listed":                  {func(s *place.ExitSigns) { s.IsRemoved = false }, place.EndUpstreamRefused, false},
		"another answer here":           {func(s *place.ExitSigns) { s.Others.Here = 1 }, place.EndUpstreamRefused, false},
		"another answer elsewhere":      {func(s *place.ExitSigns) { s.Others.Elsewhere = 1 }, place.EndUpstreamRefused, false},
		"another answer broken off":     {func(s *place.ExitSigns) { s.Others.BrokenAt = ended.Add(-100 * time.Millisecond) }, place.EndUpstreamRefused, true},
		"another one broken off later":  {func(s *place.ExitSigns) { s.Others.BrokenAt = ended.Add(time.Second) }, place.EndUpstreamRefused, true},
		// A call that broke off long before shows nothing.
		"broken off long before": {func(s *place.ExitSigns) { s.Others.BrokenAt = ended.Add(-101 * time.Millisecond) }, place.EndUpstreamLeft, true},
		"staying":                {func(s *place.ExitSigns) { s.IsStaying, s.Others.Here = true, 1 }, place.EndUpstreamRefused, true},
		"bytes at the same time": {func(s *place.ExitSigns) {
			s.LeavingFor, s.HeardAt, s.Others.Here = 0, ended.Add(100*time.Millisecond), 1
		}, place.EndUpstreamRefused, false},
		"bytes later": {func(s *place.ExitSigns) {
			s.LeavingFor, s.HeardAt, s.Others.Here = 0, ended.Add(101*time.Millisecond), 1
		}, place.EndUpstreamRuns, true},
	} {
		signs := whole
		c.change(&signs)
		got, isDecided := signs.Evidence()
		assert.Check(t, got == c.want && isDecided == c.isDecided, "%s: %s, %t", name, got, isDecided)
	}
}

// Guards against a wait for the signs of an exit that outlasts the call, or the time for which a killed engine surely
// stays listed.
func TestExitIsAwaitedForALimitedTime(t *testing.T) {
	ended := time.Unix(1000, 0)
	assert.Equal(t, place.ExitKnownBy(ended, ended.Add(time.Minute)).Sub(ended), 700*time.Millisecond)
	assert.Equal(t, place.ExitKnownBy(ended, ended.Add(time.Millisecond)).Sub(ended), time.Millisecond)
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
	assert.Equal(t, ts.scheduler.OtherRuns(first.Call, ts.now), place.OtherRuns{Here: 1, Elsewhere: 1})
	for _, host := range []*testScheduler{ts, other} {
		host.handle(place.SetUpstreams{Removed: []spoke.UpstreamID{"engine-0"}})
	}
	ts.handle(place.Ended{Call: second.Call, Ending: place.EndBroken})
	report(true)
	assert.Equal(t, ts.scheduler.OtherRuns(first.Call, ts.now), place.OtherRuns{Elsewhere: 1, BrokenAt: ts.now})
	ts.advance(time.Second)
	other.advance(time.Second)
	other.handle(place.Ended{Call: elsewhere.Call, Ending: place.EndBroken})
	report(false)
	assert.Equal(t, ts.scheduler.OtherRuns(first.Call, ts.now), place.OtherRuns{BrokenAt: ts.now.Add(-time.Millisecond)})
}

// Guards against hosts that await each other: the answers of two hosts end one after the other, and the engine exits behind
// the second. A third, which ends at the same time, is awaited as one that was cut with it.
func TestHostsDoNotAwaitEachOther(t *testing.T) {
	ts, other := newTestScheduler(t, 1), newTestSchedulerFor(t, "host-2", 1)
	last, earlier := ts.grant(ts.request(0, "a", 500, 200)), ts.grant(ts.request(0, "b", 500, 200))
	elsewhere, beside := other.grant(other.request(0, "c", 500, 200)), other.grant(other.request(0, "d", 500, 200))
	ts.handle(place.AnswerEnded{Call: earlier.Call})
	other.handle(place.AnswerEnded{Call: elsewhere.Call})
	ts.advance(101 * time.Millisecond)
	other.advance(101 * time.Millisecond)
	report := func() { ts.handle(place.ReceiveReport{Report: other.scheduler.LoadReport(other.now, false)}) }
	report()
	assert.Equal(t, ts.scheduler.OtherRuns(last.Call, ts.now), place.OtherRuns{Elsewhere: 1})
	// The end of the earlier one came before this one.
	assert.Equal(t, ts.scheduler.OtherRuns(earlier.Call, ts.now.Add(-101*time.Millisecond)), place.OtherRuns{Here: 1, Elsewhere: 2})
	other.handle(place.AnswerEnded{Call: beside.Call})
	report()
	assert.Equal(t, ts.scheduler.OtherRuns(last.Call, ts.now), place.OtherRuns{Elsewhere: 2})
	other.handle(place.Ended{Call: beside.Call, Ending: place.EndServed})
	report()
	assert.Equal(t, ts.scheduler.OtherRuns(last.Call, ts.now), place.OtherRuns{})
}
