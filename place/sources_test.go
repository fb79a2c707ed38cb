package place_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// storedSessions returns a trial whose store holds the shared parts of sessions that no engine holds.
func storedSessions(t *testing.T, engines, sessions int) *trial {
	t.Helper()
	tr := newTrial(t, engines)
	var keys []spoke.StoredKey
	for i := range sessions {
		stored := spoke.StoredPart{Group: place.CacheGroup(spoke.KeyOwner{}, model, 1), Part: session(i)}
		keys = append(keys, place.StoredKeyOf(stored))
	}
	tr.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Used: 10000, Stored: keys}})
	return tr
}

func session(number int) spoke.PartID { return spoke.PartID(fmt.Sprint("session-", number)) }

// copyLate serves sessions whose copies come later than predicted and returns how many were copied.
func (tr *trial) copyLate(from, to int, late time.Duration) (copied int) {
	for i := from; i < to; i++ {
		granted := tr.grant(tr.ask(1, string(session(i)), 5000, 300))
		took := granted.Predicted
		if granted.Fetched > 0 {
			copied++
			took = 80*time.Millisecond + late
		}
		tr.now = tr.now.Add(took)
		tr.handle(place.Began{Call: granted.Call})
		tr.handle(place.Ended{Call: granted.Call})
	}
	return copied
}

// Replays a store whose link has a queue, as in the seconds after all hosts lost power and copied
// everything (incident ff56). Guards against copies that go on where reading takes a tenth of the time.
func TestPartsAreReadWhileTheirStoreIsLate(t *testing.T) {
	tr := storedSessions(t, 4, 60)
	assert.Equal(t, tr.copyLate(0, 4, 0), 4)
	copied := tr.copyLate(4, 24, 900*time.Millisecond)
	assert.Assert(t, copied <= 3, "%d copied", copied)
	tr.now = tr.now.Add(2 * time.Second)
	tr.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Used: 10000}})
	assert.Assert(t, tr.copyLate(24, 28, 0) >= 3, "a store that is sound again is not used")
}

// Guards against a late store that makes the engines which copy from it look like slow readers.
func TestLateCopiesTeachNothingAboutEngines(t *testing.T) {
	tr := storedSessions(t, 1, 40)
	read := tr.grant(tr.ask(1, "unknown", 0, 4000))
	tr.settleAfter(read, read.Predicted)
	for i := range 12 {
		tr.copyLate(i, i+1, time.Second)
		tr.now = tr.now.Add(2 * time.Second)
		tr.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Used: 10000}})
	}
	again := tr.grant(tr.ask(1, "unknown", 0, 4000))
	assert.Assert(t, again.Predicted < read.Predicted+10*time.Millisecond, "%s after %s", again.Predicted, read.Predicted)
}

// Replays a late store while calls wait for want of reading time. Guards against parts that are read
// again at the cost of those calls.
func TestPartsAreCopiedWhileReadingIsScarce(t *testing.T) {
	late := func(waiting int) spoke.TokenCount {
		tr := storedSessions(t, 2, 20)
		tr.copyLate(0, 3, 900*time.Millisecond)
		share := spoke.HostReport{Host: "host-2", Sequence: 1, Waiting: []spoke.WaitingWork{{Service: models, Urgency: 2, Tokens: spoke.TokenCount(5300 * waiting)}}}
		tr.handle(place.ReceiveReport{Report: share})
		return tr.grant(tr.ask(1, string(session(10)), 5000, 300)).Fetched
	}
	assert.Equal(t, late(0), spoke.TokenCount(0))
	assert.Equal(t, late(12), spoke.TokenCount(5000))
}

// settleAfter ends a call whose first event came after the given time.
func (tr *trial) settleAfter(granted place.Grant, took time.Duration) {
	tr.now = tr.now.Add(took)
	tr.handle(place.Began{Call: granted.Call})
	tr.now = tr.now.Add(time.Second)
	tr.handle(place.Ended{Call: granted.Call})
}

// Replays the first moments after all hosts lost power, when no copy has come yet that could be late.
// Guards against copies that pile up at a store's link until the first of them tells.
func TestCopiesThatDoNotComeCount(t *testing.T) {
	tr := storedSessions(t, 8, 40)
	copied, number := 0, uint64(0)
	for i := range 20 {
		granted := tr.grant(tr.ask(1, string(session(i)), 5000, 300))
		if granted.Fetched > 0 {
			copied++
		}
		tr.now = tr.now.Add(40 * time.Millisecond)
		// Engines answer calls of another host that need no copies.
		for _, unread := range []spoke.TokenCount{50, 0} {
			number++
			share := spoke.HostUpstreamLoad{Upstream: granted.Upstream.ID, Prefill: unread}
			tr.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: number, Upstreams: []spoke.HostUpstreamLoad{share}}})
		}
	}
	assert.Assert(t, copied <= 8, "%d copied", copied)
}

// Replays an engine that goes dark with calls that wait for copies. Guards against the store that is
// blamed for it.
func TestDarkEngineIsNotItsStoresFault(t *testing.T) {
	tr := storedSessions(t, 2, 40)
	dark := tr.grant(tr.ask(1, string(session(0)), 5000, 300))
	tr.now = tr.now.Add(900 * time.Millisecond)
	tr.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Used: 10000}})
	granted := tr.grant(tr.ask(1, string(session(1)), 5000, 300))
	assert.Assert(t, granted.Upstream.ID != dark.Upstream.ID)
	assert.Equal(t, granted.Fetched, spoke.TokenCount(5000))
}

