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
	t.refresh(ctx)
	for {
		select {
		case <-ticks.C():
			t.refresh(ctx)
		case request := <-t.inbox:
			t.answer(request)
		case <-ctx.Done():
			return
		}
	}
}

func (t *indexTask) answer(request indexRequest) {
	t.index.MarkDoubtful(request.doubtful)
	if request.reply == nil {
		return
	}
	request.reply <- indexReply{
		resident:   t.index.Resident(request.keys),
		isDoubtful: t.index.IsDoubtful(request.keys),
		status:     spoke.CacheStatus{Upstream: t.upstream.ID, Indexed: t.index.IsKnown(), Blocks: t.index.Size()},
	}
}

// refresh reads the events since the last ones; after a gap it reads the whole content.
func (t *indexTask) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, indexTimeout)
	defer cancel()
	if t.index.IsKnown() {
		after := t.index.Position()
		batch, err := t.engine.CacheEvents(ctx, t.upstream.Address, after)
		if err != nil || t.index.ApplyEvents(after, batch) {
			return
		}
	}
	ticket := t.index.BeginSnapshot()
	if snapshot, err := t.engine.CacheSnapshot(ctx, t.upstream.Address); err == nil {
		t.index.ApplySnapshot(ticket, snapshot)
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
