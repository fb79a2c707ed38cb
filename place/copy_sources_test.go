package place_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// storedSessions returns a testScheduler whose store holds the shared parts of sessions that no engine has
// cached.
func storedSessions(t *testing.T, engines, sessions int) *testScheduler {
	t.Helper()
	ts := newTestScheduler(t, engines)
	var keys []spoke.StoredKey
	for i := range sessions {
		stored := spoke.StoredPart{Group: place.CacheGroup("shared", model, 1), Part: session(i)}
		keys = append(keys, place.StoredKeyOf(stored))
	}
	ts.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Used: 10000, Stored: keys}})
	return ts
}

func session(number int) spoke.PartID { return spoke.PartID(fmt.Sprint("session-", number)) }

// copyLate serves sessions whose copies arrive later than predicted and returns how many were copied.
func (ts *testScheduler) copyLate(from, to int, late time.Duration) (copied int) {
	for i := from; i < to; i++ {
		granted := ts.grant(ts.request(1, string(session(i)), 5000, 300))
		took := granted.Predicted
		if granted.Fetched > 0 {
			copied++
			took = 80*time.Millisecond + late
		}
		ts.now = ts.now.Add(took)
		ts.handle(place.Began{Call: granted.Call})
		ts.handle(place.Ended{Call: granted.Call})
	}
	return copied
}

// A store's link has a queue, as in the seconds after all hosts lost power and copied everything (incident
// ff56). Guards against further copies while prefill takes a tenth of the time.
func TestPartsAreRecomputedWhileTheirStoreIsLate(t *testing.T) {
	ts := storedSessions(t, 4, 60)
	assert.Equal(t, ts.copyLate(0, 4, 0), 4)
	copied := ts.copyLate(4, 24, 900*time.Millisecond)
	assert.Assert(t, copied <= 3, "%d copied", copied)
	ts.now = ts.now.Add(2 * time.Second)
	ts.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Used: 10000}})
	assert.Assert(t, ts.copyLate(24, 28, 0) >= 3, "recovered store is not used")
}

// Guards against a late store that makes the prefill of engines which copy from it look slow.
func TestLateCopiesDoNotAffectPrefillEstimates(t *testing.T) {
	ts := storedSessions(t, 1, 40)
	recomputed := ts.grant(ts.request(1, "unknown", 0, 4000))
	ts.finishAfter(recomputed, recomputed.Predicted)
	for i := range 12 {
		ts.copyLate(i, i+1, time.Second)
		ts.now = ts.now.Add(2 * time.Second)
		ts.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Used: 10000}})
	}
	again := ts.grant(ts.request(1, "unknown", 0, 4000))
	assert.Assert(t, again.Predicted < recomputed.Predicted+10*time.Millisecond, "%s after %s", again.Predicted, recomputed.Predicted)
}

// A store is late while calls wait for prefill capacity. Guards against recomputing parts at the expense of
// those calls.
func TestPartsAreCopiedWhilePrefillIsScarce(t *testing.T) {
	late := func(waiting int) spoke.TokenCount {
		ts := storedSessions(t, 2, 20)
		ts.copyLate(0, 3, 900*time.Millisecond)
		report := spoke.HostReport{Host: "host-2", Sequence: 1, Waiting: []spoke.WaitingWork{{Service: models, Urgency: 2, Tokens: spoke.TokenCount(5300 * waiting)}}}
		ts.handle(place.ReceiveReport{Report: report})
		return ts.grant(ts.request(1, string(session(10)), 5000, 300)).Fetched
	}
	assert.Equal(t, late(0), spoke.TokenCount(0))
	assert.Equal(t, late(12), spoke.TokenCount(5000))
}

// finishAfter ends a call whose first event arrives after the given time.
func (ts *testScheduler) finishAfter(granted place.Grant, took time.Duration) {
	ts.now = ts.now.Add(took)
	ts.handle(place.Began{Call: granted.Call})
	ts.now = ts.now.Add(time.Second)
	ts.handle(place.Ended{Call: granted.Call})
}

