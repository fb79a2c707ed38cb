package place

import (
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// OtherCellGroups is the number of groups of the hosts of other cells. Reports go to one group after
	// the other, since reports to all of them at once would overflow the queue of a small link.
	OtherCellGroups = 10
	// ownCellGroup is the group of the hosts of this host's cell, which follows those of other cells.
	ownCellGroup = OtherCellGroups
	reportGroups = OtherCellGroups + 1
	// otherCellInterval is the interval of the reports to each group of other cells.
	otherCellInterval = time.Second
	// maxReportedParts bounds the parts of stores that one report lists as new or freed.
	maxReportedParts = 240
	// repeatedParts is the number of known parts of each store that every full report repeats, to make up
	// for lost reports.
	repeatedParts = 48
)

type (
	// GroupRotation schedules the reports to the groups of other cells; the zero value starts with the
	// first group.
	GroupRotation struct {
		next  time.Time
		group int
	}

	// repeatQueue lists the parts of a store in the order in which they are repeated to each group.
	repeatQueue struct {
		keys []spoke.StoredKey
		next [reportGroups]int
	}
)

// Due returns the next group if its report is due, and advances the rotation.
func (t *GroupRotation) Due(now time.Time) (int, bool) {
	if now.Before(t.next) {
		return 0, false
	}
	t.next = t.next.Add(otherCellInterval / OtherCellGroups)
	if t.next.Before(now) {
		// Missed reports are skipped, since catching up would send to many groups at once.
		t.next = now.Add(otherCellInterval / OtherCellGroups / 2)
	}
	group := t.group
	t.group = (group + 1) % OtherCellGroups
	return group, true
}

// addStoreState queues a state for the hosts of this cell, and for those of other cells if there are any.
func (r *reportBuilder) addStoreState(state spoke.StoreState, hasOtherCells bool) {
	first := 0
	if !hasOtherCells {
		first = ownCellGroup
	}
	for group := first; group < reportGroups; group++ {
		r.stores[group] = append(r.stores[group], state)
	}
}

// dropStoreStates drops the queued states of a store, which are no longer true.
func (r *reportBuilder) dropStoreStates(name spoke.ServiceName) {
	r.dropStates(func(state spoke.StoreState) bool { return state.Store == name })
}

// dropEarlierStates drops the queued states of a store that are of another start than epoch.
func (r *reportBuilder) dropEarlierStates(name spoke.ServiceName, epoch spoke.StoreEpoch) {
	r.dropStates(func(state spoke.StoreState) bool { return state.Store == name && !state.IsDown && state.Epoch != epoch })
}

func (r *reportBuilder) dropStates(isOver func(spoke.StoreState) bool) {
	for group := range r.stores {
		r.stores[group] = slices.DeleteFunc(r.stores[group], isOver)
	}
}

// takeStoreStates removes and returns the oldest queued states for a group, up to the size of one report. States that
// mayReport excludes stay in the queue.
func (r *reportBuilder) takeStoreStates(group int, mayReport func(spoke.StoreState) bool) []spoke.StoreState {
	var taken, left []spoke.StoreState
	limit := maxReportedParts
	for _, state := range r.stores[group] {
		if limit <= 0 || !mayReport(state) {
			left = append(left, state)
			continue
		}
		part, rest, isComplete := splitState(state, limit)
		taken = append(taken, part)
		limit -= len(part.Stored) + len(part.Freed)
		if !isComplete {
			left = append(left, rest)
		}
	}
	r.stores[group] = left
	return taken
}

// splitState divides a state so that part lists at most limit stored and freed parts. isComplete reports
// whether nothing is left in rest.
func splitState(state spoke.StoreState, limit int) (part, rest spoke.StoreState, isComplete bool) {
	stored := min(limit, len(state.Stored))
	freed := min(limit-stored, len(state.Freed))
	part, rest = state, state
	part.Stored, rest.Stored = state.Stored[:stored], state.Stored[stored:]
	part.Freed, rest.Freed = state.Freed[:freed], state.Freed[freed:]
	return part, rest, len(rest.Stored)+len(rest.Freed) == 0
}

// storeUpdates removes and returns the oldest queued states for a group. Their oldest usable versions are
// replaced by the present ones, since the states may have been queued for some time.
func (s *Scheduler) storeUpdates(now time.Time, group int) []spoke.StoreState {
	updates := s.report.takeStoreStates(group, func(state spoke.StoreState) bool {
		st := s.storeOf(state.Store)
		return state.IsDown || st == nil || st.isConfirmed(now)
	})
	for i := range updates {
		if st := s.storeOf(updates[i].Store); st != nil {
			updates[i].Oldest = st.oldestUsable()
		}
	}
	return updates
}

// repeatedStoreStates returns the states of the stores that this host follows, with some of their parts, and of those
// that it has lost.
func (s *Scheduler) repeatedStoreStates(now time.Time, group int) []spoke.StoreState {
	var states []spoke.StoreState
	for _, st := range s.stores {
		if st.loss != nil && now.Sub(st.lostAt) <= lossNoticeTime {
			states = append(states, *st.loss)
		}
		if st.isFollowed && st.isConfirmed(now) {
			states = append(states, spoke.StoreState{
				Store: st.Name, Epoch: st.epoch, Used: st.used, Stored: st.repeats.take(group, st.parts),
				Clock: s.engineClock.now(now), Oldest: st.oldestUsable(),
			})
		}
	}
	return states
}

// oldestUsable returns the oldest weights whose parts may be copied.
func (st *store) oldestUsable() []spoke.ServedWeights {
	return listWeights(st.oldest)
}

func (r *repeatQueue) add(key spoke.StoredKey) { r.keys = append(r.keys, key) }

// take returns the next parts for a group, without those that were freed.
func (r *repeatQueue) take(group int, held map[spoke.StoredKey]bool) []spoke.StoredKey {
	if len(r.keys) > 2*len(held)+repeatedParts {
		r.keys = slices.DeleteFunc(r.keys, func(key spoke.StoredKey) bool { return !held[key] })
	}
	var taken []spoke.StoredKey
	for range min(repeatedParts, len(r.keys)) {
		position := r.next[group] % len(r.keys)
		r.next[group] = position + 1
		if key := r.keys[position]; held[key] {
			taken = append(taken, key)
		}
	}
	return taken
}
