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
		"another answer here":           func(s *place.ExitSigns) { s.Beside.Own = 1 },
		"another answer elsewhere":      func(s *place.ExitSigns) { s.Beside.Elsewhere = 1 },
		"another answer broken off":     func(s *place.ExitSigns) { s.Beside.BrokenAt = ended.Add(-100 * time.Millisecond) },
	} {
		signs := whole
		change(&signs)
		assert.Check(t, !signs.MayExit(), name)
	}
	// A call that broke off long before, as one that was refused for its size, shows nothing.
	whole.Beside.BrokenAt = ended.Add(-101 * time.Millisecond)
	assert.Assert(t, whole.MayExit())
}

// Guards against a wait for the removal of an entry that outlasts the call, or the time for which a killed engine surely
// stays listed.
func TestRemovalIsAwaitedForALimitedTime(t *testing.T) {
	ended := time.Unix(1000, 0)
	assert.Equal(t, place.RemovalUntil(ended, ended.Add(time.Minute)).Sub(ended), 700*time.Millisecond)
	assert.Equal(t, place.RemovalUntil(ended, ended.Add(time.Millisecond)).Sub(ended), time.Millisecond)
}

// Guards against calls at an engine that is killed, at this host and at others, that are not known at the end of another
// answer of it.
func TestCallsBesideAreCounted(t *testing.T) {
	ts := newTestScheduler(t, 1)
	first := ts.grant(ts.request(0, "a", 500, 200))
	assert.Equal(t, ts.scheduler.RunsBeside(first.Call), place.RunsBeside{})
	second := ts.grant(ts.request(0, "b", 500, 200))
	report := spoke.HostReport{Host: "host-2", Sequence: 1, Upstreams: []spoke.HostUpstreamLoad{{Upstream: "engine-0", Runs: 2}}}
	ts.handle(place.ReceiveReport{Report: report})
	assert.Equal(t, ts.scheduler.RunsBeside(first.Call), place.RunsBeside{Own: 1, Elsewhere: 2})
	ts.handle(place.Ended{Call: second.Call, Ending: place.EndBroken})
	assert.Equal(t, ts.scheduler.RunsBeside(first.Call), place.RunsBeside{Elsewhere: 2, BrokenAt: ts.now})
}