// In the first moments after all hosts lost power, no copy has arrived yet that could be late. Guards against
// copies that queue at a store's link until the first of them arrives.
func TestOverdueCopiesAreCounted(t *testing.T) {
	ts := storedSessions(t, 8, 40)
	copied, number := 0, uint64(0)
	for i := range 20 {
		granted := ts.grant(ts.request(1, string(session(i)), 5000, 300))
		if granted.Fetched > 0 {
			copied++
		}
		ts.now = ts.now.Add(40 * time.Millisecond)
		// Engines make progress with calls of another host that need no copies.
		for _, prefill := range []spoke.TokenCount{50, 0} {
			number++
			load := spoke.HostUpstreamLoad{Upstream: granted.Upstream.ID, Prefill: prefill}
			ts.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: number, Upstreams: []spoke.HostUpstreamLoad{load}}})
		}
	}
	assert.Assert(t, copied <= 8, "%d copied", copied)
}

// An engine stops responding while calls wait for copies there. Guards against attributing the delay to the
// store.
func TestStalledEngineIsNotAttributedToTheStore(t *testing.T) {
	ts := storedSessions(t, 2, 40)
	stalled := ts.grant(ts.request(1, string(session(0)), 5000, 300))
	ts.now = ts.now.Add(900 * time.Millisecond)
	ts.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Used: 10000}})
	granted := ts.grant(ts.request(1, string(session(1)), 5000, 300))
	assert.Assert(t, granted.Upstream.ID != stalled.Upstream.ID)
	assert.Equal(t, granted.Fetched, spoke.TokenCount(5000))
}

// Guards against copies from a store whose link is occupied by copies of other hosts, and against counting
// those after they have arrived or their host has left.
func TestCopiesOfOtherHostsAreCounted(t *testing.T) {
	pending := []spoke.CopyReport{{Source: "10.0.0.9:1", PendingTime: 600 * time.Millisecond}}
	for name, end := range map[string]func(ts *testScheduler){
		"they have arrived": func(ts *testScheduler) {
			ts.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: 2, Copies: []spoke.CopyReport{{Source: "10.0.0.9:1"}}}})
		},
		"the next full report omits them": func(ts *testScheduler) {
			ts.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: 2, IsSnapshot: true}})
		},
		"their host has left": func(ts *testScheduler) { ts.handle(place.RemovePeer{Host: "host-2"}) },
	} {
		t.Run(name, func(t *testing.T) {
			ts := storedSessions(t, 2, 10)
			ts.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: 1, Copies: pending}})
			assert.Equal(t, ts.grant(ts.request(1, string(session(1)), 5000, 300)).Fetched, spoke.TokenCount(0))
			end(ts)
			assert.Equal(t, ts.grant(ts.request(1, string(session(2)), 5000, 300)).Fetched, spoke.TokenCount(5000))
		})
	}
}

// Guards against load reports without the pending copies of a host.
func TestLoadReportsIncludePendingCopies(t *testing.T) {
	ts := storedSessions(t, 1, 10)
	granted := ts.grant(ts.request(1, string(session(1)), 5000, 300))
	pending := ts.scheduler.LoadReport(ts.now, false).Copies
	assert.Equal(t, len(pending), 1)
	assert.Equal(t, pending[0].Source, spoke.Address("10.0.0.9:1"))
	assert.Assert(t, pending[0].PendingTime > 0)
	assert.Equal(t, len(ts.scheduler.LoadReport(ts.now, false).Copies), 0)
	ts.handle(place.Began{Call: granted.Call})
	assert.DeepEqual(t, ts.scheduler.LoadReport(ts.now, false).Copies, []spoke.CopyReport{{Source: "10.0.0.9:1", Completed: 1}})
}

