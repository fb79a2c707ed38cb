package place_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

const maxPartsPerReport = 400

func storedKeys(count int) []spoke.StoredKey {
	var keys []spoke.StoredKey
	for i := range count {
		keys = append(keys, spoke.StoredKey(i+1))
	}
	return keys
}

// With 77 hosts, those that follow stores reported to all hosts of other cells in one burst, of which small
// links delivered only the beginning. Guards against reports to two groups at once, and against a group that
// waits for longer than the state of a store is used.
func TestReportsToOtherCellsRotate(t *testing.T) {
	const jitter = 5 * time.Millisecond
	for _, tick := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond} {
		var rotation place.GroupRotation
		begin := time.Unix(1000, 0)
		due := make(map[int]int)
		for i := range int(3 * time.Second / tick) {
			now := begin.Add(time.Duration(i)*tick + time.Duration(i%3)*jitter)
			if group, ok := rotation.Due(now); ok {
				due[group]++
			}
		}
		assert.Equal(t, len(due), place.OtherCellGroups)
		for group, count := range due {
			assert.Assert(t, count >= 2 && count <= 4, "group %d was due %d times in three seconds with ticks of %s", group, count, tick)
		}
	}
}

// A store is listed completely. Guards against a report that a small link drops for its size, and against
// parts that hosts of other cells never receive.
func TestStoreUpdatesAreSplit(t *testing.T) {
	ts := newTestScheduler(t, 1)
	ts.handle(place.SetCell{Cell: 1, Count: 3})
	keys := storedKeys(1000)
	ts.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Used: 100, Stored: keys}})
	for group := range place.OtherCellGroups {
		received := make(map[spoke.StoredKey]bool)
		for range 5 {
			report, _ := ts.scheduler.OtherCellReport(ts.now, group)
			count := 0
			for _, state := range report.Stores {
				count += len(state.Stored)
				for _, key := range state.Stored {
					received[key] = true
				}
			}
			assert.Assert(t, count <= maxPartsPerReport, "%d parts in one report", count)
		}
		assert.Equal(t, len(received), len(keys), "group %d", group)
	}
}

// Guards against parts that are not repeated to a group of hosts after a report was lost, and against
// repeating parts that were freed.
func TestAllPartsAreRepeated(t *testing.T) {
	ts := newTestScheduler(t, 1)
	ts.handle(place.SetCell{Cell: 1, Count: 3})
	keys := storedKeys(250)
	ts.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Stored: keys}})
	ts.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Freed: keys[:100]}})
	for range 2 {
		ts.scheduler.OtherCellReport(ts.now, 3)
	}
	received := make(map[spoke.StoredKey]bool)
	for range 6 {
		report, _ := ts.scheduler.OtherCellReport(ts.now, 3)
		for _, state := range report.Stores {
			for _, key := range state.Stored {
				received[key] = true
			}
		}
	}
	assert.Equal(t, len(received), 150)
	assert.Assert(t, !received[keys[0]])
}

// Guards against states of a store that were queued for a group before the store was lost: hosts of other cells would
// use them for seconds more, although the store may have started again.
func TestQueuedStatesOfALostStoreAreDropped(t *testing.T) {
	ts := newTestScheduler(t, 1)
	ts.handle(place.SetCell{Cell: 1, Count: 3})
	ts.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Stored: storedKeys(1000)}})
	lost := spoke.StoreState{Store: "store", IsDown: true}
	ts.handle(place.UpdateStore{State: lost})
	for group := range place.OtherCellGroups {
		report, _ := ts.scheduler.OtherCellReport(ts.now, group)
		assert.DeepEqual(t, report.Stores[0], lost)
		for range 5 {
			report, _ = ts.scheduler.OtherCellReport(ts.now, group)
			for _, state := range report.Stores {
				assert.Assert(t, state.IsDown, "group %d", group)
			}
		}
	}
}

// With 295 hosts, each received 286 empty reports a second. Guards against reports to other cells without
// changes, and against changes of wanted weights that they do not receive.
func TestOtherCellsReceiveOnlyChanges(t *testing.T) {
	ts := newTestScheduler(t, 1)
	ts.handle(place.SetCell{Cell: 1, Count: 32})
	_, hasChanges := ts.scheduler.OtherCellReport(ts.now, 0)
	assert.Assert(t, !hasChanges)
	ts.setWanted(2)
	report, hasChanges := ts.scheduler.OtherCellReport(ts.now, 0)
	assert.Assert(t, hasChanges)
	assert.Equal(t, len(report.WantedAges), 1)
	ts.now = ts.now.Add(time.Minute)
	_, hasChanges = ts.scheduler.OtherCellReport(ts.now, 0)
	assert.Assert(t, !hasChanges)
}

