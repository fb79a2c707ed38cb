package cache_test

import (
	"maps"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cache"
)

// indexMachine compares an index with the history of an engine's prefix cache.
type indexMachine struct {
	index  *cache.Index
	events []spoke.CacheEvent
	// states[n] is the content after event n.
	states  []map[spoke.BlockKey]bool
	ticket  cache.SnapshotTicket
	request *spoke.CacheSnapshot
	// marks maps each marked block to the length of the history at its mark.
	marks map[spoke.BlockKey]int
}

func drawKey(t *rapid.T) spoke.BlockKey {
	return spoke.BlockKey{byte(rapid.IntRange(0, 5).Draw(t, "key"))}
}

func (m *indexMachine) now() map[spoke.BlockKey]bool { return m.states[len(m.states)-1] }

func (m *indexMachine) Change(t *rapid.T) {
	key := drawKey(t)
	next := maps.Clone(m.now())
	event := spoke.CacheEvent{Sequence: spoke.Sequence(len(m.states)), Kind: spoke.BlockStored, Key: key}
	if next[key] {
		event.Kind = spoke.BlockEvicted
	}
	next[key] = !next[key]
	m.events = append(m.events, event)
	m.states = append(m.states, next)
}

func (m *indexMachine) Read(t *rapid.T) {
	after := m.index.Position()
	visible := rapid.IntRange(min(int(after), len(m.events)), len(m.events)).Draw(t, "visible")
	batch := spoke.CacheEventBatch{Next: spoke.Sequence(max(visible, int(after)))}
	complete := true
	for _, event := range m.events[min(int(after), visible):visible] {
		if rapid.IntRange(0, 5).Draw(t, "loss") == 0 {
			complete = false
			continue
		}
		batch.Events = append(batch.Events, event)
	}
	wasKnown := m.index.IsSynced()
	assert.Equal(t, m.index.ApplyEvents(after, batch), wasKnown && complete)
}

func (m *indexMachine) RequestSnapshot(t *rapid.T) {
	if m.request != nil {
		t.Skip("one request at a time")
	}
	m.ticket = m.index.BeginSnapshot()
	m.request = &spoke.CacheSnapshot{AsOf: spoke.Sequence(len(m.events))}
	for key, held := range m.now() {
		if held {
			m.request.Keys = append(m.request.Keys, key)
		}
	}
}

func (m *indexMachine) AnswerSnapshot(t *rapid.T) {
	if m.request == nil {
		t.Skip("no request")
	}
	m.index.ApplySnapshot(m.ticket, *m.request)
	m.request = nil
}

func (m *indexMachine) Mark(t *rapid.T) {
	key := drawKey(t)
	m.index.MarkDoubtful([]spoke.BlockKey{key})
	m.marks[key] = len(m.states) - 1
}

func (m *indexMachine) Die(*rapid.T) { m.index.Reset() }

func (m *indexMachine) Check(t *rapid.T) {
	for key, since := range m.marks {
		if m.index.IsDoubtful([]spoke.BlockKey{key}) {
			continue
		}
		absent := false
		for _, state := range m.states[since:] {
			absent = absent || !state[key]
		}
		assert.Assert(t, absent, "a block lost its mark while the engine held it")
		delete(m.marks, key)
	}
	if !m.index.IsSynced() {
		assert.Equal(t, m.index.Size(), 0)
		return
	}
	for key := range byte(6) {
		block := spoke.BlockKey{key}
		shown := m.index.Resident([]spoke.BlockKey{block}) == 1
		assert.Equal(t, shown, m.states[m.index.Position()][block])
	}
}

// Guards against an index that shows other blocks than a snapshot at its position would, and
// against a mark of doubt that ends while the engine still holds the block.
func TestIndexMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := &indexMachine{
			index:  cache.NewIndex(),
			states: []map[spoke.BlockKey]bool{{}},
			marks:  make(map[spoke.BlockKey]int),
		}
		t.Repeat(rapid.StateMachineActions(machine))
	})
}

// Guards against events of a restarted engine that extend the index of the one before.
func TestIndexNoticesRestart(t *testing.T) {
	index := cache.NewIndex()
	index.ApplySnapshot(index.BeginSnapshot(), spoke.CacheSnapshot{AsOf: 9, Keys: []spoke.BlockKey{{1}}})
	assert.Assert(t, !index.ApplyEvents(9, spoke.CacheEventBatch{Next: 2}))
	assert.Equal(t, index.Resident([]spoke.BlockKey{{1}}), 0)
	index.ApplySnapshot(index.BeginSnapshot(), spoke.CacheSnapshot{AsOf: 2, Keys: []spoke.BlockKey{{2}}})
	assert.Equal(t, index.Resident([]spoke.BlockKey{{2}, {1}}), 1)
}

// Guards against a late event about an earlier copy of a block that ends the doubt about the
// present one.
func TestIndexKeepsDoubtOverLateEvents(t *testing.T) {
	index, key := cache.NewIndex(), spoke.BlockKey{1}
	early := index.BeginSnapshot()
	index.MarkDoubtful([]spoke.BlockKey{key})
	index.ApplySnapshot(early, spoke.CacheSnapshot{AsOf: 1, Keys: []spoke.BlockKey{key}})
	evicted := spoke.CacheEvent{Sequence: 2, Kind: spoke.BlockEvicted, Key: key}
	assert.Assert(t, index.ApplyEvents(1, spoke.CacheEventBatch{Events: []spoke.CacheEvent{evicted}, Next: 2}))
	assert.Assert(t, index.IsDoubtful([]spoke.BlockKey{key}), "the mark is younger than the snapshot")

	index.ApplySnapshot(index.BeginSnapshot(), spoke.CacheSnapshot{AsOf: 3, Keys: []spoke.BlockKey{key}})
	evicted.Sequence = 4
	assert.Assert(t, index.ApplyEvents(3, spoke.CacheEventBatch{Events: []spoke.CacheEvent{evicted}, Next: 4}))
	assert.Assert(t, !index.IsDoubtful([]spoke.BlockKey{key}))
}
