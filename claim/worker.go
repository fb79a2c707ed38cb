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
	// callShare is the part of a claim's limit that one call may take, so that a claim
	// survives one silent call.
	callShare = 2
)

// errStaleRead marks a read that is older than what the worker has seen.
var errStaleRead = eris.New("stale read of a shard")

// worker commits the ops of one shard in groups; its goroutine runs only while there are ops.
type worker struct {
	owner *Claims
	key   string
	// floor is the highest revision seen; shards have no expiry, so revisions never fall.
	floor  spoke.Revision
	random *rand.Rand

	mu      sync.Mutex
	pending []*op
	running bool
	wake    chan struct{}
}

func newWorker(owner *Claims, index int) *worker {
	return &worker{
		owner:  owner,
		key:    fmt.Sprintf("%s%05d", Prefix, index),
		random: rand.New(rand.NewPCG(owner.seed, uint64(index))),
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
		w.pause(w.owner.window, nil)
		batch := w.take()
		if batch == nil {
			return
		}
		rest, err := w.commit(w.live(batch))
		w.putBack(rest)
		backoff = nextBackoff(backoff, err)
		if backoff > 0 && len(rest) > 0 {
			w.pause(backoff/2+time.Duration(w.random.Int64N(int64(backoff/2))), w.wake)
		}
	}
}

// take returns all queued ops, or nil and marks the worker idle.
func (w *worker) take() []*op {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.wake:
	default:
	}
	batch := w.pending
	w.pending = nil
	if len(batch) == 0 || w.owner.ctx.Err() != nil {
		w.running = false
		return nil
	}
	return batch
}

func (w *worker) putBack(rest []*op) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = append(rest, w.pending...)
}

// live drops ops that are over; a claim that was given up but may stand is withdrawn.
func (w *worker) live(batch []*op) []*op {
	now := w.owner.timer.Now()
	var live []*op
	for _, o := range batch {
		abandoned := o.kind == opClaim && o.isAbandoned()
		switch {
		case abandoned && o.sent:
			live = append(live, w.withdrawal(o))
		case abandoned:
			w.owner.forget(o.request.Attempt)
		case o.kind == opClaim || now.Before(o.until):
			live = append(live, o)
		default:
			o.settle(result{err: eris.Wrapf(spoke.ErrUnavailable, "given up on key %q", o.request.ID.Key)})
			w.owner.forget(o.request.Attempt)
		}
	}
	return live
}

// withdrawal goes on for as long as the claim may stand.
func (w *worker) withdrawal(o *op) *op {
	return newOp(opWithdraw, o.request, w.owner.timer.Now().Add(w.owner.keep))
}

// commit applies the batch to the shard by one compare-and-swap and returns the ops still to be done.
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
		return w.settle(batch, results), nil
	}
	content, err := s.encode()
	if err != nil {
		return batch, err
	}
	if len(content) > maxClaiming && hasClaims(batch) {
		return refuseClaims(batch), nil
	}
	if err := w.write(content, revision); err != nil {
		markSent(batch, err)
		return batch, err
	}
	return w.settle(batch, results), nil
}

func (w *worker) apply(s shard, batch []*op) ([]result, bool) {
	now := w.owner.timer.Now()
	s.prune(now, w.owner.keep)
	results := make([]result, len(batch))
	changed := false
	for i, o := range batch {
		var needed bool
		results[i], needed = o.apply(s, now, w.owner.isRefused)
		changed = changed || needed
	}
	return results, changed
}

// settle delivers the results; a claim that was given up meanwhile comes back as a withdrawal.
func (w *worker) settle(batch []*op, results []result) []*op {
	var rest []*op
	for i, o := range batch {
		switch {
		case !o.settle(results[i]) && results[i].granted:
			rest = append(rest, w.withdrawal(o))
		case o.kind != opClaim || o.isAbandoned():
			w.owner.forget(o.request.Attempt)
		}
	}
	return rest
}

func (w *worker) read() (shard, spoke.Revision, error) {
	var pair spoke.KeyValuePair
	err := w.call(func(ctx context.Context) (err error) {
		pair, err = w.owner.store.Get(ctx, w.key)
		return err
	})
	if err != nil && !errors.Is(err, spoke.ErrKeyMissing) {
		return nil, 0, err
	}
	if pair.Revision < w.floor {
		return nil, 0, errStaleRead
	}
	w.floor = pair.Revision
	if pair.Revision == 0 {
		return make(shard), 0, nil
	}
	s, err := decodeShard(pair.Value)
	return s, pair.Revision, err
}

func (w *worker) write(content []byte, expected spoke.Revision) error {
	return w.call(func(ctx context.Context) error {
		revision, err := w.owner.store.CompareAndSwap(ctx, w.key, content, expected, 0)
		if err == nil {
			w.floor = revision
		}
		return err
	})
}

// call bounds the time of a call and the number of calls in flight.
func (w *worker) call(do func(context.Context) error) error {
	select {
	case w.owner.calls <- struct{}{}:
	case <-w.owner.ctx.Done():
		return eris.Wrap(spoke.ErrUnavailable, "claims closed")
	}
	defer func() { <-w.owner.calls }()
	ctx, cancel := context.WithTimeout(w.owner.ctx, w.owner.limit/callShare)
	defer cancel()
	return do(ctx)
}

// pause waits, at most until a wake-up or the end of the claims.
func (w *worker) pause(wait time.Duration, wake <-chan struct{}) {
	limit := w.owner.timer.After(wait)
	defer limit.Stop()
	select {
	case <-limit.C():
	case <-wake:
	case <-w.owner.ctx.Done():
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

// markSent notes that the ops of a write without an answer may take effect.
func markSent(batch []*op, err error) {
	if !errors.Is(err, spoke.ErrAnswerLost) {
		return
	}
	for _, o := range batch {
		o.sent = true
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

// refuseClaims refuses the claims of a full shard and returns the other ops.
func refuseClaims(batch []*op) []*op {
	var rest []*op
	for _, o := range batch {
		if o.kind == opClaim && !o.sent {
			o.settle(result{err: unavailable("no space for the claim of key %q", o.request.ID.Key)})
			continue
		}
		rest = append(rest, o)
	}
	return rest
}