// In a rollout with 295 hosts, each reported to all others when the weights became wanted and that an
// engine leaves. Guards against changes that all hosts of a cell report, and against cells in which no host
// does.
func TestOnlyDelegatesReportSharedState(t *testing.T) {
	hosts := make([]spoke.HostID, 40)
	for i := range hosts {
		hosts[i] = spoke.HostID(fmt.Sprint("host-", i))
	}
	reporting := make(map[int]int)
	for _, host := range hosts {
		cell, members, count := place.Cells(hosts, host)
		ts := newTestSchedulerFor(t, host, 1)
		ts.handle(place.SetCell{Cell: cell, Count: count, HasDelegates: place.HasDelegates(members, host)})
		ts.setWanted(2)
		ts.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "other", Sequence: 1, Leaving: []spoke.UpstreamStart{{ID: "engine-0"}}}})
		report, hasChanges := ts.scheduler.OtherCellReport(ts.now, 0)
		if hasChanges {
			assert.Equal(t, len(report.WantedAges)+len(report.Leaving), 2)
			reporting[cell]++
		}
	}
	assert.DeepEqual(t, reporting, map[int]int{0: 2, 1: 2, 2: 2, 3: 2})
}

// Guards against a host that follows a store and does not report it to other cells since it is no delegate.
func TestFollowerOfAStoreReportsToAllCells(t *testing.T) {
	ts := newTestScheduler(t, 1)
	ts.handle(place.SetCell{Cell: 1, Count: 3, HasDelegates: true})
	ts.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Stored: []spoke.StoredKey{5}}})
	report, hasChanges := ts.scheduler.OtherCellReport(ts.now, 0)
	assert.Assert(t, hasChanges)
	assert.Equal(t, report.Stores[0].Store, spoke.ServiceName("store"))
}

// hasCopies reports whether a call with a stored part would copy it.
func (ts *testScheduler) hasCopies() bool {
	granted := ts.grant(ts.request(2, "session", 8000, 1000))
	ts.finish(granted)
	return granted.FetchSources[0] != ""
}

// A host that lost its ways to a store reported it as down, and all hosts forgot its parts although another host
// reached it. Guards against that, against ignoring the loss of the host that follows the store, and against use of a
// store that another host has seen start again.
func TestStoreThatItsFollowerReachesIsNotDown(t *testing.T) {
	key := place.StoredKeyOf(spoke.StoredPart{Group: groupAt(1), Part: "session"})
	state := spoke.StoreState{Store: "store", Epoch: 7, Used: 8000, Clock: 50000, Stored: []spoke.StoredKey{key}}
	for _, test := range []struct {
		name string
		host spoke.HostID
		lost spoke.StoreState
		used bool
	}{
		{"loss of another host", "host-3", spoke.StoreState{Store: "store", IsDown: true}, true},
		{"pause of another host after this start", "host-3", spoke.StoreState{Store: "store", Epoch: 7, IsDown: true}, true},
		{"start seen by another host", "host-3", spoke.StoreState{Store: "store", Epoch: 8, IsDown: true}, false},
		{"loss of the follower", "host-2", spoke.StoreState{Store: "store", IsDown: true}, false},
	} {
		for _, isOwn := range []bool{false, true} {
			ts := newTestScheduler(t, 1)
			if isOwn && test.host == "host-3" {
				ts.handle(place.UpdateStore{State: state})
			} else {
				ts.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: 1, Stores: []spoke.StoreState{state}}})
			}
			assert.Assert(t, ts.hasCopies())
			ts.handle(place.ReceiveReport{Report: spoke.HostReport{Host: test.host, Sequence: 2, Stores: []spoke.StoreState{test.lost}}})
			assert.Equal(t, ts.hasCopies(), test.used, "%s, followed by this host: %t", test.name, isOwn)
		}
	}
}

