package claim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/timer"
)

const (
	// Prefix is the prefix of all claim keys in the key-value service.
	Prefix = "claims/"

	// defaultShards keeps the values small, since each claim rewrites its whole shard: at
	// 50 claims/s of 300 bytes, kept for a day, a shard has 316 KB.
	defaultShards       = 4096
	defaultBatchWindow  = 5 * time.Millisecond
	defaultClaimTimeout = 500 * time.Millisecond
	defaultRetention    = 24 * time.Hour
	// defaultRetryTimeout bounds how long a finish or release is retried in the background.
	defaultRetryTimeout = 10 * time.Minute
	// defaultMaxCalls bounds the concurrent key-value calls of one host, since all hosts
	// share the platform's rate limits and retry at the same time after an outage.
	defaultMaxCalls = 16
	retryAfter      = time.Second
)

var (
	// ErrNotHolder reports a finish or release by an attempt that does not hold the claim.
	ErrNotHolder = eris.New("attempt does not hold the claim")

	_ spoke.Claims = (*Claims)(nil)
)

type (
	// Claims implements spoke.Claims over a key-value service.
	Claims struct {
		store        spoke.KeyValue
		timer        spoke.Timer
		shards       int
		batchWindow  time.Duration
		claimTimeout time.Duration
		retention    time.Duration
		retryTimeout time.Duration
		seed         uint64

		ctx    context.Context
		cancel context.CancelFunc
		// callSlots is a semaphore with one entry for each key-value call in flight.
		callSlots chan struct{}
		group     sync.WaitGroup

		mu      sync.Mutex
		closed  bool
		workers map[int]*worker
		// refused holds the attempts that must not run although their claim may be stored.
		refused map[spoke.AttemptID]struct{}
	}

	// Option configures a Claims.
	Option func(*Claims)
)

// WithTimer sets the timer of the timeouts, the backoff and the expiry of claims.
func WithTimer(t spoke.Timer) Option { return func(c *Claims) { c.timer = t } }

// WithShards sets the number of shards; all hosts must use the same number.
func WithShards(n int) Option { return func(c *Claims) { c.shards = n } }

// WithBatchWindow sets how long a commit waits for further claims of its shard.
func WithBatchWindow(window time.Duration) Option { return func(c *Claims) { c.batchWindow = window } }

// WithClaimTimeout sets how long a claim may take in total.
func WithClaimTimeout(d time.Duration) Option { return func(c *Claims) { c.claimTimeout = d } }

// WithRetryTimeout sets how long a finish or release is retried in the background.
func WithRetryTimeout(d time.Duration) Option { return func(c *Claims) { c.retryTimeout = d } }

// WithSeed sets the seed of the backoff jitter; the default is random.
func WithSeed(seed uint64) Option { return func(c *Claims) { c.seed = seed } }

// New returns a Claims that stores its claims in the key-value service.
func New(store spoke.KeyValue, opts ...Option) *Claims {
	c := &Claims{
		store: store, timer: timer.NewSystem(),
		shards: defaultShards, batchWindow: defaultBatchWindow, claimTimeout: defaultClaimTimeout,
		retention: defaultRetention, retryTimeout: defaultRetryTimeout, seed: rand.Uint64(),
		callSlots: make(chan struct{}, defaultMaxCalls),
		workers:   make(map[int]*worker),
		refused:   make(map[spoke.AttemptID]struct{}),
	}
	for _, opt := range opts {
		opt(c)
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Claim returns true if the attempt holds the claim, else the record of the current claim. An
// attempt id must be used for one claim only. The error is a *spoke.Refusal: the attempt must not
// run, and if its claim still takes effect later, it is withdrawn in the background.
func (c *Claims) Claim(ctx context.Context, request spoke.ClaimRequest) (bool, spoke.ClaimRecord, error) {
	o := newOp(opClaim, request, c.timer.Now().Add(c.claimTimeout))
	if !c.submit(o) {
		return false, spoke.ClaimRecord{}, unavailable("the host stops")
	}
	timeout := c.timer.After(c.claimTimeout)
	defer timeout.Stop()
	refusal := unavailable("no claim of key %q within %v", request.ID.Key, c.claimTimeout)
	select {
	case r := <-o.results:
		return r.granted, r.record, r.err
	case <-timeout.C():
	case <-ctx.Done():
		refusal = spoke.RefuseNotRun(spoke.CodeCancelled, "claim of key %q cancelled", request.ID.Key)
	}
	if !o.abandon(func() { c.markRefused(request.Attempt) }) {
		r := <-o.results
		return r.granted, r.record, r.err
	}
	return false, spoke.ClaimRecord{}, refusal
}

// Finish records that the attempt's request has run. If the key-value service does not confirm
// the write in time, Finish returns an error that matches ErrUnavailable and the write is retried
// in the background.
func (c *Claims) Finish(ctx context.Context, request spoke.ClaimRequest, answer spoke.PlainAnswer) error {
	o := newOp(opFinish, request, c.timer.Now().Add(c.retryTimeout))
	if answerSize(answer) <= maxAnswerSize {
		o.answer = &answer
	}
	return c.submitAndWait(ctx, o)
}

// Release withdraws the claim of an attempt that certainly did not run; like Finish, it is
// retried in the background. A later claim of the key at this host does not wait for it.
func (c *Claims) Release(ctx context.Context, request spoke.ClaimRequest) error {
	c.markRefused(request.Attempt)
	return c.submitAndWait(ctx, newOp(opRelease, request, c.timer.Now().Add(c.retryTimeout)))
}

// Close refuses new claims and waits for the background writes until ctx ends.
func (c *Claims) Close(ctx context.Context) error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	done := make(chan struct{})
	go func() {
		c.group.Wait()
		close(done)
	}()
	defer c.cancel()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "claim updates still pending at shutdown")
	}
}

func (c *Claims) submitAndWait(ctx context.Context, o *op) error {
	if !c.submit(o) {
		return eris.Wrap(spoke.ErrUnavailable, "host is shutting down")
	}
	timeout := c.timer.After(c.claimTimeout)
	defer timeout.Stop()
	select {
	case r := <-o.results:
		return r.err
	case <-timeout.C():
	case <-ctx.Done():
	}
	return eris.Wrapf(spoke.ErrUnavailable, "claim update for key %q is still pending", o.request.ID.Key)
}

// submit queues the op at the worker of its shard, which it starts if it is idle. It returns false
// for a claim once Close has been called, and for any op once Close has returned.
func (c *Claims) submit(o *op) bool {
	index := shardIndex(o.request.ID, c.shards)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed && o.kind == opClaim || c.ctx.Err() != nil {
		return false
	}
	w := c.workers[index]
	if w == nil {
		w = newWorker(c, index)
		c.workers[index] = w
	}
	if w.add(o) {
		c.group.Go(w.run)
	}
	return true
}

func (c *Claims) markRefused(attempt spoke.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[attempt] = struct{}{}
}

func (c *Claims) unmarkRefused(attempt spoke.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.refused, attempt)
}

func (c *Claims) isRefused(attempt spoke.AttemptID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.refused[attempt]
	return ok
}

func unavailable(format string, args ...any) *spoke.Refusal {
	refusal := spoke.RefuseNotRun(spoke.CodePlatformUnavailable, format, args...)
	refusal.RetryAfter = retryAfter
	return refusal
}
