package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// endLoad is what the address of an upstream does behind the end of an answer, which ended at zero.
type endLoad struct {
	name string
	// try returns what a try that begins at a time shows, and how long that takes without a bound.
	try      func(at time.Duration) (place.EndEvidence, time.Duration)
	deadline time.Duration
	want     place.EndEvidence
	// decidedBy bounds the time of the decision.
	decidedBy time.Duration
	maxTries  int
}

// silentUntil answers at a time, or at once after it.
func silentUntil(end time.Duration, evidence place.EndEvidence) func(time.Duration) (place.EndEvidence, time.Duration) {
	return func(at time.Duration) (place.EndEvidence, time.Duration) {
		return evidence, max(end-at, time.Millisecond)
	}
}

// resetUntil resets connections at once until a time.
func resetUntil(end time.Duration, evidence place.EndEvidence) func(time.Duration) (place.EndEvidence, time.Duration) {
	return func(at time.Duration) (place.EndEvidence, time.Duration) {
		if at < end {
			return place.EndNothing, time.Millisecond
		}
		return evidence, time.Millisecond
	}
}

// runsUntil answers until the listener is closed.
func runsUntil(end time.Duration) func(time.Duration) (place.EndEvidence, time.Duration) {
	return func(at time.Duration) (place.EndEvidence, time.Duration) {
		if at < end {
			return place.EndUpstreamRuns, time.Millisecond
		}
		return place.EndUpstreamRefused, time.Millisecond
	}
}

// Guards against answers of killed engines that look whole, whole ones that are given up because their engine is silent or
// full for a moment, and checks that outlast the call.
func TestEndsAreDecidedInTime(t *testing.T) {
	const forever, long = time.Hour, time.Minute
	for _, load := range []endLoad{
		{"engine runs", silentUntil(0, place.EndUpstreamRuns), long, place.EndUpstreamRuns, 20 * time.Millisecond, 1},
		{"rack of engines killed at once", silentUntil(0, place.EndUpstreamRefused), long, place.EndUpstreamRefused, 20 * time.Millisecond, 1},
		{"killed and back at once", silentUntil(0, place.EndUpstreamReplaced), long, place.EndUpstreamReplaced, 20 * time.Millisecond, 1},
		{"engine ends by itself and closes its listener last", runsUntil(5 * time.Millisecond), long, place.EndUpstreamRefused, 20 * time.Millisecond, 1},
		{"process takes 300 ms to end", resetUntil(300*time.Millisecond, place.EndUpstreamRefused), long, place.EndUpstreamRefused, 600 * time.Millisecond, 8},
		{"listener accepts and resets later", silentUntil(700*time.Millisecond, place.EndUpstreamRefused), long, place.EndUpstreamRefused, 800 * time.Millisecond, 3},
		{"silent for 1.2 s", silentUntil(1200*time.Millisecond, place.EndUpstreamRuns), long, place.EndUpstreamRuns, 1300 * time.Millisecond, 4},
		{"resets beyond its connections for 1 s", resetUntil(time.Second, place.EndUpstreamRuns), long, place.EndUpstreamRuns, 1300 * time.Millisecond, 12},
		{"silent machine", silentUntil(forever, place.EndUpstreamRuns), long, place.EndNothing, 1500 * time.Millisecond, 4},
		{"resets only", resetUntil(forever, place.EndUpstreamRuns), long, place.EndNothing, 1500 * time.Millisecond, 12},
		{"call is about to end", silentUntil(forever, place.EndUpstreamRuns), 100 * time.Millisecond, place.EndNothing, 100 * time.Millisecond, 1},
		{"call has ended", silentUntil(0, place.EndUpstreamRuns), -time.Second, place.EndNothing, 20 * time.Millisecond, 1},
	} {
		t.Run(load.name, func(t *testing.T) {
			began := time.Unix(0, 0)
			check, tries := place.NewEndCheck(began, began.Add(load.deadline)), 0
			now := check.FirstAt()
			for {
				tries++
				limit := check.TryTime(now)
				got, takes := load.try(now.Sub(began))
				if takes > limit {
					got, takes = place.EndNothing, limit
				}
				now = now.Add(takes)
				step := check.Tried(now, got)
				if step.IsDecided {
					assert.Equal(t, got, load.want)
					break
				}
				assert.Assert(t, step.AskAt.After(now))
				now = step.AskAt
			}
			assert.Assert(t, now.Sub(began) <= load.decidedBy, "decided after %s", now.Sub(began))
			assert.Assert(t, tries <= load.maxTries, "%d tries", tries)
		})
	}
}

// Guards against another start of an engine that confirms an answer, and against starts that count although one is unknown.
func TestOnlyTheSameStartConfirms(t *testing.T) {
	first, second, unknown := time.UnixMilli(1), time.UnixMilli(2), time.Time{}
	const sentFor, before, after = time.Second, 1001 * time.Millisecond, 999 * time.Millisecond
	for _, c := range []struct {
		granted  time.Time
		identity spoke.UpstreamIdentity
		want     place.EndEvidence
	}{
		{first, spoke.UpstreamIdentity{IsReport: true, Started: first}, place.EndUpstreamRuns},
		{first, spoke.UpstreamIdentity{IsReport: true, Started: first, Uptime: after}, place.EndUpstreamRuns},
		{first, spoke.UpstreamIdentity{IsReport: true, Started: second}, place.EndStartUnclear},
		{first, spoke.UpstreamIdentity{IsReport: true, Started: second, Uptime: after}, place.EndUpstreamReplaced},
		{first, spoke.UpstreamIdentity{IsReport: true, Started: second, Uptime: before}, place.EndUpstreamRuns},
		{first, spoke.UpstreamIdentity{IsReport: true, Started: first, IsOther: true}, place.EndUpstreamReplaced},
		{first, spoke.UpstreamIdentity{IsReport: true, Started: unknown}, place.EndUpstreamRuns},
		{first, spoke.UpstreamIdentity{}, place.EndNothing},
		{unknown, spoke.UpstreamIdentity{IsReport: true, Started: second}, place.EndUpstreamRuns},
		{unknown, spoke.UpstreamIdentity{IsReport: true, Started: second, Uptime: after}, place.EndUpstreamReplaced},
		{unknown, spoke.UpstreamIdentity{IsOther: true}, place.EndUpstreamReplaced},
	} {
		got := place.IdentityEvidence(place.EndOrigin{Started: c.granted, SentFor: sentFor, MustReport: true}, c.identity)
		assert.Equal(t, got, c.want, "%v", c.identity)
		isUnclear := got == place.EndNothing || got == place.EndStartUnclear
		assert.Equal(t, got.IsWhole(), !got.IsDeath() && !isUnclear)
		assert.Equal(t, got.IsDeath(), !got.IsWhole() && !isUnclear)
	}
	plain := place.IdentityEvidence(place.EndOrigin{Started: first, SentFor: sentFor}, spoke.UpstreamIdentity{})
	assert.Equal(t, plain, place.EndUpstreamRuns)
}

// Guards against streams that count as whole before as many events as the caller allows tokens.
func TestOutputLimitConfirmsEnd(t *testing.T) {
	assert.Assert(t, place.IsAtLimit(spoke.PromptMetadata{MaxOutput: 4}, 4))
	assert.Assert(t, !place.IsAtLimit(spoke.PromptMetadata{MaxOutput: 4}, 3))
	assert.Assert(t, !place.IsAtLimit(spoke.PromptMetadata{}, 3))
}
