package store

import (
	"bytes"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

var (
	errMissing = eris.New("block is not held")
	errChanged = eris.New("block has another generation")
	errFull    = eris.New("no space left besides pinned blocks")
)

type (
	// content is one committed generation of a block.
	content struct {
		data        []byte
		checksum    spoke.Checksum
		generation  spoke.Generation
		pinnedUntil time.Time
		// lastUse is the tiers' useCount at the last access; it defines the LRU order.
		lastUse uint64
		onDisk  bool
	}

	// retainedKey identifies a generation that was replaced or deleted while it was pinned.
	retainedKey struct {
		key        spoke.BlockKey
		generation spoke.Generation
	}

	// tiers stores committed blocks; the caller must hold the Host's lock.
	tiers struct {
		clock      spoke.Timer
		memory     spoke.ByteSize
		disk       spoke.ByteSize
		blocks     map[spoke.BlockKey]*content
		retained   map[retainedKey]*content
		generation spoke.Generation
		useCount   uint64
	}
)

func newTiers(set settings) *tiers {
	return &tiers{
		clock:    set.clock,
		memory:   set.memory,
		disk:     set.disk,
		blocks:   make(map[spoke.BlockKey]*content),
		retained: make(map[retainedKey]*content),
	}
}

// commit makes a complete write visible and returns its generation; a write of equal data keeps the generation.
func (t *tiers) commit(key spoke.BlockKey, data []byte, checksum spoke.Checksum) (spoke.Generation, error) {
	old, ok := t.blocks[key]
	if ok && bytes.Equal(old.data, data) {
		t.touch(old)
		return old.generation, nil
	}
	if err := t.makeRoom(spoke.ByteSize(len(data)), key); err != nil {
		return 0, err
	}
	if ok {
		t.retire(key, old)
	}
	t.generation++
	added := &content{data: data, checksum: checksum, generation: t.generation}
	t.touch(added)
	t.blocks[key] = added
	t.demoteAndEvict()
	return added.generation, nil
}

// find returns the content of the requested generation, which may be an earlier one that is
// pinned. A generation of zero requests the current content.
func (t *tiers) find(key spoke.BlockKey, generation spoke.Generation) (*content, error) {
	t.dropUnpinned()
	current, ok := t.blocks[key]
	if ok && (generation == 0 || generation == current.generation) {
		return current, nil
	}
	if retained, found := t.retained[retainedKey{key, generation}]; found {
		return retained, nil
	}
	if ok {
		return nil, errChanged
	}
	return nil, errMissing
}

func (t *tiers) remove(key spoke.BlockKey) bool {
	old, ok := t.blocks[key]
	if ok {
		t.retire(key, old)
	}
	return ok
}

// retire removes the current content; while it is pinned, it stays readable by its generation.
func (t *tiers) retire(key spoke.BlockKey, old *content) {
	delete(t.blocks, key)
	if t.isPinned(old) {
		t.retained[retainedKey{key, old.generation}] = old
	}
}

func (t *tiers) dropUnpinned() {
	for name, old := range t.retained {
		if !t.isPinned(old) {
			delete(t.retained, name)
		}
	}
}

// restart drops what does not survive a restart: pins and the memory tier.
func (t *tiers) restart(oldGenerations bool) {
	t.retained = make(map[retainedKey]*content)
	for key, old := range t.blocks {
		if !old.onDisk {
			delete(t.blocks, key)
		}
		old.pinnedUntil = time.Time{}
	}
	if oldGenerations {
		t.generation = 0
	}
}

func (t *tiers) touch(c *content) {
	t.useCount++
	c.lastUse = t.useCount
}

func (t *tiers) isPinned(c *content) bool { return c.pinnedUntil.After(t.clock.Now()) }

// makeRoom evicts the least recently used unpinned blocks until the size fits. The block that
// the write replaces does not count towards the used space, unless it is pinned.
func (t *tiers) makeRoom(size spoke.ByteSize, replaced spoke.BlockKey) error {
	t.dropUnpinned()
	var evicted []spoke.BlockKey
	excluded := make(map[spoke.BlockKey]bool)
	memory, disk := t.used()
	total := memory + disk
	if old, ok := t.blocks[replaced]; ok && !t.isPinned(old) {
		total -= spoke.ByteSize(len(old.data))
	}
	excluded[replaced] = true
	for total+size > t.memory+t.disk {
		key, ok := t.leastRecentlyUsed(func(key spoke.BlockKey, c *content) bool { return !excluded[key] && !t.isPinned(c) })
		if !ok {
			return errFull
		}
		excluded[key] = true
		evicted = append(evicted, key)
		total -= spoke.ByteSize(len(t.blocks[key].data))
	}
	for _, key := range evicted {
		delete(t.blocks, key)
	}
	return nil
}

// demoteAndEvict moves the least recently used blocks to disk until the memory tier is within its
// size, and evicts unpinned blocks from a disk tier that exceeds its size.
func (t *tiers) demoteAndEvict() {
	for memory, disk := t.used(); memory > t.memory || disk > t.disk; memory, disk = t.used() {
		if memory > t.memory {
			key, ok := t.leastRecentlyUsed(func(_ spoke.BlockKey, c *content) bool { return !c.onDisk })
			if ok {
				t.blocks[key].onDisk = true
				continue
			}
		}
		key, ok := t.leastRecentlyUsed(func(_ spoke.BlockKey, c *content) bool { return c.onDisk && !t.isPinned(c) })
		if !ok {
			return
		}
		delete(t.blocks, key)
	}
}

// promote moves a block that is read to the memory tier.
func (t *tiers) promote(c *content) {
	t.touch(c)
	c.onDisk = false
	t.demoteAndEvict()
}

func (t *tiers) leastRecentlyUsed(eligible func(spoke.BlockKey, *content) bool) (spoke.BlockKey, bool) {
	var found spoke.BlockKey
	var least uint64
	for key, candidate := range t.blocks {
		if eligible(key, candidate) && (least == 0 || candidate.lastUse < least) {
			found, least = key, candidate.lastUse
		}
	}
	return found, least != 0
}

// used returns the bytes in memory and on disk; retained generations count as memory.
func (t *tiers) used() (memory, disk spoke.ByteSize) {
	for _, c := range t.blocks {
		if c.onDisk {
			disk += spoke.ByteSize(len(c.data))
		} else {
			memory += spoke.ByteSize(len(c.data))
		}
	}
	for _, c := range t.retained {
		memory += spoke.ByteSize(len(c.data))
	}
	return memory, disk
}
