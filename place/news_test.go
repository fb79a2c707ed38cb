package place_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

const largestNews = 400

func storedKeys(count int) []spoke.StoredKey {
	var keys []spoke.StoredKey
	for i := range count {
		keys = append(keys, spoke.StoredKey(i+1))
	}
	return keys
}

// Replays 77 hosts whose followers of stores told all far hosts in one burst, of which small
// links delivered only the first. Guards against two groups in one turn and against a group that
// waits longer than what is known of a store counts.
func TestFarHostsAreToldInTurn(t *testing.T) {
	const jitter = 5 * time.Millisecond
	for _, tick := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond} {
		var turns place.GroupRotation
		begin := time.Unix(1000, 0)
		told := make(map[int]int)
		for i := range int(3 * time.Second / tick) {
			now := begin.Add(time.Duration(i)*tick + time.Duration(i%3)*jitter)
			if group, ok := turns.Due(now); ok {
				told[group]++
			}
		}
		assert.Equal(t, len(told), place.OtherCellGroups)
		for group, count := range told {
			assert.Assert(t, count >= 2 && count <= 4, "group %d was told %d times in three seconds with ticks of %s", group, count, tick)
		}
	}
}

// Replays a store that is listed as a whole. Guards against an account that a small link loses
// for its size, and against far hosts that never hear of some parts.
func TestStoreNewsComeInParts(t *testing.T) {
	tr := newTrial(t, 1)
	tr.handle(place.SetCell{Cell: 1, Count: 3})
	keys := storedKeys(1000)
	tr.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Used: 100, Stored: keys}})
	for group := range place.OtherCellGroups {
		heard := make(map[spoke.StoredKey]bool)
		for range 5 {
			account, _ := tr.scheduler.OtherCellReport(tr.now, group)
			count := 0
			for _, state := range account.Stores {
				count += len(state.Stored)
				for _, key := range state.Stored {
					heard[key] = true
				}
			}
			assert.Assert(t, count <= largestNews, "%d parts in one account", count)
		}
		assert.Equal(t, len(heard), len(keys), "group %d", group)
	}
}

// Guards against parts that a group of hosts is never told again after an account was lost, and
// against parts that are told again although they were freed.
func TestAllPartsAreToldAgain(t *testing.T) {
	tr := newTrial(t, 1)
	tr.handle(place.SetCell{Cell: 1, Count: 3})
	keys := storedKeys(250)
	tr.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Stored: keys}})
	tr.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Freed: keys[:100]}})
	for range 2 {
		tr.scheduler.OtherCellReport(tr.now, 3)
	}
	heard := make(map[spoke.StoredKey]bool)
	for range 6 {
		account, _ := tr.scheduler.OtherCellReport(tr.now, 3)
		for _, state := range account.Stores {
			for _, key := range state.Stored {
				heard[key] = true
			}
		}
	}
	assert.Equal(t, len(heard), 150)
	assert.Assert(t, !heard[keys[0]])
}

// Replays 295 hosts, of which each heard 286 accounts a second that said nothing. Guards against
// accounts to hosts of other cells without news, and against news of weights that they miss.
func TestFarHostsAreToldOnlyWhatIsNew(t *testing.T) {
	tr := newTrial(t, 1)
	tr.handle(place.SetCell{Cell: 1, Count: 32})
	_, hasNews := tr.scheduler.OtherCellReport(tr.now, 0)
	assert.Assert(t, !hasNews)
	tr.name(2)
	account, hasNews := tr.scheduler.OtherCellReport(tr.now, 0)
	assert.Assert(t, hasNews)
	assert.Equal(t, len(account.WantedAges), 1)
	tr.now = tr.now.Add(time.Minute)
	_, hasNews = tr.scheduler.OtherCellReport(tr.now, 0)
	assert.Assert(t, !hasNews)
}

// Replays a roll-out at 295 hosts, of which each repeated to all others when the weights were named,
// and that an engine leaves. Guards against news that all hosts of a cell repeat, and against cells of
// which nobody does.
func TestFewHostsOfACellRepeatWhatAllKnow(t *testing.T) {
	hosts := make([]spoke.HostID, 40)
	for i := range hosts {
		hosts[i] = spoke.HostID(fmt.Sprint("host-", i))
	}
	repeating := make(map[int]int)
	for _, host := range hosts {
		cell, members, count := place.Cells(hosts, host)
		tr := newTrialOf(t, host, 1)
		tr.handle(place.SetCell{Cell: cell, Count: count, HasDelegates: place.HasDelegates(members, host)})
		tr.name(2)
		tr.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "other", Sequence: 1, Leaving: []spoke.UpstreamStart{{ID: "engine-0"}}}})
		account, hasNews := tr.scheduler.OtherCellReport(tr.now, 0)
		if hasNews {
			assert.Equal(t, len(account.WantedAges)+len(account.Leaving), 2)
			repeating[cell]++
		}
	}
	assert.DeepEqual(t, repeating, map[int]int{0: 2, 1: 2, 2: 2, 3: 2})
}

// Guards against a host that follows a store and leaves it to others to tell of it.
func TestFollowerOfAStoreTellsAllCells(t *testing.T) {
	tr := newTrial(t, 1)
	tr.handle(place.SetCell{Cell: 1, Count: 3, HasDelegates: true})
	tr.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Stored: []spoke.StoredKey{5}}})
	account, hasNews := tr.scheduler.OtherCellReport(tr.now, 0)
	assert.Assert(t, hasNews)
	assert.Equal(t, account.Stores[0].Store, spoke.ServiceName("store"))
}
