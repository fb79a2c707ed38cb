package host

import (
	"context"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cache"
)

const (
	// indexPeriod is the period at which cache events are read; a shorter one would gain little,
	// since engines publish events with a delay.
	indexPeriod    = 500 * time.Millisecond
	indexTimeout   = time.Second
	indexInboxSize = 64
)

type (
	// indexTask owns the index of one engine's prefix cache.
	indexTask struct {
		upstream spoke.Upstream
		engine   spoke.Engine
		timer    spoke.Timer
		index    *cache.Index
		inbox    chan indexRequest
		done     chan struct{}
	}

	// indexRequest queries the index for the keys, or marks blocks as doubtful.
	indexRequest struct {
		keys     []spoke.BlockKey
		doubtful []spoke.BlockKey
		reply    chan<- indexReply
	}

	// indexRead is a read of cache events or of a snapshot, and its result.
	indexRead struct {
		isIncremental bool
		after         spoke.Sequence
		batch         spoke.CacheEventBatch
		ticket        cache.SnapshotTicket
		snapshot      spoke.CacheSnapshot
		err           error
	}

	indexReply struct {
		resident   int
		isDoubtful bool
		status     spoke.CacheStatus
	}
)

func newIndexTask(upstream spoke.Upstream, engine spoke.Engine, timer spoke.Timer) *indexTask {
	return &indexTask{
		upstream: upstream, engine: engine, timer: timer, index: cache.NewIndex(),
		inbox: make(chan indexRequest, indexInboxSize), done: make(chan struct{}),
	}
}

func (t *indexTask) run(ctx context.Context) {
	defer close(t.done)
	ticks := t.timer.Every(indexPeriod)
	defer ticks.Stop()
	reads := make(chan indexRead)
	t.startRead(ctx, reads, false)
	isReading := true
	for {
		select {
		case <-ticks.C():
			if !isReading {
				t.startRead(ctx, reads, t.index.IsSynced())
				isReading = true
			}
		case read := <-reads:
			isReading = !t.apply(read)
			if isReading {
				t.startRead(ctx, reads, false)
			}
		case request := <-t.inbox:
			t.handle(request)
		case <-ctx.Done():
			return
		}
	}
}

// startRead reads the events since the last read, or a snapshot. The call has its own goroutine,
// because queries of runs must not wait for a slow engine.
func (t *indexTask) startRead(ctx context.Context, reads chan<- indexRead, isIncremental bool) {
	read := indexRead{isIncremental: isIncremental, after: t.index.Position()}
	if !isIncremental {
		read.ticket = t.index.BeginSnapshot()
	}
	go func() {
		t.fetch(ctx, &read)
		select {
		case reads <- read:
		case <-ctx.Done():
		}
	}()
}

func (t *indexTask) fetch(ctx context.Context, read *indexRead) {
	ctx, cancel := context.WithTimeout(ctx, indexTimeout)
	defer cancel()
	if read.isIncremental {
		read.batch, read.err = t.engine.CacheEvents(ctx, t.upstream.Address, read.after)
		return
	}
	read.snapshot, read.err = t.engine.CacheSnapshot(ctx, t.upstream.Address)
}

// apply updates the index and reports false if a snapshot must be read at once.
func (t *indexTask) apply(read indexRead) bool {
	switch {
	case read.err != nil:
		return true
	case read.isIncremental:
		return t.index.ApplyEvents(read.after, read.batch)
	}
	t.index.ApplySnapshot(read.ticket, read.snapshot)
	return true
}

func (t *indexTask) handle(request indexRequest) {
	t.index.MarkDoubtful(request.doubtful)
	if request.reply == nil {
		return
	}
	request.reply <- indexReply{
		resident:   t.index.Resident(request.keys),
		isDoubtful: t.index.IsDoubtful(request.keys),
		status:     spoke.CacheStatus{Upstream: t.upstream.ID, Indexed: t.index.IsSynced(), Blocks: t.index.Size()},
	}
}

// query returns the state of the index for the keys, or a zero reply if the task has ended.
func (t *indexTask) query(ctx context.Context, keys []spoke.BlockKey) indexReply {
	reply := make(chan indexReply, 1)
	if !t.post(ctx, indexRequest{keys: keys, reply: reply}) {
		return indexReply{}
	}
	select {
	case answer := <-reply:
		return answer
	case <-t.done:
	case <-ctx.Done():
	}
	return indexReply{}
}

func (t *indexTask) markDoubtful(ctx context.Context, keys []spoke.BlockKey) {
	t.post(ctx, indexRequest{doubtful: keys})
}

func (t *indexTask) post(ctx context.Context, request indexRequest) bool {
	select {
	case t.inbox <- request:
		return true
	case <-t.done:
	case <-ctx.Done():
	}
	return false
}
