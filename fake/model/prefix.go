package model

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"magnoliaspoke.example/spoke"
)

// maxEvents is the maximum number of retained cache events; readers that are further behind see a gap.
const maxEvents = 8192

type (
	// block is the metadata of a resident block.
	block struct {
		model   spoke.ModelName
		version spoke.ModelVersion
		salt    string
	}

	// delayedEvent is a cache event with the time from which readers see it; lost events are never sent.
	delayedEvent struct {
		eventBody
		visibleAt time.Time
		lost      bool
	}

	// prefixCache holds resident blocks in LRU order and the log of cache events.
	prefixCache struct {
		mu       sync.Mutex
		blocks   *simplelru.LRU[spoke.BlockKey, block]
		clock    spoke.Timer
		delay    time.Duration
		loss     spoke.Share
		random   *rand.Rand
		sequence spoke.Sequence
		events   []delayedEvent
	}
)

func newPrefixCache(set settings) *prefixCache {
	cache := &prefixCache{
		clock:  set.clock,
		delay:  set.eventDelay,
		loss:   set.eventLoss,
		random: rand.New(rand.NewPCG(set.seed, set.seed)),
	}
	capacity := max(1, int(set.cacheSize/set.blockSize))
	// NewLRU fails only on a capacity below one.
	cache.blocks, _ = simplelru.NewLRU(capacity, func(key spoke.BlockKey, _ block) {
		cache.record(spoke.BlockEvicted, key)
	})
	return cache
}

// lookup returns the longest resident prefix of a chain of blocks and marks it as used. It marks
// the last block first, so that eviction removes the tail of a chain before its head.
func (c *prefixCache) lookup(keys []spoke.BlockKey) []block {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []block
	for _, key := range keys {
		resident, ok := c.blocks.Peek(key)
		if !ok {
			break
		}
		found = append(found, resident)
	}
	for _, key := range slices.Backward(keys[:len(found)]) {
		c.blocks.Get(key)
	}
	return found
}

func (c *prefixCache) add(keys []spoke.BlockKey, content block) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, key := range slices.Backward(keys) {
		if !c.blocks.Contains(key) {
			c.record(spoke.BlockStored, key)
		}
		c.blocks.Add(key, content)
	}
}

func (c *prefixCache) get(key spoke.BlockKey) (block, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.blocks.Peek(key)
}

func (c *prefixCache) size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.blocks.Len()
}

// record appends an event to the log. The caller must hold the lock; the LRU list evicts only while it is held.
func (c *prefixCache) record(kind spoke.CacheEventKind, key spoke.BlockKey) {
	c.sequence++
	if len(c.events) == maxEvents {
		c.events = slices.Delete(c.events, 0, maxEvents/2)
	}
	c.events = append(c.events, delayedEvent{
		eventBody: eventBody{Sequence: c.sequence, Kind: kind, Key: key.String()},
		visibleAt: c.clock.Now().Add(c.delay),
		lost:      c.random.Float64() < float64(c.loss),
	})
}

// eventsAfter returns the visible events after a sequence number. A number above the last one
// assigned comes from a reader of a previous process; Next is then the last number assigned.
func (c *prefixCache) eventsAfter(after spoke.Sequence) eventsBody {
	c.mu.Lock()
	defer c.mu.Unlock()
	page := eventsBody{Events: []eventBody{}, Next: min(after, c.sequence)}
	now := c.clock.Now()
	for _, event := range c.events {
		if event.Sequence <= after {
			continue
		}
		if event.visibleAt.After(now) {
			break
		}
		page.Next = event.Sequence
		if !event.lost {
			page.Events = append(page.Events, event.eventBody)
		}
	}
	return page
}

func (c *prefixCache) snapshot() snapshotBody {
	c.mu.Lock()
	defer c.mu.Unlock()
	body := snapshotBody{AsOf: c.sequence, Keys: []string{}}
	for _, key := range c.blocks.Keys() {
		body.Keys = append(body.Keys, key.String())
	}
	return body
}
