package place

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliaspoke.example/spoke"
)

const (
	// leastSaved is the size of a block; smaller parts take a whole one.
	leastSaved spoke.TokenCount = 16
	// largePart divides the parts between the stores with much room and those with fast links.
	largePart spoke.TokenCount = 2048
	// saveTime is the time in which a save that was asked for shows at the store, or is lost.
	saveTime = 6 * time.Second
	// storeRoom is the part of a store that is filled, since space is taken in whole blocks.
	storeRoom = 0.96
	// storeLease is how long what a store holds counts without a word from the host that follows
	// it; a store that has started again may hold the same parts only in part.
	storeLease = 2500 * time.Millisecond
	// mostIndexed is the size at which the index of parts is made anew from the stores.
	mostIndexed = 60000
)

type (
	// store is what is known of a prompt store.
	store struct {
		spoke.PromptStore
		epoch  spoke.StoreEpoch
		isDown bool
		isOwn  bool
		// heard is when the host that follows the store last told of it.
		heard  time.Time
		used   spoke.TokenCount
		parts  map[spoke.StoredKey]bool
		retold retold
		// oldest holds the oldest weights whose parts may be copied; older ones may be freed.
		oldest map[spoke.ModelName]spoke.WeightVersion
		// saving holds parts whose save was asked for here.
		saving map[spoke.StoredKey]savingPart
	}

	// storedKey is a part with the weights on which it was made.
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

// StoredKeyOf identifies a part of a cache group.
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

// seeStore takes what this host learned of a store that it follows and tells the others.
func (s *Scheduler) seeStore(now time.Time, state spoke.StoreState) {
	st := s.storeOf(state.Store)
	if st == nil {
		return
	}
	st.take(now, state)
	s.engineClock.hear(now, state.Clock)
	s.indexStored(st, state.Stored)
	st.isOwn = !state.IsDown
	s.report.sawStore(state, s.cell.Count > 1)
}

// take changes what is known; another epoch or a store that is down holds nothing of before.
func (st *store) take(now time.Time, state spoke.StoreState) {
	st.heard = now
	if state.IsDown || state.Epoch != st.epoch {
		clear(st.parts)
		clear(st.saving)
		st.retold = retold{}
	}
	st.epoch, st.isDown, st.used = state.Epoch, state.IsDown, state.Used
	for _, usable := range state.Oldest {
		st.oldest[usable.Model] = max(st.oldest[usable.Model], usable.Version)
	}
	for _, key := range state.Stored {
		delete(st.saving, key)
		if !st.parts[key] {
			st.parts[key] = true
			st.retold.add(key)
		}
	}
	for _, key := range state.Freed {
		delete(st.parts, key)
	}
}

// isKnown reports whether what is known of the store still counts.
func (st *store) isKnown(now time.Time) bool {
	return !st.isDown && st.epoch != 0 && now.Sub(st.heard) <= storeLease
}

// isOutdated reports whether a part may be freed, so that it must not be copied.
func (st *store) isOutdated(key storedKey) bool { return key.version < st.oldest[key.model] }

// hasRoom reports whether a part fits beside what is stored and on its way.
func (st *store) hasRoom(now time.Time, tokens spoke.TokenCount) bool {
	used := st.used
	for key, saving := range st.saving {
		if now.Sub(saving.since) > saveTime {
			delete(st.saving, key)
			continue
		}
		used += saving.tokens
	}
	return float64(used+tokens) <= storeRoom*float64(st.Capacity)
}

// planSaves names a store for each shared part that no store holds or is about to hold.
func (s *Scheduler) planSaves(now time.Time, m Request, version spoke.WeightVersion) []spoke.Address {
	if m.Prompt == nil || len(s.stores) == 0 || len(m.Prompt.Parts) < 2 {
		return nil
	}
	saves := make([]spoke.Address, len(m.Prompt.Parts))
	keys := storedKeys(m, version)
	// The last part belongs to this request alone.
	for i, part := range m.Prompt.Parts[:len(m.Prompt.Parts)-1] {
		key := keys[i]
		if part.Tokens < leastSaved || s.isStored(now, key) {
			continue
		}
		if st := s.storeFor(now, key, part.Tokens); st != nil {
			st.saving[key.StoredKey] = savingPart{since: now, tokens: part.Tokens}
			saves[i] = st.Address
		}
	}
	return saves
}

func (s *Scheduler) isStored(now time.Time, key storedKey) bool {
	if s.storeWith(now, key, s.settings.DataCentre) != nil {
		return true
	}
	for _, st := range s.stores {
		if saving, ok := st.saving[key.StoredKey]; ok && now.Sub(saving.since) <= saveTime {
			return true
		}
	}
	return false
}

// storeFor picks a store with room by rendezvous hashing: large parts go to the large stores,
// small ones to those with the fastest links, and either to the others if there is no room.
func (s *Scheduler) storeFor(now time.Time, key storedKey, tokens spoke.TokenCount) *store {
	var best *store
	var bestWeight float64
	for _, st := range s.stores {
		if !st.isKnown(now) || st.isOutdated(key) || !st.hasRoom(now, tokens) {
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

// storeWith returns the nearest store that holds a part.
func (s *Scheduler) storeWith(now time.Time, key storedKey, at spoke.DataCentreID) *store {
	var best *store
	for _, st := range s.storedAt[key.StoredKey] {
		if !st.isKnown(now) || !st.parts[key.StoredKey] || st.isOutdated(key) {
			continue
		}
		if best == nil || (best.DataCentre != at && st.DataCentre == at) {
			best = st
		}
	}
	return best
}

// indexStored notes where parts are; entries that are out of date do no harm, since the store
// itself is asked as well.
func (s *Scheduler) indexStored(st *store, keys []spoke.StoredKey) {
	for _, key := range keys {
		if !slices.Contains(s.storedAt[key], st) {
			s.storedAt[key] = append(s.storedAt[key], st)
		}
	}
	if len(s.storedAt) > mostIndexed {
		s.rebuildIndex()
	}
}

func (s *Scheduler) rebuildIndex() {
	s.storedAt = make(map[spoke.StoredKey][]*store)
	for _, st := range s.stores {
		for key := range st.parts {
			s.storedAt[key] = append(s.storedAt[key], st)
		}
	}
}
