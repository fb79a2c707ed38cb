package claim

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

const (
	firstBackoff = 5 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// callTimeoutDivisor divides the claim timeout to give the timeout of one call, so that
	// a claim can still succeed after one call that is not answered.
	callTimeoutDivisor = 2
)

// errStaleRead reports a read with a lower revision than an earlier read or write.
var errStaleRead = eris.New("stale read of a claim shard")

// worker commits the ops of one shard in batches; its goroutine runs only while ops are queued.
type worker struct {
	claims *Claims
	key    string
	// minRevision is the highest revision seen; a lower one is stale, since keys of shards do not
	// expire and their revisions therefore never decrease.
	minRevision spoke.Revision
	random      *rand.Rand

	mu      sync.Mutex
	pending []*op
	running bool
	wake    chan struct{}
}

func newWorker(claims *Claims, index int) *worker {
	return &worker{
		claims: claims,
		key:    fmt.Sprintf("%s%05d", Prefix, index),
		random: rand.New(rand.NewPCG(claims.seed, uint64(index))),
		wake:   make(chan struct{}, 1),
	}
}

// add queues the op and reports whether the worker must be started.
func (w *worker) add(o *op) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = append(w.pending, o)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	start := !w.running
	w.running = true
	return start
}

func (w *worker) run() {
	backoff := time.Duration(0)
	for {
		w.pause(w.claims.batchWindow, nil)
		batch := w.takePending()
		if batch == nil {
			return
		}
		rest, err := w.commit(w.dropExpired(batch))
		w.requeue(rest)
		backoff = nextBackoff(backoff, err)
		if backoff > 0 && len(rest) > 0 {
			w.pause(backoff/2+time.Duration(w.random.Int64N(int64(backoff/2))), w.wake)
		}
	}
}

// takePending returns all queued ops. If there are none or the claims are closed, it marks the
// worker idle and returns nil.
func (w *worker) takePending() []*op {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.wake:
	default:
	}
	batch := w.pending
	w.pending = nil
	if len(batch) == 0 || w.claims.ctx.Err() != nil {
		w.running = false
		return nil
	}
	return batch
}

func (w *worker) requeue(rest []*op) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = append(rest, w.pending...)
}

// dropExpired returns the batch without abandoned claims and expired ops. An abandoned claim that
// may have been written is replaced by its withdrawal.
func (w *worker) dropExpired(batch []*op) []*op {
	now := w.claims.timer.Now()
	var live []*op
	for _, o := range batch {
		abandoned := o.kind == opClaim && o.isAbandoned()
		switch {
		case abandoned && o.mayBeWritten:
			live = append(live, w.newWithdrawOp(o))
		case abandoned:
			w.claims.unmarkRefused(o.request.Attempt)
		case o.kind == opClaim || now.Before(o.deadline):
			live = append(live, o)
		default:
			o.deliver(result{err: eris.Wrapf(spoke.ErrUnavailable, "claim update for key %q not confirmed within the retry timeout", o.request.ID.Key)})
			w.claims.unmarkRefused(o.request.Attempt)
		}
	}
	return live
}

// newWithdrawOp returns the withdrawal of a claim; it is retried for as long as the claim would be
// retained.
func (w *worker) newWithdrawOp(o *op) *op {
	return newOp(opWithdraw, o.request, w.claims.timer.Now().Add(w.claims.retention))
}

// commit applies the batch to the shard with one compare-and-swap and returns the ops that remain
// to be committed.
func (w *worker) commit(batch []*op) ([]*op, error) {
	if len(batch) == 0 {
		return nil, nil
	}
	s, revision, err := w.read()
	if err != nil {
		return batch, err
	}
	results, changed := w.apply(s, batch)
	if !changed {
		return w.deliverResults(batch, results), nil
	}
	content, err := s.encode()
	if err != nil {
		return batch, err
	}
	if len(content) > maxShardSizeForClaims && hasClaims(batch) {
		return refuseClaims(batch), nil
	}
	if err := w.write(content, revision); err != nil {
		markMaybeWritten(batch, err)
		return batch, err
	}
	return w.deliverResults(batch, results), nil
}

