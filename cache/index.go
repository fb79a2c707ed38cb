package cache

import "magnoliaspoke.example/spoke"

type (
	// SnapshotTicket is the sequence number of a snapshot request; it orders snapshots and doubtful
	// marks.
	SnapshotTicket uint64

	// doubtfulMark marks a block that no run may use.
	doubtfulMark struct {
		// markedAt is the last snapshot request before the mark.
		markedAt SnapshotTicket
		// confirmed reports that a snapshot requested after the mark contains the block, so that a
		// later eviction event is that of the marked block and not a late event of an earlier copy.
		confirmed bool
	}
)

// Index tracks which blocks an upstream holds. It is out of sync from the start, and after a gap
// in the cache events, until a snapshot arrives; it is not safe for concurrent use.
type Index struct {
	synced   bool
	position spoke.Sequence
	keys     map[spoke.BlockKey]struct{}
	// doubtful holds blocks that the upstream may have imported from a store without verification.
	doubtful   map[spoke.BlockKey]doubtfulMark
	lastTicket SnapshotTicket
}

// NewIndex returns an empty index that is out of sync.
func NewIndex() *Index {
	return &Index{
		keys:     make(map[spoke.BlockKey]struct{}),
		doubtful: make(map[spoke.BlockKey]doubtfulMark),
	}
}

// IsSynced reports whether the index is in sync with the upstream, so that it needs no snapshot.
func (x *Index) IsSynced() bool { return x.synced }

// Position returns the sequence number after which the next events are to be read.
func (x *Index) Position() spoke.Sequence { return x.position }

// ApplyEvents applies the events that were read after a position. It returns false if a snapshot
// is needed: the index is out of sync, the events start beyond its position, a sequence number is
// missing, or a restart of the upstream has reset the sequence numbers.
func (x *Index) ApplyEvents(after spoke.Sequence, batch spoke.CacheEventBatch) bool {
	if !x.synced || after > x.position {
		return false
	}
	if batch.Next < after {
		x.invalidate(batch.Next)
		return false
	}
	for _, event := range batch.Events {
		if event.Sequence <= x.position {
			continue
		}
		if event.Sequence != x.position+1 {
			x.invalidate(batch.Next)
			return false
		}
		x.position = event.Sequence
		x.apply(event)
	}
	if batch.Next > x.position {
		x.invalidate(batch.Next)
		return false
	}
	return true
}

// BeginSnapshot returns the ticket of a snapshot request that is about to be sent.
func (x *Index) BeginSnapshot() SnapshotTicket {
	x.lastTicket++
	return x.lastTicket
}

// ApplySnapshot replaces the content by the snapshot of a request; a snapshot from before the
// position of the index, such as one from before a gap, is ignored. It removes the mark of a
// doubtful block if the snapshot was requested after the mark and lacks the block.
func (x *Index) ApplySnapshot(ticket SnapshotTicket, snapshot spoke.CacheSnapshot) {
	if snapshot.AsOf < x.position {
		return
	}
	x.synced = true
	x.position = snapshot.AsOf
	x.keys = make(map[spoke.BlockKey]struct{}, len(snapshot.Keys))
	for _, key := range snapshot.Keys {
		x.keys[key] = struct{}{}
	}
	for key, mark := range x.doubtful {
		if mark.markedAt >= ticket {
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

// Reset clears the index and its position, for an upstream that died or has a new owner.
func (x *Index) Reset() { x.invalidate(0) }

// Resident returns the number of leading blocks of a chain that the upstream holds, zero if the
// index is out of sync.
func (x *Index) Resident(keys []spoke.BlockKey) int {
	if !x.synced {
		return 0
	}
	for i, key := range keys {
		if _, ok := x.keys[key]; !ok {
			return i
		}
	}
	return len(keys)
}

// Size returns the number of blocks in the index.
func (x *Index) Size() int { return len(x.keys) }

// MarkDoubtful marks blocks that the upstream may hold and that no run may use. It puts the index
// out of sync, because only a new snapshot shows whether the upstream holds the blocks.
func (x *Index) MarkDoubtful(keys []spoke.BlockKey) {
	if len(keys) == 0 {
		return
	}
	for _, key := range keys {
		x.doubtful[key] = doubtfulMark{markedAt: x.lastTicket}
	}
	x.invalidate(x.position)
}

// IsDoubtful reports whether a run of the chain could use a doubtful block; such a run needs a
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

// invalidate puts the index out of sync and clears its content. It keeps the doubtful marks,
// because the upstream may still hold the blocks.
func (x *Index) invalidate(position spoke.Sequence) {
	x.synced = false
	x.position = position
	clear(x.keys)
}
