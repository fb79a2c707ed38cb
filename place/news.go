package place

import (
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// FarGroups is the number of groups of the hosts of other cells. They are told in turn, since
	// accounts sent to all of them at once are more than the queue of a small link holds.
	OtherCellGroups = 10
	// nearGroup is the group of the hosts of this host's cell, which comes after the far ones.
	nearGroup = OtherCellGroups
	listeners = OtherCellGroups + 1
	// farEvery is the interval in which each group of far hosts is told.
	farEvery = time.Second
	// mostTold bounds the parts of stores that one account names as new or freed.
	mostTold = 240
	// toldAgain is the number of known parts of each store in every whole account, which make good
	// accounts that were lost.
	toldAgain = 48
)

type (
	// Turns says when which group of far hosts is told; the zero value begins with the first.
	GroupRotation struct {
		next  time.Time
		group int
	}

	// retold lists the parts of a store in the order in which each group of hosts is told them again.
	retold struct {
		keys []spoke.StoredKey
		next [listeners]int
	}
)

// Due returns the group whose turn it is, if one is due.
func (t *GroupRotation) Due(now time.Time) (int, bool) {
	if now.Before(t.next) {
		return 0, false
	}
	t.next = t.next.Add(farEvery / OtherCellGroups)
	if t.next.Before(now) {
		// Turns that were missed are not made up for, which would tell many groups at once.
		t.next = now.Add(farEvery / OtherCellGroups / 2)
	}
	group := t.group
	t.group = (group + 1) % OtherCellGroups
	return group, true
}

// sawStore notes what hosts of this cell, and of other cells if there are any, should hear.
func (r *report) sawStore(state spoke.StoreState, hasFar bool) {
	first := 0
	if !hasFar {
		first = nearGroup
	}
	for group := first; group < listeners; group++ {
		r.stores[group] = append(r.stores[group], state)
	}
}

// takeStores removes and returns the oldest news for a group, up to the size of one account.
func (r *report) takeStores(group int) []spoke.StoreState {
	pending := r.stores[group]
	var taken []spoke.StoreState
	room := mostTold
	for len(pending) > 0 && room > 0 {
		part, rest, isWhole := splitState(pending[0], room)
		taken = append(taken, part)
		room -= len(part.Stored) + len(part.Freed)
		if isWhole {
			pending = pending[1:]
			continue
		}
		pending = append([]spoke.StoreState{rest}, pending[1:]...)
	}
	r.stores[group] = pending
	return taken
}

// splitState divides news so that the first part names at most the given number of parts.
func splitState(state spoke.StoreState, most int) (part, rest spoke.StoreState, isWhole bool) {
	stored := min(most, len(state.Stored))
	freed := min(most-stored, len(state.Freed))
	part, rest = state, state
	part.Stored, rest.Stored = state.Stored[:stored], state.Stored[stored:]
	part.Freed, rest.Freed = state.Freed[:freed], state.Freed[freed:]
	return part, rest, len(rest.Stored)+len(rest.Freed) == 0
}

// newsOfStores returns the oldest news for a group. What may be copied is told as it is now, since
// news may have waited for their turn.
func (s *Scheduler) newsOfStores(group int) []spoke.StoreState {
	news := s.report.takeStores(group)
	for i := range news {
		if st := s.storeOf(news[i].Store); st != nil {
			news[i].Oldest = st.oldestUsable()
		}
	}
	return news
}

// storesAgain returns the states of the stores that this host follows, with some of their parts.
func (s *Scheduler) storesAgain(now time.Time, group int) []spoke.StoreState {
	var states []spoke.StoreState
	for _, st := range s.stores {
		if st.isOwn {
			states = append(states, spoke.StoreState{
				Store: st.Name, Epoch: st.epoch, Used: st.used, Stored: st.retold.take(group, st.parts),
				Clock: s.engineClock.now(now), Oldest: st.oldestUsable(),
			})
		}
	}
	return states
}

// oldestUsable returns the oldest weights whose parts may be copied.
func (st *store) oldestUsable() []spoke.ListedWeights {
	return listWeights(st.oldest)
}

func (r *retold) add(key spoke.StoredKey) { r.keys = append(r.keys, key) }

// take returns the next parts for a group; parts that were freed are left out.
func (r *retold) take(group int, held map[spoke.StoredKey]bool) []spoke.StoredKey {
	if len(r.keys) > 2*len(held)+toldAgain {
		r.keys = slices.DeleteFunc(r.keys, func(key spoke.StoredKey) bool { return !held[key] })
	}
	var taken []spoke.StoredKey
	for range min(toldAgain, len(r.keys)) {
		position := r.next[group] % len(r.keys)
		r.next[group] = position + 1
		if key := r.keys[position]; held[key] {
			taken = append(taken, key)
		}
	}
	return taken
}