// Guards against a store that nobody takes over since the only report of its loss was lost, and against a host that
// goes on to report it as lost for long or after another host follows it.
func TestLossOfAStoreIsRepeatedForAWhile(t *testing.T) {
	lost := spoke.StoreState{Store: "store", IsDown: true}
	isReported := func(ts *testScheduler) bool {
		own := ts.scheduler.LoadReport(ts.now, true).Stores
		other, _ := ts.scheduler.OtherCellReport(ts.now, 3)
		assert.Equal(t, len(own), len(other.Stores))
		return len(own) > 0 && own[0].IsDown
	}
	for _, isTaken := range []bool{false, true} {
		ts := newTestScheduler(t, 1)
		ts.handle(place.SetCell{Cell: 1, Count: 3})
		ts.handle(place.UpdateStore{State: lost})
		assert.Assert(t, isReported(ts))
		ts.now = ts.now.Add(time.Second)
		if isTaken {
			up := spoke.StoreState{Store: "store", Epoch: 7}
			ts.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: 1, Stores: []spoke.StoreState{up}}})
		}
		assert.Equal(t, isReported(ts), !isTaken)
		ts.now = ts.now.Add(place.StoreRetryDelay - time.Second)
		assert.Assert(t, !isReported(ts))
	}
}

// Guards against a host that goes on to report the state of a store that it does not follow any more.
func TestStoreThatIsLeftIsNotReported(t *testing.T) {
	ts := newTestScheduler(t, 1)
	ts.handle(place.SetCell{Cell: 1, Count: 3})
	ts.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Stored: storedKeys(1000)}})
	ts.handle(place.StopFollowing{Store: "store"})
	assert.Equal(t, len(ts.scheduler.LoadReport(ts.now, true).Stores), 0)
	report, _ := ts.scheduler.OtherCellReport(ts.now, 3)
	assert.Equal(t, len(report.Stores), 0)
}

// A call of a follower hung for 2 s, or its process was suspended, while the store started again: it went on to report
// the earlier start, also from its queue. Guards against that, and against a state that is not reported again once the
// store answers.
func TestStateThatTheStoreDoesNotConfirmIsNotReported(t *testing.T) {
	ts := newTestScheduler(t, 1)
	ts.handle(place.SetCell{Cell: 1, Count: 3})
	reports := func() int {
		other, _ := ts.scheduler.OtherCellReport(ts.now, 3)
		return len(ts.scheduler.LoadReport(ts.now, true).Stores) + len(other.Stores)
	}
	ts.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Stored: storedKeys(1000)}})
	assert.Equal(t, reports(), 4)
	ts.now = ts.now.Add(time.Second)
	assert.Equal(t, reports(), 0)
	ts.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7}})
	assert.Assert(t, reports() > 0)
}

// A suspended host read reports that had waited meanwhile and used the start of a store that they named as if it had
// just been confirmed. Guards against that, and against a late report that replaces the state of a later start.
func TestLateReportDoesNotRenewAStore(t *testing.T) {
	key := place.StoredKeyOf(spoke.StoredPart{Group: groupAt(1), Part: "session"})
	state := spoke.StoreState{Store: "store", Epoch: 7, Used: 8000, Clock: 50000, Stored: []spoke.StoredKey{key}}
	ts := newTestScheduler(t, 1)
	late := spoke.HostReport{Host: "host-2", Sequence: 1, Stores: []spoke.StoreState{state}}
	ts.handle(place.ReceiveReport{Report: late, MaxDelay: 5 * time.Second})
	assert.Assert(t, !ts.hasCopies())
	late.Sequence++
	ts.handle(place.ReceiveReport{Report: late, MaxDelay: 2 * time.Second})
	assert.Assert(t, ts.hasCopies())
	ts.now = ts.now.Add(time.Second)
	assert.Assert(t, !ts.hasCopies())

	state.Epoch = 8
	ts.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-3", Sequence: 1, Stores: []spoke.StoreState{state}}})
	late.Sequence++
	ts.handle(place.ReceiveReport{Report: late, MaxDelay: 5 * time.Second})
	assert.Assert(t, ts.hasCopies())
}

// A host that received no more reports of a store copied parts from it until 5.5 s after the last one, while the others
// could save them anew after a pause that is shorter. Guards against that.
func TestCopiesEndBeforeAStoreIsUsedAgain(t *testing.T) {
	key := place.StoredKeyOf(spoke.StoredPart{Group: groupAt(1), Part: "session"})
	state := spoke.StoreState{Store: "store", Epoch: 7, Used: 8000, Clock: 50000, Stored: []spoke.StoredKey{key}}
	ts := newTestScheduler(t, 1)
	ts.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: 1, Stores: []spoke.StoreState{state}}})
	ts.now = ts.now.Add(2 * time.Second)
	granted := ts.grant(ts.request(2, "session", 8000, 1000))
	assert.Assert(t, granted.FetchSources[0] != "")
	assert.Equal(t, granted.FetchDeadline, spoke.EngineTime(53000))
}
