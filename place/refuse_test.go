package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// A stream broke off while the only other engine had requested a pause of 0.5 s. Guards against a refusal that counts as
// lasting although the engine takes the stream after the pause, and against one that counts as temporary although no
// engine exists.
func TestRefusalOfBrokenStreamIsTemporary(t *testing.T) {
	ts := newTestScheduler(t, 2)
	broken := ts.request(0, "session", 20, 20)
	broken.Tried, broken.IsRetry = append(broken.Tried, "engine-0"), true
	paused := ts.request(0, "session", 20, 20)
	paused.Only = []spoke.UpstreamID{"engine-1"}
	ts.grant(paused)
	ts.handle(place.Ended{Call: paused.Call, Ending: place.EndRefused, Pause: 500 * time.Millisecond})

	broken.Target = ts.now
	refused := ts.refusal(broken)
	assert.Equal(t, refused.Reason, place.RefusedPaused)
	assert.Assert(t, refused.Reason.IsTemporary())
	ts.now = ts.now.Add(500 * time.Millisecond)
	ts.grant(broken)

	broken.Tried = append(broken.Tried, "engine-1")
	refused = ts.refusal(broken)
	assert.Equal(t, refused.Reason, place.RefusedNoUpstream)
	assert.Assert(t, !refused.Reason.IsTemporary())
}

// Guards against a call that may return to one of its upstreams and is refused, or reaches one that it was never sent to.
func TestCallReturnsToUpstreamThatIsNotLeaving(t *testing.T) {
	ts := newTestScheduler(t, 3)
	request := ts.request(0, "session", 20, 20)
	request.Tried, request.IsRetry = append(request.Tried, "engine-0", "engine-1"), true
	request.Only = []spoke.UpstreamID{"engine-0", "engine-1"}
	ts.handle(place.SetUpstreams{Removed: []spoke.UpstreamID{"engine-0"}})
	assert.Equal(t, ts.grant(request).Upstream.ID, spoke.UpstreamID("engine-1"))
}

// Guards against plain calls that are refused beside idle engines of their service, since a prompt that waits at another
// host counts as many of them as it has tokens.
func TestPromptWaitingElsewhereCountsAsOneCallBeforePlainOnes(t *testing.T) {
	other, ts := newTestSchedulerFor(t, "host-2", 1), newTestScheduler(t, 2)
	for range 16 {
		other.grant(other.request(0, "session", 20, 20))
	}
	other.waits(other.request(0, "session", 20, 4000))
	ts.handle(place.ReceiveReport{Report: other.scheduler.LoadReport(other.now, false)})
	plain := ts.plainRequest()
	plain.Service = models
	assert.Equal(t, ts.grant(plain).Upstream.ID, spoke.UpstreamID("engine-1"))
}
