package place

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/home"
)

const (
	// minSavedPart is the block size of stores, in tokens; smaller parts would take a whole block.
	minSavedPart spoke.TokenCount = 16
	// largePart is the size, in tokens, from which parts go to stores with high capacity rather than to
	// stores with fast links.
	largePart spoke.TokenCount = 2048
	// saveTimeout is the time after which a requested save that the store has not reported counts as lost.
	saveTimeout = 6 * time.Second
	// storeFillLimit is the fraction of a store's capacity that is used, since parts take whole blocks.
	storeFillLimit = 0.96
	// storeLease is how long the state of a store is used without a report from the host that follows it,
	// since a store that has restarted meanwhile may hold the same parts incompletely.
	storeLease = 2500 * time.Millisecond
	// storeCopyTime is the time after a report of a store in which copies from the store have to end. Calls are placed
	// until storeLease has passed.
	storeCopyTime = 3 * time.Second
	// maxIndexed is the size above which the index of parts is rebuilt from the stores.
	maxIndexed = 60000
)

type (
	// store is the state of a prompt store.
	store struct {
		spoke.PromptStore
		epoch  spoke.StoreEpoch
		isDown bool
		// isFollowed says that this host observes the store and reports its state to the other hosts.
		isFollowed bool
		// follower is the host that last reported that the store is up.
		follower spoke.HostID
		// loss is the state that this host repeats after the store was lost or started again, since lostAt; nil if there
		// is none.
		loss   *spoke.StoreState
		lostAt time.Time
		// reportedAt is when the host that follows the store last reported its state, or when the store last confirmed it
		// to this host.
		reportedAt time.Time
		used       spoke.TokenCount
		parts      map[spoke.StoredKey]bool
		repeats    repeatQueue
		// oldest holds the oldest versions whose parts may be copied; parts of older ones may be freed.
		oldest map[spoke.ModelName]spoke.WeightVersion
		// saving holds the parts whose save this host has requested.
		saving map[spoke.StoredKey]savingPart
	}

	// storedKey is the key of a part and the weights that the part was computed with.
	storedKey struct {
		spoke.StoredKey
		model   spoke.ModelName
		version spoke.WeightVersion
	}

	savingPart struct {
		since  time.Time
		tokens spoke.TokenCount
	}
)

// StoredKeyOf returns the key of a part of a cache group.
func StoredKeyOf(part spoke.StoredPart) spoke.StoredKey {
	return spoke.StoredKey(xxhash.Sum64String(part.Group + "/" + string(part.Part)))
}

func newStore(settings spoke.PromptStore) *store {
	return &store{
		PromptStore: settings, parts: make(map[spoke.StoredKey]bool), saving: make(map[spoke.StoredKey]savingPart),
		oldest: make(map[spoke.ModelName]spoke.WeightVersion),
	}
}

func (s *Scheduler) setStores(stores []spoke.PromptStore) {
	known := s.stores
	s.stores = nil
	for _, settings := range stores {
		position := slices.IndexFunc(known, func(st *store) bool { return st.Name == settings.Name && st.Address == settings.Address })
		if position < 0 {
			s.stores = append(s.stores, newStore(settings))
			continue
		}
		known[position].PromptStore = settings
		s.stores = append(s.stores, known[position])
	}
}

func (s *Scheduler) storeOf(name spoke.ServiceName) *store {
	for _, st := range s.stores {
		if st.Name == name {
			return st
		}
	}
	return nil
}

// updateStore applies the state of a store that this host follows and queues it for the other hosts.
func (s *Scheduler) updateStore(now time.Time, m UpdateStore) {
	state, at := m.State, m.At
	st := s.storeOf(state.Store)
	if st == nil {
		return
	}
	if at.IsZero() {
		at = now
	}
	st.apply(at, state)
	s.engineClock.observe(now, state.Clock)
	s.indexStored(st, state.Stored)
	st.isFollowed = !state.IsDown
	if state.IsDown {
		st.loss, st.lostAt = &state, now
		s.report.dropStoreStates(state.Store)
	} else {
		st.loss, st.follower = nil, s.report.host
	}
	s.report.addStoreState(state, s.cell.Count > 1)
}

