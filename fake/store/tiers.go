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
		data       []byte
		checksum   spoke.Checksum
		generation spoke.Generation
		pinned     time.Time
		// used orders contents by their last use.
		used   uint64
		onDisk bool
	}

	// heldKey names a generation that was replaced or deleted while it was pinned.
	heldKey struct {
		key        spoke.BlockKey
		generation spoke.Generation
	}

	// tiers holds committed blocks; the owner's lock guards it.
	tiers struct {
		clock      spoke.Timer
		memory     spoke.ByteSize
		disk       spoke.ByteSize
		blocks     map[spoke.BlockKey]*content
		held       map[heldKey]*content
		generation spoke.Generation
		uses       uint64
	}
)

func newTiers(set settings) *tiers {
	return &tiers{
		clock:  set.clock,
		memory: set.memory,
		disk:   set.disk,
		blocks: make(map[spoke.BlockKey]*content),
		held:   make(map[heldKey]*content),
	}
}

// commit makes a whole write visible and returns its generation.
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
	t.settle()
	return added.generation, nil
}

// find returns the current content, or a pinned earlier one if its generation is asked for;
// a generation of zero asks for the current content.
func (t *tiers) find(key spoke.BlockKey, generation spoke.Generation) (*content, error) {
	t.release()
	current, ok := t.blocks[key]
	if ok && (generation == 0 || generation == current.generation) {
		return current, nil
	}
	if earlier, kept := t.held[heldKey{key, generation}]; kept {
		return earlier, nil
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

// retire takes a content out of sight and keeps it readable by generation while it is pinned.
func (t *tiers) retire(key spoke.BlockKey, old *content) {
	delete(t.blocks, key)
	if t.isPinned(old) {
		t.held[heldKey{key, old.generation}] = old
	}
}

func (t *tiers) release() {
	for name, old := range t.held {
		if !t.isPinned(old) {
			delete(t.held, name)
		}
	}
}

// restart drops what a restarted host loses: pins and the memory tier.
func (t *tiers) restart(oldGenerations bool) {
	t.held = make(map[heldKey]*content)
	for key, old := range t.blocks {
		if !old.onDisk {
			delete(t.blocks, key)
		}
		old.pinned = time.Time{}
	}
	if oldGenerations {
		t.generation = 0
	}
}

func (t *tiers) touch(used *content) {
	t.uses++
	used.used = t.uses
}

func (t *tiers) isPinned(held *content) bool { return held.pinned.After(t.clock.Now()) }

// makeRoom evicts the least recently used contents without pin until the size fits. The block
// that the write replaces does not count, unless it is pinned.
func (t *tiers) makeRoom(size spoke.ByteSize, replaced spoke.BlockKey) error {
	t.release()
	var victims []spoke.BlockKey
	gone := make(map[spoke.BlockKey]bool)
	memory, disk := t.used()
	total := memory + disk
	if old, ok := t.blocks[replaced]; ok && !t.isPinned(old) {
		total -= spoke.ByteSize(len(old.data))
	}
	gone[replaced] = true
	for total+size > t.memory+t.disk {
		key, ok := t.oldest(func(key spoke.BlockKey, c *content) bool { return !gone[key] && !t.isPinned(c) })
		if !ok {
			return errFull
		}
		gone[key] = true
		victims = append(victims, key)
		total -= spoke.ByteSize(len(t.blocks[key].data))
	}
	for _, key := range victims {
		delete(t.blocks, key)
	}
	return nil
}

// settle moves the least recently used contents to disk until the memory tier fits, and drops
// those without pin from a disk tier that is over its size.
func (t *tiers) settle() {
	for memory, disk := t.used(); memory > t.memory || disk > t.disk; memory, disk = t.used() {
		if memory > t.memory {
			key, ok := t.oldest(func(_ spoke.BlockKey, c *content) bool { return !c.onDisk })
			if ok {
				t.blocks[key].onDisk = true
				continue
			}
		}
		key, ok := t.oldest(func(_ spoke.BlockKey, c *content) bool { return c.onDisk && !t.isPinned(c) })
		if !ok {
			return
		}
		delete(t.blocks, key)
	}
}

// promote moves a content that was read to the memory tier.
func (t *tiers) promote(read *content) {
	t.touch(read)
	read.onDisk = false
	t.settle()
}

func (t *tiers) oldest(fits func(spoke.BlockKey, *content) bool) (spoke.BlockKey, bool) {
	var found spoke.BlockKey
	var least uint64
	for key, candidate := range t.blocks {
		if fits(key, candidate) && (least == 0 || candidate.used < least) {
			found, least = key, candidate.used
		}
	}
	return found, least != 0
}

// used returns the bytes in memory, with those of replaced contents, and on disk.
func (t *tiers) used() (memory, disk spoke.ByteSize) {
	for _, c := range t.blocks {
		if c.onDisk {
			disk += spoke.ByteSize(len(c.data))
		} else {
			memory += spoke.ByteSize(len(c.data))
		}
	}
	for _, c := range t.held {
		memory += spoke.ByteSize(len(c.data))
	}
	return memory, disk
}
