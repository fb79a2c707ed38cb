package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// work returns the runs, the tokens to prefill and the waiting tokens that a host reports.
func (ts *testScheduler) work() (runs int, prefill, waiting spoke.TokenCount) {
	report := ts.scheduler.LoadReport(ts.now, true)
	for _, load := range report.Upstreams {
		runs, prefill = runs+load.Runs, prefill+load.Prefill
	}
	for _, work := range report.Waiting {
		waiting += work.Tokens
	}
	return runs, prefill, waiting
}

// Guards against a host that gets no answer and whose calls other hosts wait for all the same.
func TestHostWithoutAnswersReportsNoWork(t *testing.T) {
	ts := newTestScheduler(t, 1)
	ts.handle(place.Began{Call: ts.grant(ts.request(0, "s0", 100, 100)).Call})
	var hang []place.Grant
	for range 15 {
		hang = append(hang, ts.grant(ts.request(0, "s", 100, 100)))
	}
	ts.waits(ts.request(0, "s", 100, 100))
	runs, prefill, waiting := ts.work()
	assert.Equal(t, runs, 16)
	assert.Assert(t, prefill > 0)
	assert.Equal(t, waiting, spoke.TokenCount(200))

	ts.advance(2 * time.Second)
	assert.Assert(t, ts.scheduler.HasChanges(), "the others learn of it at once")
	runs, prefill, waiting = ts.work()
	assert.Equal(t, runs, 1, "the call that has begun")
	assert.Equal(t, prefill, spoke.TokenCount(0))
	assert.Equal(t, waiting, spoke.TokenCount(0))

	ts.handle(place.Began{Call: hang[0].Call})
	runs, prefill, waiting = ts.work()
	assert.Equal(t, runs, 16, "an upstream has answered")
	assert.Assert(t, prefill > 0)
	assert.Equal(t, waiting, spoke.TokenCount(200))
}

// Guards against a call whose caller left long ago and that keeps the work of a sound host from its reports.
func TestCallsGivenUpLongAgoDoNotCountAsUnanswered(t *testing.T) {
	ts := newTestScheduler(t, 1)
	ts.handle(place.Ended{Call: ts.grant(ts.request(0, "s", 100, 100)).Call, Ending: place.EndCancelled})
	ts.advance(time.Minute)
	ts.grant(ts.request(0, "s", 100, 100))
	runs, _, _ := ts.work()
	assert.Equal(t, runs, 1)
}