// Hosts of many cells receive the copies of their own cell only. Guards against copies that queue at a store's
// link since each cell counts its own alone, and against counting a single copy once for each cell.
func TestOtherCellsAreAssumedToCopyAsMuchOnAverage(t *testing.T) {
	copies := func(cells int, busy time.Duration) bool {
		ts := storedSessions(t, 8, 40)
		ts.handle(place.SetCell{Count: cells})
		for step := range uint64(20) {
			took := time.Duration(0)
			if time.Duration(step)*100*time.Millisecond >= 2*time.Second-busy {
				took = 40 * time.Millisecond
			}
			pending := []spoke.CopyReport{{Source: "10.0.0.9:1", PendingTime: took}}
			ts.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: step + 1, Copies: pending}})
			ts.now = ts.now.Add(100 * time.Millisecond)
		}
		return ts.grant(ts.request(1, string(session(1)), 5000, 300)).Fetched > 0
	}
	assert.Assert(t, copies(1, 2*time.Second), "copies of one cell are counted more than once")
	assert.Assert(t, copies(12, 100*time.Millisecond), "one copy is counted for each cell")
	assert.Assert(t, !copies(12, 2*time.Second), "copies of other cells are not counted")
}

// Small hosts each copy from a store every few seconds while its link is slow. Guards against hosts that
// do not use the lateness which others observed, and observe it themselves only when the link has recovered.
func TestLateCopiesOfOtherHostsAreCounted(t *testing.T) {
	ts := storedSessions(t, 4, 20)
	for number := range uint64(3) {
		late := []spoke.CopyReport{{Source: "10.0.0.9:1", Completed: 1, MeanDelay: 900 * time.Millisecond}}
		ts.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: number + 1, Copies: late}})
	}
	assert.Equal(t, ts.grant(ts.request(1, string(session(1)), 5000, 300)).Fetched, spoke.TokenCount(0))
	ts.now = ts.now.Add(2 * time.Second)
	ts.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Used: 10000}})
	assert.Equal(t, ts.grant(ts.request(1, string(session(2)), 5000, 300)).Fetched, spoke.TokenCount(5000))
}

// Guards against extreme values in reports of other hosts that keep a store out of use for long.
func TestExtremeLatenessDoesNotLast(t *testing.T) {
	ts := storedSessions(t, 2, 10)
	extreme := []spoke.CopyReport{{Source: "10.0.0.9:1", PendingTime: time.Hour, Completed: 1, MeanDelay: time.Hour}}
	ts.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: 1, Copies: extreme}})
	ts.handle(place.RemovePeer{Host: "host-2"})
	ts.now = ts.now.Add(4 * time.Second)
	ts.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Used: 10000}})
	assert.Equal(t, ts.grant(ts.request(1, string(session(2)), 5000, 300)).Fetched, spoke.TokenCount(5000))
}

// Engines with slow links copy from a fast store at the same time. Guards against inferring a queue at the
// store from the copy times of the engines, so that parts are recomputed although the store is idle.
func TestSlowLinksOfEnginesAreNoQueueAtTheirStore(t *testing.T) {
	ts := storedSessions(t, 6, 10)
	ts.handle(place.SetTable{
		Services: map[spoke.ServiceName]spoke.ServedService{
			models: {Name: models, Engine: &spoke.EngineProfile{Slots: 16, CacheCapacity: 100000, TokenSize: 1000, Link: 1e8}},
		},
		Stores: []spoke.PromptStore{{Name: "store", Address: "10.0.0.9:1", DataCentre: "a", Capacity: 50000, Link: 1e10}},
	})
	for i := range 6 {
		granted := ts.grant(ts.request(1, string(session(i)), 5000, 300))
		assert.Equal(t, granted.Fetched, spoke.TokenCount(5000), "copy %d", i)
		assert.Assert(t, granted.Predicted < 90*time.Millisecond, "%s", granted.Predicted)
	}
}