// stopFollowing ends the reports of a store by this host.
func (s *Scheduler) stopFollowing(name spoke.ServiceName) {
	if st := s.storeOf(name); st != nil {
		st.isFollowed, st.loss = false, nil
		s.report.dropStoreStates(name)
	}
}

// applyReported applies the state of a store that another host reported at sentAt.
func (s *Scheduler) applyReported(now, sentAt time.Time, host spoke.HostID, st *store, state spoke.StoreState) {
	// The store may have started again since a late report, which tells nothing unless a later one names the same start.
	isLate := !state.IsDown && state.Epoch != st.epoch && now.Sub(sentAt) > storeLease
	if isLate || st.isContradicted(now, host, state) {
		return
	}
	if state.Epoch != st.epoch {
		s.report.dropEarlierStates(st.Name, state.Epoch)
	}
	st.apply(sentAt, state)
	s.engineClock.observe(now, state.Clock)
	s.indexStored(st, state.Stored)
	if !state.IsDown {
		st.follower, st.loss = host, nil
	}
	if st.isFollowed {
		s.actions = append(s.actions, StoreConflict{Store: st.Name})
	}
	st.isFollowed = false
}

// isContradicted reports whether another host than the one that reports the store as down follows it and reaches it, so
// that only the ways of the reporting host are lost.
func (st *store) isContradicted(now time.Time, host spoke.HostID, state spoke.StoreState) bool {
	hasStarted := state.Epoch != 0 && state.Epoch != st.epoch
	return state.IsDown && !hasStarted && st.isCurrent(now) && st.follower != host
}

// apply applies a reported state. If the epoch has changed or the store is down, all earlier parts are
// dropped.
func (st *store) apply(at time.Time, state spoke.StoreState) {
	if state.IsDown || state.Epoch != st.epoch {
		st.reportedAt = at
		clear(st.parts)
		clear(st.saving)
		st.repeats = repeatQueue{}
	}
	st.reportedAt = later(st.reportedAt, at)
	st.epoch, st.isDown, st.used = state.Epoch, state.IsDown, state.Used
	for _, usable := range state.Oldest {
		st.oldest[usable.Model] = max(st.oldest[usable.Model], usable.Version)
	}
	for _, key := range state.Stored {
		delete(st.saving, key)
		if !st.parts[key] {
			st.parts[key] = true
			st.repeats.add(key)
		}
	}
	for _, key := range state.Freed {
		delete(st.parts, key)
	}
}

// isCurrent reports whether the state of the store is known and recent enough to be used.
func (st *store) isCurrent(now time.Time) bool {
	return !st.isDown && st.epoch != 0 && now.Sub(st.reportedAt) <= storeLease
}

// timeToCopy returns the time in which copies from the given sources have to end: before any of them that is a store may
// hold parts that are being saved again, if it has started again since it was last reported.
func (s *Scheduler) timeToCopy(now time.Time, fetch []spoke.Address) time.Duration {
	left := maxCopyTime
	for _, st := range s.stores {
		if slices.Contains(fetch, st.Address) {
			left = min(left, st.reportedAt.Add(storeCopyTime).Sub(now))
		}
	}
	return left
}

// isConfirmed reports whether the store has answered this host, which follows it, lately enough to report its state.
func (st *store) isConfirmed(now time.Time) bool { return now.Sub(st.reportedAt) <= StoreConfirmation }

// isOutdated reports whether a part may be freed, so that it must not be copied.
func (st *store) isOutdated(key storedKey) bool { return key.version < st.oldest[key.model] }

