package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// fill grants prompts until no engine takes another, and returns the calls that run.
func (ts *testScheduler) fill() []place.Grant {
	ts.t.Helper()
	var granted []place.Grant
	for {
		actions := ts.handle(ts.request(1, "session", 100, 10))
		if len(actions) == 0 {
			ts.handle(place.Withdraw{Call: ts.next})
			return granted
		}
		grant, ok := actions[0].(place.Grant)
		assert.Assert(ts.t, ok, "%#v", actions[0])
		granted = append(granted, grant)
	}
}

// Guards against a call that waits until its deadline although each upstream that could take it is gone, leaves or
// has left its address to another. A retry waits for another engine, since a refusal would break off its stream.
func TestWaitingCallIsRefusedOnceUpstreamsAreGone(t *testing.T) {
	leaving := engine(0)
	leaving.IsLeaving = true
	for name, change := range map[string]func(running place.Grant) place.Message{
		"removed":         func(place.Grant) place.Message { return place.SetUpstreams{Removed: []spoke.UpstreamID{"engine-0"}} },
		"not in snapshot": func(place.Grant) place.Message { return place.SetUpstreams{IsSnapshot: true} },
		"leaving":         func(place.Grant) place.Message { return place.SetUpstreams{Listed: []spoke.ListedUpstream{leaving}} },
		"address reused": func(running place.Grant) place.Message {
			return place.Ended{Call: running.Call, Ending: place.EndAddressReused}
		},
		"announced leaving": func(running place.Grant) place.Message {
			return place.Ended{Call: running.Call, Ending: place.EndServed, IsLeaving: true}
		},
	} {
		t.Run(name, func(t *testing.T) {
			ts := newTestScheduler(t, 1)
			running := ts.fill()
			waiting := ts.request(1, "session", 100, 10)
			ts.waits(waiting)
			retry := ts.request(1, "session", 100, 10)
			retry.IsRetry = true
			ts.waits(retry)
			ts.now = ts.now.Add(50 * time.Millisecond)
			actions := append(ts.handle(change(running[0])), ts.advance(20*time.Millisecond)...)
			assert.Equal(t, len(actions), 1, "%v", actions)
			refused, ok := actions[0].(place.Refuse)
			assert.Assert(t, ok, "%#v", actions[0])
			assert.Equal(t, refused.Call, waiting.Call)
			assert.Equal(t, refused.Reason, place.RefusedNoUpstream)
			assert.Assert(t, refused.RetryAfter > 0)
		})
	}
}
