package place_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

const (
	idlePeriod = 2 * time.Second
	tickLength = 20 * time.Millisecond
)

// Guards against a call that leaves an upstream which goes on while another one is requested, and against one that asks
// only once and then waits for a dead upstream until its deadline.
func TestIdleWatch(t *testing.T) {
	now := time.Unix(1000, 0)
	w := place.NewIdleWatch(now, idlePeriod)
	assert.Assert(t, !w.Ask(now.Add(idlePeriod-1)))
	assert.Assert(t, !w.Heard(now.Add(time.Second), idlePeriod), "nothing to withdraw")
	now = now.Add(time.Second)
	assert.Equal(t, w.Wait(now), idlePeriod)

	now = now.Add(idlePeriod)
	assert.Assert(t, w.Ask(now))
	assert.Assert(t, !w.Ask(now), "asks twice at once")
	w.Refused(now)
	assert.Equal(t, w.Wait(now), idlePeriod)

	now = now.Add(idlePeriod)
	assert.Assert(t, w.Ask(now))
	assert.Assert(t, w.Heard(now, idlePeriod), "request is not withdrawn")
	assert.Assert(t, !w.Granted(), "leaves an upstream that goes on")
	w.Refused(now)
	assert.Equal(t, w.Wait(now.Add(idlePeriod)), time.Duration(0))

	assert.Assert(t, w.Ask(now.Add(idlePeriod)))
	assert.Assert(t, w.Granted())
}

// silentRack replays 40 streams at four engines, two of which fall silent for some time. It returns the scheduler at
// the end of the silence and the number of streams that moved to other engines.
func silentRack(t *testing.T, silence time.Duration) (ts *testScheduler, moved int) {
	t.Helper()
	ts = newTestScheduler(t, 4)
	watches := make(map[spoke.CallNumber]*place.IdleWatch)
	running := make(map[spoke.CallNumber]place.Grant)
	requests := make(map[spoke.CallNumber]place.Request)
	for i := range 40 {
		request := ts.request(0, fmt.Sprint("session-", i), 20, 20)
		granted := ts.grant(request)
		ts.handle(place.Began{Call: granted.Call})
		if granted.Upstream.ID == "engine-0" || granted.Upstream.ID == "engine-1" {
			watches[request.Call], running[request.Call], requests[request.Call] = place.NewIdleWatch(ts.now, idlePeriod), granted, request
		}
	}
	assert.Assert(t, len(watches) >= 15, "%d streams at the silent rack", len(watches))
	for end := ts.now.Add(silence); ts.now.Before(end); ts.advance(tickLength) {
		for call, watch := range watches {
			if !watch.Ask(ts.now) {
				continue
			}
			request := requests[call]
			ts.next++
			request.Call, request.Tried, request.IsRetry, request.IsRunning = ts.next, []spoke.UpstreamID{running[call].Upstream.ID}, true, true
			if _, isGrant := ts.handle(request)[0].(place.Grant); !isGrant {
				watch.Refused(ts.now)
				continue
			}
			assert.Assert(t, watch.Granted())
			ts.handle(place.Ended{Call: call, Ending: place.EndBroken})
			ts.handle(place.Began{Call: request.Call})
			delete(watches, call)
			moved++
		}
	}
	return ts, moved
}

// A rack of engines was silent for 1.5 s and went on. Guards against streams that move away from it.
func TestShortSilenceOfRackMovesNoStream(t *testing.T) {
	_, moved := silentRack(t, 1500*time.Millisecond)
	assert.Equal(t, moved, 0)
}

// Guards against a rack whose silence uses up the retry budget or moves all its streams onto the other engines, so that
// a call whose engine really failed finds no retry.
func TestLongSilenceOfRackLeavesRetryBudget(t *testing.T) {
	ts, moved := silentRack(t, 7*time.Second)
	assert.Assert(t, moved > 0 && moved <= 6, "%d streams moved", moved)
	broken := ts.request(0, "broken", 20, 20)
	broken.Tried, broken.IsRetry = []spoke.UpstreamID{"engine-0"}, true
	ts.grant(broken)
}

// Guards against a rack whose streams all wait for full engines while it is silent, and move once these are free,
// beyond the retry budget.
func TestWaitingStreamsOfSilentRackKeepToRetryBudget(t *testing.T) {
	ts := newTestScheduler(t, 4)
	running := make(map[spoke.UpstreamID][]place.Request)
	for i := range 4 * 16 {
		request := ts.request(0, fmt.Sprint("session-", i), 20, 20)
		granted := ts.grant(request)
		ts.handle(place.Began{Call: granted.Call})
		running[granted.Upstream.ID] = append(running[granted.Upstream.ID], request)
	}
	for _, silent := range []spoke.UpstreamID{"engine-0", "engine-1"} {
		for _, request := range running[silent] {
			ts.next++
			request.Call, request.Tried, request.IsRetry, request.IsRunning = ts.next, []spoke.UpstreamID{silent}, true, true
			ts.handle(request)
		}
	}
	moved := 0
	for _, free := range []spoke.UpstreamID{"engine-2", "engine-3"} {
		for _, request := range running[free] {
			moved += len(ts.handle(place.Ended{Call: request.Call}))
		}
	}
	assert.Assert(t, moved > 0 && moved <= 8, "%d streams moved", moved)
}

// Guards against a call that returns to its first upstream and reaches another one instead, more than its route permits.
func TestOnlyOneUpstreamMayTakeCall(t *testing.T) {
	ts := newTestScheduler(t, 3)
	request := ts.request(0, "session", 20, 20)
	request.Only = []spoke.UpstreamID{"engine-2"}
	assert.Equal(t, ts.grant(request).Upstream.ID, spoke.UpstreamID("engine-2"))

	ts.handle(place.SetUpstreams{Removed: []spoke.UpstreamID{"engine-2"}})
	request = ts.request(0, "session", 20, 20)
	request.Only = []spoke.UpstreamID{"engine-2"}
	assert.Equal(t, ts.refusal(request).Reason, place.RefusedNoUpstream)
}
