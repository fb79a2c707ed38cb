package cache

import "magnoliaspoke.example/spoke"

type (
	// SnapshotTicket orders snapshot requests and marks of doubt.
	SnapshotTicket uint64

	// doubt is a mark on a block that a run must not use.
	doubt struct {
		marked SnapshotTicket
		// confirmed says that a snapshot requested after the mark showed the block, so that a
		// later eviction is that of the marked block and not an earlier one reported late.
		confirmed bool
	}
)

// Index follows which blocks an upstream holds. It is unknown from the start and after a gap
// in the cache events until a snapshot arrives; it is not safe for concurrent use.
type Index struct {
	known    bool
	position spoke.Sequence
	keys     map[spoke.BlockKey]struct{}
	// doubtful holds blocks that the upstream may have taken from a store in a doubtful state.
	doubtful map[spoke.BlockKey]doubt
	requests SnapshotTicket
}

// NewIndex returns an unknown index.
func NewIndex() *Index {
	return &Index{
		keys:     make(map[spoke.BlockKey]struct{}),
		doubtful: make(map[spoke.BlockKey]doubt),
	}
}

// IsKnown reports whether the index needs no snapshot.
func (x *Index) IsSynced() bool { return x.known }

// Position returns the sequence number after which the next events are to be read.
func (x *Index) Position() spoke.Sequence { return x.position }

// ApplyEvents takes the events that were read after a position. It reports false if a snapshot
// is needed: when a number is missing, or when the numbers went back with a restart.
func (x *Index) ApplyEvents(after spoke.Sequence, batch spoke.CacheEventBatch) bool {
	if !x.known || after > x.position {
		return false
	}
	if batch.Next < after {
		x.lose(batch.Next)
		return false
	}
	for _, event := range batch.Events {
		if event.Sequence <= x.position {
			continue
		}
		if event.Sequence != x.position+1 {
			x.lose(batch.Next)
			return false
		}
		x.position = event.Sequence
		x.apply(event)
	}
	if batch.Next > x.position {
		x.lose(batch.Next)
		return false
	}
	return true
}

// BeginSnapshot returns the ticket of a snapshot request that is about to be sent.
func (x *Index) BeginSnapshot() SnapshotTicket {
	x.requests++
	return x.requests
}

// ApplySnapshot takes the snapshot of a request; one from before the gap is ignored. A marked
// block that a later snapshot lacks is no longer in doubt.
func (x *Index) ApplySnapshot(ticket SnapshotTicket, snapshot spoke.CacheSnapshot) {
	if snapshot.AsOf < x.position {
		return
	}
	x.known = true
	x.position = snapshot.AsOf
	x.keys = make(map[spoke.BlockKey]struct{}, len(snapshot.Keys))
	for _, key := range snapshot.Keys {
		x.keys[key] = struct{}{}
	}
	for key, mark := range x.doubtful {
		if mark.marked >= ticket {
			continue
		}
		if _, ok := x.keys[key]; !ok {
			delete(x.doubtful, key)
			continue
		}
		mark.confirmed = true
		x.doubtful[key] = mark
	}
}

// Reset makes the index unknown, for an upstream that died or has a new owner.
func (x *Index) Reset() { x.lose(0) }

// Resident returns how many leading blocks of a chain the upstream holds; zero when unknown.
func (x *Index) Resident(keys []spoke.BlockKey) int {
	if !x.known {
		return 0
	}
	for i, key := range keys {
		if _, ok := x.keys[key]; !ok {
			return i
		}
	}
	return len(keys)
}

// Size returns the number of blocks that the index shows.
func (x *Index) Size() int { return len(x.keys) }

// MarkDoubtful notes blocks that the upstream may hold and that no run may use. It makes the
// index unknown, because only a new snapshot shows whether the blocks are there.
func (x *Index) MarkDoubtful(keys []spoke.BlockKey) {
	if len(keys) == 0 {
		return
	}
	for _, key := range keys {
		x.doubtful[key] = doubt{marked: x.requests}
	}
	x.lose(x.position)
}

// IsDoubtful reports whether a run of the chain could use a block in doubt; such a run needs a
// cache nonce.
func (x *Index) IsDoubtful(keys []spoke.BlockKey) bool {
	if len(x.doubtful) == 0 {
		return false
	}
	for _, key := range keys {
		if _, ok := x.doubtful[key]; ok {
			return true
		}
	}
	return false
}

func (x *Index) apply(event spoke.CacheEvent) {
	switch event.Kind {
	case spoke.BlockStored:
		x.keys[event.Key] = struct{}{}
	case spoke.BlockEvicted:
		delete(x.keys, event.Key)
		if x.doubtful[event.Key].confirmed {
			delete(x.doubtful, event.Key)
		}
	}
}

// lose drops the content and keeps the marks of doubt, because the blocks may still be there.
func (x *Index) lose(position spoke.Sequence) {
	x.known = false
	x.position = position
	clear(x.keys)
}