func (w *worker) apply(s shard, batch []*op) ([]result, bool) {
	now := w.claims.timer.Now()
	s.prune(now, w.claims.retention)
	results := make([]result, len(batch))
	changed := false
	for i, o := range batch {
		var needed bool
		results[i], needed = o.apply(s, now, w.claims.isRefused)
		changed = changed || needed
	}
	return results, changed
}

// deliverResults passes the results to the callers and returns the withdrawals of the claims that
// were granted after their callers had abandoned them.
func (w *worker) deliverResults(batch []*op, results []result) []*op {
	var rest []*op
	for i, o := range batch {
		switch {
		case !o.deliver(results[i]) && results[i].granted:
			rest = append(rest, w.newWithdrawOp(o))
		case o.kind != opClaim || o.isAbandoned():
			w.claims.unmarkRefused(o.request.Attempt)
		}
	}
	return rest
}

func (w *worker) read() (shard, spoke.Revision, error) {
	var pair spoke.KeyValuePair
	err := w.call(func(ctx context.Context) (err error) {
		pair, err = w.claims.store.Get(ctx, w.key)
		return err
	})
	if err != nil && !errors.Is(err, spoke.ErrKeyMissing) {
		return nil, 0, err
	}
	if pair.Revision < w.minRevision {
		return nil, 0, errStaleRead
	}
	w.minRevision = pair.Revision
	if pair.Revision == 0 {
		return make(shard), 0, nil
	}
	s, err := decodeShard(pair.Value)
	return s, pair.Revision, err
}

func (w *worker) write(content []byte, expected spoke.Revision) error {
	return w.call(func(ctx context.Context) error {
		revision, err := w.claims.store.CompareAndSwap(ctx, w.key, content, expected, 0)
		if err == nil {
			w.minRevision = revision
		}
		return err
	})
}

// call runs do with the timeout of one call, within the host's limit on concurrent calls.
func (w *worker) call(do func(context.Context) error) error {
	select {
	case w.claims.callSlots <- struct{}{}:
	case <-w.claims.ctx.Done():
		return eris.Wrap(spoke.ErrUnavailable, "claims are closed")
	}
	defer func() { <-w.claims.callSlots }()
	ctx, cancel := context.WithTimeout(w.claims.ctx, w.claims.claimTimeout/callTimeoutDivisor)
	defer cancel()
	return do(ctx)
}

// pause waits for the given time, or until wake is signalled or the claims are closed.
func (w *worker) pause(wait time.Duration, wake <-chan struct{}) {
	timeout := w.claims.timer.After(wait)
	defer timeout.Stop()
	select {
	case <-timeout.C():
	case <-wake:
	case <-w.claims.ctx.Done():
	}
}

func nextBackoff(backoff time.Duration, err error) time.Duration {
	switch {
	case err == nil:
		return 0
	case errors.Is(err, spoke.ErrConflict), errors.Is(err, errStaleRead):
		return firstBackoff
	default:
		return min(maxBackoff, max(firstBackoff, 2*backoff))
	}
}

// markMaybeWritten marks the ops of a failed write that may still take effect because its answer
// was lost.
func markMaybeWritten(batch []*op, err error) {
	if !errors.Is(err, spoke.ErrAnswerLost) {
		return
	}
	for _, o := range batch {
		o.mayBeWritten = true
	}
}

func hasClaims(batch []*op) bool {
	for _, o := range batch {
		if o.kind == opClaim {
			return true
		}
	}
	return false
}

// refuseClaims refuses the claims of a full shard and returns the ops that remain; these include
// claims that may already have been written.
func refuseClaims(batch []*op) []*op {
	var rest []*op
	for _, o := range batch {
		if o.kind == opClaim && !o.mayBeWritten {
			o.deliver(result{err: unavailable("no space for the claim of key %q", o.request.ID.Key)})
			continue
		}
		rest = append(rest, o)
	}
	return rest
}