// Guards against a host that joins a queue at a store's link which other hosts have filled, and against
// a queue that counts on after those copies have come or their host has gone.
func TestCopiesOfOtherHostsCount(t *testing.T) {
	asked := []spoke.CopyReport{{Source: "10.0.0.9:1", PendingTime: 600 * time.Millisecond}}
	for name, end := range map[string]func(tr *trial){
		"they have come": func(tr *trial) {
			tr.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: 2, Copies: []spoke.CopyReport{{Source: "10.0.0.9:1"}}}})
		},
		"their account says nothing of them": func(tr *trial) {
			tr.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: 2, IsSnapshot: true}})
		},
		"their host has gone": func(tr *trial) { tr.handle(place.RemovePeer{Host: "host-2"}) },
	} {
		t.Run(name, func(t *testing.T) {
			tr := storedSessions(t, 2, 10)
			tr.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: 1, Copies: asked}})
			assert.Equal(t, tr.grant(tr.ask(1, string(session(1)), 5000, 300)).Fetched, spoke.TokenCount(0))
			end(tr)
			assert.Equal(t, tr.grant(tr.ask(1, string(session(2)), 5000, 300)).Fetched, spoke.TokenCount(5000))
		})
	}
}

// Guards against what a host copies that others never hear of.
func TestAccountsTellOfPendingCopies(t *testing.T) {
	tr := storedSessions(t, 1, 10)
	granted := tr.grant(tr.ask(1, string(session(1)), 5000, 300))
	told := tr.scheduler.LoadReport(tr.now, false).Copies
	assert.Equal(t, len(told), 1)
	assert.Equal(t, told[0].Source, spoke.Address("10.0.0.9:1"))
	assert.Assert(t, told[0].PendingTime > 0)
	assert.Equal(t, len(tr.scheduler.LoadReport(tr.now, false).Copies), 0)
	tr.handle(place.Began{Call: granted.Call})
	assert.DeepEqual(t, tr.scheduler.LoadReport(tr.now, false).Copies, []spoke.CopyReport{{Source: "10.0.0.9:1", Completed: 1}})
}

// Replays hosts of many cells, which hear only of their own. Guards against copies that pile up at a
// store's link since each cell counts for itself, and against one copy that counts as one of each cell.
func TestOtherCellsAreTakenToCopyAsMuchOnAverage(t *testing.T) {
	copies := func(cells int, busy time.Duration) bool {
		tr := storedSessions(t, 8, 40)
		tr.handle(place.SetCell{Count: cells})
		for step := range uint64(20) {
			took := time.Duration(0)
			if time.Duration(step)*100*time.Millisecond >= 2*time.Second-busy {
				took = 40 * time.Millisecond
			}
			asked := []spoke.CopyReport{{Source: "10.0.0.9:1", PendingTime: took}}
			tr.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: step + 1, Copies: asked}})
			tr.now = tr.now.Add(100 * time.Millisecond)
		}
		return tr.grant(tr.ask(1, string(session(1)), 5000, 300)).Fetched > 0
	}
	assert.Assert(t, copies(1, 2*time.Second), "copies of one cell count for more")
	assert.Assert(t, copies(12, 100*time.Millisecond), "one copy counts for each cell")
	assert.Assert(t, !copies(12, 2*time.Second), "copies of other cells do not count")
}

// Replays small hosts that each copy from a store every few seconds, while its link is slow. Guards
// against each of them learning that alone, when it is over.
func TestLateCopiesOfOtherHostsCount(t *testing.T) {
	tr := storedSessions(t, 4, 20)
	for number := range uint64(3) {
		late := []spoke.CopyReport{{Source: "10.0.0.9:1", Completed: 1, MeanDelay: 900 * time.Millisecond}}
		tr.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: number + 1, Copies: late}})
	}
	assert.Equal(t, tr.grant(tr.ask(1, string(session(1)), 5000, 300)).Fetched, spoke.TokenCount(0))
	tr.now = tr.now.Add(2 * time.Second)
	tr.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Used: 10000}})
	assert.Equal(t, tr.grant(tr.ask(1, string(session(2)), 5000, 300)).Fetched, spoke.TokenCount(5000))
}

// Guards against absurd words of other hosts that keep a store out of use for long.
func TestAbsurdLatenessDoesNotLast(t *testing.T) {
	tr := storedSessions(t, 2, 10)
	absurd := []spoke.CopyReport{{Source: "10.0.0.9:1", PendingTime: time.Hour, Completed: 1, MeanDelay: time.Hour}}
	tr.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: 1, Copies: absurd}})
	tr.handle(place.RemovePeer{Host: "host-2"})
	tr.now = tr.now.Add(4 * time.Second)
	tr.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Used: 10000}})
	assert.Equal(t, tr.grant(tr.ask(1, string(session(2)), 5000, 300)).Fetched, spoke.TokenCount(5000))
}

// Replays engines whose own links are slow and that copy from a fast store at once. Guards against a
// queue at the store that is told from the time which the engines take, so that parts are read again
// although the store is idle.
func TestSlowLinksOfEnginesAreNoQueueAtTheirStore(t *testing.T) {
	tr := storedSessions(t, 6, 10)
	tr.handle(place.SetTable{
		Services: map[spoke.ServiceName]spoke.ServedService{
			models: {Name: models, Engine: &spoke.EngineProfile{Slots: 16, CacheCapacity: 100000, TokenSize: 1000, Link: 1e8}},
		},
		Stores: []spoke.PromptStore{{Name: "store", Address: "10.0.0.9:1", DataCentre: "a", Capacity: 50000, Link: 1e10}},
	})
	for i := range 6 {
		granted := tr.grant(tr.ask(1, string(session(i)), 5000, 300))
		assert.Equal(t, granted.Fetched, spoke.TokenCount(5000), "copy %d", i)
		assert.Assert(t, granted.Predicted < 90*time.Millisecond, "%s", granted.Predicted)
	}
}