// hasRoom reports whether a part fits in addition to those that are stored or being saved.
func (st *store) hasRoom(now time.Time, tokens spoke.TokenCount) bool {
	used := st.used
	for key, saving := range st.saving {
		if now.Sub(saving.since) > saveTimeout {
			delete(st.saving, key)
			continue
		}
		used += saving.tokens
	}
	return float64(used+tokens) <= storeFillLimit*float64(st.Capacity)
}

// planSaves returns the address of a store for each shared part that no store holds or is about to hold.
func (s *Scheduler) planSaves(now time.Time, m Request, version spoke.WeightVersion) []spoke.Address {
	if m.Prompt == nil || len(s.stores) == 0 || len(m.Prompt.Parts) < 2 {
		return nil
	}
	saves := make([]spoke.Address, len(m.Prompt.Parts))
	keys := storedKeys(m, version)
	// The last part is not shared with other requests.
	for i, part := range m.Prompt.Parts[:len(m.Prompt.Parts)-1] {
		key := keys[i]
		if part.Tokens < minSavedPart || s.isStored(now, key) {
			continue
		}
		if st := s.storeFor(now, m.Homes, key, part.Tokens); st != nil {
			st.saving[key.StoredKey] = savingPart{since: now, tokens: part.Tokens}
			saves[i] = st.Address
		}
	}
	return saves
}

func (s *Scheduler) isStored(now time.Time, key storedKey) bool {
	if s.storeHolding(now, key, s.settings.DataCentre) != nil {
		return true
	}
	for _, st := range s.stores {
		if saving, ok := st.saving[key.StoredKey]; ok && now.Sub(saving.since) <= saveTimeout {
			return true
		}
	}
	return false
}

// storeFor picks a store with room in the call's homes: large parts go to the stores with the highest capacity, small ones to
// those with the fastest links, and either to the others if these have no room. Rendezvous hashing decides
// between equal stores.
func (s *Scheduler) storeFor(now time.Time, homes home.Set, key storedKey, tokens spoke.TokenCount) *store {
	var best *store
	var bestWeight float64
	for _, st := range s.stores {
		if !st.isCurrent(now) || st.isOutdated(key) || !homes.Allows(s.settings.Regions[st.DataCentre]) || !st.hasRoom(now, tokens) {
			continue
		}
		weight := float64(xxhash.Sum64String(string(st.Name)+"/"+strconv.FormatUint(uint64(key.StoredKey), 36))>>11) / (1 << 53)
		if tokens >= largePart {
			weight += float64(st.Capacity)
		} else {
			weight += float64(st.Link)
		}
		if best == nil || weight > bestWeight {
			best, bestWeight = st, weight
		}
	}
	return best
}

// storeHolding returns a store that holds a part, preferably in the given data centre.
func (s *Scheduler) storeHolding(now time.Time, key storedKey, at spoke.DataCentreID) *store {
	var best *store
	for _, st := range s.storeIndex[key.StoredKey] {
		if !st.isCurrent(now) || !st.parts[key.StoredKey] || st.isOutdated(key) {
			continue
		}
		if best == nil || (best.DataCentre != at && st.DataCentre == at) {
			best = st
		}
	}
	return best
}

// indexStored adds parts of a store to the index. Stale entries are harmless, since lookups also check the
// parts of the store.
func (s *Scheduler) indexStored(st *store, keys []spoke.StoredKey) {
	for _, key := range keys {
		if !slices.Contains(s.storeIndex[key], st) {
			s.storeIndex[key] = append(s.storeIndex[key], st)
		}
	}
	if len(s.storeIndex) > maxIndexed {
		s.rebuildIndex()
	}
}

func (s *Scheduler) rebuildIndex() {
	s.storeIndex = make(map[spoke.StoredKey][]*store)
	for _, st := range s.stores {
		for key := range st.parts {
			s.storeIndex[key] = append(s.storeIndex[key], st)
		}
	}
}
