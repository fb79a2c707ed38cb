package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

const (
	stopLeft    = 4 * time.Second
	callTimeout = 30 * time.Second
)

func boundsOf(rule spoke.RunRule, output spoke.TokenCount) place.CallBounds {
	bounds := place.CallBounds{
		Route:   spoke.Route{Name: "route", Rule: rule, Target: 300 * time.Millisecond},
		Timeout: callTimeout, Wait: callTimeout,
	}
	if output > 0 {
		bounds.Prompt = &spoke.PromptMetadata{MaxOutput: output}
	}
	return bounds
}

func fits(times *place.CallTimes, bounds place.CallBounds) bool {
	return place.Stop{Left: stopLeft, MayEstimate: true}.Accepts(bounds, times.Expected(bounds))
}

// Guards against calls that are accepted late in a stop because most calls of their route end sooner: one booking in
// twenty takes 4 s.
func TestRareLongCallsCountInStop(t *testing.T) {
	times := place.NewCallTimes()
	for number := range 1000 {
		took := 100 * time.Millisecond
		if number%20 == 0 {
			took = 4 * time.Second
		}
		times.Record("route", 0, took)
	}
	assert.Assert(t, !fits(times, boundsOf(spoke.RuleOnce, 0)))
	for range 128 {
		times.Record("route", 0, 100*time.Millisecond)
	}
	assert.Assert(t, fits(times, boundsOf(spoke.RuleOnce, 0)), "calls of long ago still count")
}

// Guards against long streams that are accepted late in a stop because short ones of the same route end in time, and
// against short ones that are refused because of the long ones.
func TestStreamSizeCountsInStop(t *testing.T) {
	times := place.NewCallTimes()
	for range 50 {
		times.Record("route", place.OutputSize(&spoke.PromptMetadata{MaxOutput: 30}), time.Second)
		times.Record("route", place.OutputSize(&spoke.PromptMetadata{MaxOutput: 800}), 20*time.Second)
	}
	assert.Assert(t, fits(times, boundsOf(spoke.RuleStream, 20)))
	assert.Assert(t, !fits(times, boundsOf(spoke.RuleStream, 100)), "a size that was not shown counts as the next larger one")
	assert.Assert(t, !fits(times, boundsOf(spoke.RuleStream, 800)))
	assert.Assert(t, !fits(times, boundsOf(spoke.RuleStream, 5000)))
}

// Guards against calls that are accepted in a stop although nothing shows that they end: nothing was recorded, calls
// without an answer are older than all recorded ones, or calls ended without one.
func TestUnfinishedCallsCountInStop(t *testing.T) {
	times := place.NewCallTimes()
	assert.Assert(t, !fits(times, boundsOf(spoke.RuleStream, 20)))
	assert.Assert(t, fits(times, boundsOf(spoke.RuleOnce, 0)), "five times the latency target fits")
	withoutTarget := boundsOf(spoke.RuleOnce, 0)
	withoutTarget.Route.Target = 0
	assert.Assert(t, !fits(times, withoutTarget))

	times.RecordUnfinished("route", 0, time.Millisecond)
	assert.Equal(t, times.Expected(withoutTarget), callTimeout, "a failure shows no time")
	times.Record("route", 0, 100*time.Millisecond)
	hanging := boundsOf(spoke.RuleOnce, 0)
	hanging.Oldest = 5 * time.Second
	assert.Assert(t, !fits(times, hanging))
	times.RecordUnfinished("route", 0, 10*time.Millisecond)
	assert.Assert(t, fits(times, boundsOf(spoke.RuleOnce, 0)))
	times.RecordUnfinished("route", 0, 5*time.Second)
	assert.Assert(t, !fits(times, boundsOf(spoke.RuleOnce, 0)))
}

// Guards against calls that are refused in a stop although their own deadline ends them in time.
func TestDeadlineBoundsExpectedTime(t *testing.T) {
	times := place.NewCallTimes()
	times.Record("route", 0, 20*time.Second)
	bounds := boundsOf(spoke.RuleOnce, 0)
	bounds.Wait = time.Second
	assert.Assert(t, fits(times, bounds))
}

// Guards against streams that are accepted late in a stop because of an estimate and broken off at its end: 3.7 s after
// SIGTERM the longest of the recent ones had taken 1.8 s, and the next one had not ended when the remaining 3.1 s were over.
func TestLateCallsAreAcceptedByTheirOwnBound(t *testing.T) {
	times := place.NewCallTimes()
	for range 128 {
		times.Record("route", 0, 1800*time.Millisecond)
	}
	stop := place.Stop{Left: 3118 * time.Millisecond}
	for _, rule := range []spoke.RunRule{spoke.RuleStream, spoke.RuleOnce} {
		call := boundsOf(rule, 0)
		call.Wait = stop.Left
		assert.Assert(t, !stop.Accepts(call, times.Expected(call)), rule)
		listening := place.Stop{Left: stop.Left, MayEstimate: true}
		assert.Assert(t, listening.Accepts(call, times.Expected(call)), "%s: a caller may reach this host again", rule)
		call.Wait = 1500 * time.Millisecond
		assert.Assert(t, stop.Accepts(call, times.Expected(call)), "%s: the deadline of the caller bounds the call", rule)
	}
	repeatable := boundsOf(spoke.RuleRepeatable, 0)
	assert.Assert(t, stop.Accepts(repeatable, times.Expected(repeatable)))
}
