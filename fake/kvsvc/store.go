package kvsvc

import (
	"maps"
	"slices"
	"strings"
	"time"
)

type (
	version struct {
		value    []byte
		revision uint64
		// expires is the zero time for values that do not expire.
		expires time.Time
	}

	entry struct {
		current  version
		previous version
	}

	// store keeps the last two versions of each key; revisions increase across all keys.
	store struct {
		entries  map[string]entry
		revision uint64
		changed  chan struct{}
	}
)

func newStore() store {
	return store{entries: make(map[string]entry), changed: make(chan struct{})}
}

func (v version) live(now time.Time) bool {
	return v.revision > 0 && (v.expires.IsZero() || now.Before(v.expires))
}

func (s *store) get(now time.Time, key string, stale bool) (version, bool) {
	found := s.entries[key].current
	if stale {
		found = s.entries[key].previous
	}
	return found, found.live(now)
}

// put writes the value if the key has the expected revision, which is zero for a missing key. It
// returns the key's current revision and whether the write took effect.
func (s *store) put(now time.Time, key string, value []byte, expected uint64, ttl time.Duration) (uint64, bool) {
	old, live := s.get(now, key, false)
	if !live {
		old = version{}
	}
	if old.revision != expected {
		return old.revision, false
	}
	s.revision++
	next := version{value: value, revision: s.revision}
	if ttl > 0 {
		next.expires = now.Add(ttl)
	}
	s.entries[key] = entry{current: next, previous: old}
	close(s.changed)
	s.changed = make(chan struct{})
	return next.revision, true
}

// list returns the unexpired pairs with the prefix and a revision above the given one, sorted by key.
func (s *store) list(now time.Time, prefix string, after uint64, stale bool) []pairBody {
	pairs := []pairBody{}
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		found, live := s.get(now, key, stale)
		if live && found.revision > after && strings.HasPrefix(key, prefix) {
			pairs = append(pairs, pairBody{Key: key, Value: found.value, Revision: found.revision})
		}
	}
	return pairs
}
