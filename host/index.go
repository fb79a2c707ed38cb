package host

import (
	"context"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cache"
)

const (
	// indexPeriod is the period at which cache events are read; the engines publish them late anyway.
	indexPeriod  = 500 * time.Millisecond
	indexTimeout = time.Second
	indexInbox   = 64
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

	// indexRequest asks how many leading blocks are resident, or marks blocks as doubtful.
	indexRequest struct {
		keys     []spoke.BlockKey
		doubtful []spoke.BlockKey
		reply    chan<- indexReply
	}

	// indexRead is a call to the engine and its answer.
	indexRead struct {
		isEvents bool
		after    spoke.Sequence
		batch    spoke.CacheEventBatch
		ticket   cache.SnapshotTicket
		snapshot spoke.CacheSnapshot
		err      error
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
		inbox: make(chan indexRequest, indexInbox), done: make(chan struct{}),
	}
}

func (t *indexTask) run(ctx context.Context) {
	defer close(t.done)
	ticks := t.timer.Every(indexPeriod)
	defer ticks.Stop()
	reads := make(chan indexRead)
	t.begin(ctx, reads, false)
	isReading := true
	for {
		select {
		case <-ticks.C():
			if !isReading {
				t.begin(ctx, reads, t.index.IsSynced())
				isReading = true
			}
		case read := <-reads:
			isReading = !t.apply(read)
			if isReading {
				t.begin(ctx, reads, false)
			}
		case request := <-t.inbox:
			t.answer(request)
		case <-ctx.Done():
			return
		}
	}
}

// begin reads the events since the last ones or the whole content. The call runs beside
// the task, because a run that asks must not wait for a slow engine.
func (t *indexTask) begin(ctx context.Context, reads chan<- indexRead, isEvents bool) {
	read := indexRead{isEvents: isEvents, after: t.index.Position()}
	if !isEvents {
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
	if read.isEvents {
		read.batch, read.err = t.engine.CacheEvents(ctx, t.upstream.Address, read.after)
		return
	}
	read.snapshot, read.err = t.engine.CacheSnapshot(ctx, t.upstream.Address)
}

// apply takes what was read and reports false if the whole content is needed at once.
func (t *indexTask) apply(read indexRead) bool {
	switch {
	case read.err != nil:
		return true
	case read.isEvents:
		return t.index.ApplyEvents(read.after, read.batch)
	}
	t.index.ApplySnapshot(read.ticket, read.snapshot)
	return true
}

func (t *indexTask) answer(request indexRequest) {
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

// ask returns what the index says of the keys; a task that has ended knows nothing.
func (t *indexTask) ask(ctx context.Context, keys []spoke.BlockKey) indexReply {
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
