package host_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/host"
)

// cacheEngine is an engine with cache events; each of its calls takes delay.
type cacheEngine struct {
	spoke.Engine
	mu        sync.Mutex
	events    []spoke.CacheEvent
	lost      int
	delay     time.Duration
	snapshots int
}

func (e *cacheEngine) store(keys ...spoke.BlockKey) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, key := range keys {
		e.events = append(e.events, spoke.CacheEvent{Sequence: spoke.Sequence(len(e.events) + 1), Kind: spoke.BlockStored, Key: key})
	}
}

// setDelayAndLoss sets the duration of calls and how many of the first events are lost.
func (e *cacheEngine) setDelayAndLoss(delay time.Duration, lost int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.delay, e.lost = delay, lost
}

func (e *cacheEngine) wait(ctx context.Context) error {
	e.mu.Lock()
	delay := e.delay
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, delay)
	defer cancel()
	<-ctx.Done()
	if errors.Is(ctx.Err(), context.Canceled) {
		return ctx.Err()
	}
	return nil
}

func (e *cacheEngine) CacheEvents(ctx context.Context, _ spoke.Address, after spoke.Sequence) (spoke.CacheEventBatch, error) {
	err := e.wait(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	return spoke.CacheEventBatch{
		Events: e.events[max(int(after), min(e.lost, len(e.events))):], Next: spoke.Sequence(len(e.events)),
	}, err
}

func (e *cacheEngine) CacheSnapshot(ctx context.Context, _ spoke.Address) (spoke.CacheSnapshot, error) {
	err := e.wait(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.snapshots++
	snapshot := spoke.CacheSnapshot{AsOf: spoke.Sequence(len(e.events))}
	for _, event := range e.events {
		snapshot.Keys = append(snapshot.Keys, event.Key)
	}
	return snapshot, err
}

// Guards against queries that wait for a slow engine, against an index that lacks blocks after
// a gap in the events, and against doubtful blocks that count as usable.
func TestIndexTracksEngineEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		engine := &cacheEngine{}
		index := host.NewIndex(engine)
		go index.Run(ctx)
		assertIndex := func(want int, wantDoubt bool) {
			t.Helper()
			started := time.Now()
			resident, isDoubtful := index.Query(ctx, spoke.BlockKey{1}, spoke.BlockKey{2})
			assert.Equal(t, resident, want)
			assert.Equal(t, isDoubtful, wantDoubt)
			assert.Equal(t, time.Since(started), time.Duration(0), "the query waited for the engine")
		}
		// Wait for a time between the periodic reads, which would race with the changes.
		sleep(1100 * time.Millisecond)
		engine.store(spoke.BlockKey{1})
		sleep(time.Second)
		assertIndex(1, false)

		engine.setDelayAndLoss(900*time.Millisecond, 0)
		engine.store(spoke.BlockKey{2})
		sleep(600 * time.Millisecond)
		assertIndex(1, false)
		sleep(2 * time.Second)
		assertIndex(2, false)

		engine.setDelayAndLoss(0, 4)
		engine.store(spoke.BlockKey{3}, spoke.BlockKey{4}, spoke.BlockKey{5})
		sleep(2 * time.Second)
		assertIndex(2, false)
		assert.Equal(t, engine.snapshots, 2, "number of snapshots: one at the start, one after the gap")

		index.MarkDoubtful(ctx, spoke.BlockKey{2})
		assertIndex(0, true)
		sleep(time.Second)
		assertIndex(2, true)
		cancel()
		synctest.Wait()
		assertIndex(0, false)
	})
}
