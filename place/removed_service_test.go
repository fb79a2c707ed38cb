package place_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// withoutModels returns a table whose only service is plain.
func withoutModels() place.SetTable {
	return place.SetTable{Services: map[spoke.ServiceName]spoke.ServedService{desk: {Name: desk}}}
}

// Guards against a call that waits although its service is gone from the table, so that no engine of it starts
// again: its caller may reach the service that has replaced it. Calls of other services and calls that may have run
// go on waiting, since no refusal would be true of the latter.
func TestWaitingCallIsRefusedOnceServiceIsGone(t *testing.T) {
	ts := newTestScheduler(t, 1)
	running := ts.fill()
	waiting := ts.request(1, "session", 100, 10)
	ts.waits(waiting)
	for range 8 {
		ts.grant(ts.plainRequest())
	}
	ts.waits(ts.plainRequest())
	refused := ts.refusal(withoutModels())
	assert.Equal(t, refused.Call, waiting.Call)
	assert.Equal(t, refused.Reason, place.RefusedServiceRemoved)

	// A call that was read under the older table is refused while no engine takes it, and served otherwise.
	assert.Equal(t, ts.refusal(ts.request(1, "session", 100, 10)).Reason, place.RefusedServiceRemoved)
	retry := ts.request(1, "session", 100, 10)
	retry.IsRetry = true
	ts.waits(retry)
	assert.Equal(t, ts.grant(place.Ended{Call: running[0].Call, Ending: place.EndServed}).Call, retry.Call)
	ts.handle(place.Ended{Call: running[1].Call, Ending: place.EndServed})
	ts.grant(ts.request(1, "session", 100, 10))
}

// Guards against calls that are refused although a newer table has their service again.
func TestCallWaitsOnceServiceIsBack(t *testing.T) {
	ts := newTestScheduler(t, 1)
	ts.fill()
	both := withoutModels()
	both.Services[models] = spoke.ServedService{Name: models, Engine: &spoke.EngineProfile{Slots: 16, CacheCapacity: 100000, TokenSize: 1000, Link: 1e9}}
	ts.handle(withoutModels())
	ts.handle(both)
	ts.waits(ts.request(1, "session", 100, 10))
}

// Guards against a waiting call that is lost when a newer table moves or drops its route while its service remains.
func TestWaitingCallIsServedAfterTableChange(t *testing.T) {
	ts := newTestScheduler(t, 1)
	running := ts.fill()
	waiting := ts.request(1, "session", 100, 10)
	ts.waits(waiting)
	table := withoutModels()
	table.Services[models] = spoke.ServedService{Name: models, Engine: &spoke.EngineProfile{Slots: 16, CacheCapacity: 100000, TokenSize: 1000, Link: 1e9}}
	ts.waits(table)
	var actions []place.Action
	for _, run := range running {
		actions = append(actions, ts.handle(place.Ended{Call: run.Call, Ending: place.EndServed})...)
	}
	assert.Equal(t, len(actions), 1, "%v", actions)
	assert.Equal(t, actions[0].(place.Grant).Call, waiting.Call)
}
