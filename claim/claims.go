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

	// defaultShards keeps values small, since each claim rewrites its shard: 50 claims/s
	// of 300 bytes kept for a day give shards of 316 KB.
	defaultShards = 4096
	defaultWindow = 5 * time.Millisecond
	defaultLimit  = 500 * time.Millisecond
	defaultKeep   = 24 * time.Hour
	// defaultRetry bounds how long a finish or release goes on in the background.
	defaultRetry = 10 * time.Minute
	// defaultCalls bounds the calls of one host in flight, since all hosts share the
	// platform's rates and retry together after an outage.
	defaultCalls = 16
	retryHint    = time.Second
)

var (
	// ErrNotHolder marks a finish or release by an attempt that does not hold the claim.
	ErrNotHolder = eris.New("attempt does not hold the claim")

	_ spoke.Claims = (*Claims)(nil)
)

type (
	// Claims implements spoke.Claims over a key-value service.
	Claims struct {
		store  spoke.KeyValue
		timer  spoke.Timer
		shards int
		window time.Duration
		limit  time.Duration
		keep   time.Duration
		retry  time.Duration
		seed   uint64

		ctx    context.Context
		cancel context.CancelFunc
		// calls holds a token for each call in flight.
		calls chan struct{}
		group sync.WaitGroup

		mu      sync.Mutex
		closed  bool
		workers map[int]*worker
		// refused holds attempts that were told not to run while their claim may stand.
		refused map[spoke.AttemptID]struct{}
	}

	// Option changes a Claims.
	Option func(*Claims)
)

// WithTimer sets the timer service.
func WithTimer(t spoke.Timer) Option { return func(c *Claims) { c.timer = t } }

// WithShards sets the number of shards; all hosts must use the same.
func WithShards(n int) Option { return func(c *Claims) { c.shards = n } }

// WithWindow sets how long a commit waits for more claims.
func WithWindow(window time.Duration) Option { return func(c *Claims) { c.window = window } }

// WithLimit sets how long a claim may take in total.
func WithLimit(limit time.Duration) Option { return func(c *Claims) { c.limit = limit } }

// WithRetry sets how long a finish or release is retried in the background.
func WithRetry(retry time.Duration) Option { return func(c *Claims) { c.retry = retry } }

// WithSeed sets the seed of the backoff's jitter; the default is random.
func WithSeed(seed uint64) Option { return func(c *Claims) { c.seed = seed } }

// New returns claims kept in the key-value service.
func New(store spoke.KeyValue, opts ...Option) *Claims {
	c := &Claims{
		store: store, timer: timer.NewSystem(),
		shards: defaultShards, window: defaultWindow, limit: defaultLimit,
		keep: defaultKeep, retry: defaultRetry, seed: rand.Uint64(),
		calls:   make(chan struct{}, defaultCalls),
		workers: make(map[int]*worker),
		refused: make(map[spoke.AttemptID]struct{}),
	}
	for _, opt := range opts {
		opt(c)
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Claim returns true if the attempt holds the claim, else the record that stands. An attempt id
// must be used for one claim only. The error is a *spoke.Refusal; its attempt must not run, and
// a claim that still takes effect later is withdrawn in the background.
func (c *Claims) Claim(ctx context.Context, request spoke.ClaimRequest) (bool, spoke.ClaimRecord, error) {
	o := newOp(opClaim, request, c.timer.Now().Add(c.limit))
	if !c.submit(o) {
		return false, spoke.ClaimRecord{}, unavailable("the host stops")
	}
	limit := c.timer.After(c.limit)
	defer limit.Stop()
	refusal := unavailable("no claim of key %q within %v", request.ID.Key, c.limit)
	select {
	case r := <-o.results:
		return r.granted, r.record, r.err
	case <-limit.C():
	case <-ctx.Done():
		refusal = spoke.RefuseNotRun(spoke.CodeCancelled, "claim of key %q cancelled", request.ID.Key)
	}
	if !o.abandon(func() { c.refuse(request.Attempt) }) {
		r := <-o.results
		return r.granted, r.record, r.err
	}
	return false, spoke.ClaimRecord{}, refusal
}

// Finish records that the attempt's request has run. If the key-value service does not answer
// in time, it returns an error that matches ErrUnavailable and goes on in the background.
func (c *Claims) Finish(ctx context.Context, request spoke.ClaimRequest, answer spoke.PlainAnswer) error {
	o := newOp(opFinish, request, c.timer.Now().Add(c.retry))
	if answerSize(answer) <= maxAnswer {
		o.answer = &answer
	}
	return c.background(ctx, o)
}

// Release withdraws the claim of an attempt that certainly did not run; it goes on
// in the background as Finish does. Repeats at this host need not wait for it.
func (c *Claims) Release(ctx context.Context, request spoke.ClaimRequest) error {
	c.refuse(request.Attempt)
	return c.background(ctx, newOp(opRelease, request, c.timer.Now().Add(c.retry)))
}

// Close refuses new claims and waits for what goes on in the background until ctx ends.
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
		return eris.Wrap(ctx.Err(), "claims still to be written")
	}
}

func (c *Claims) background(ctx context.Context, o *op) error {
	if !c.submit(o) {
		return eris.Wrap(spoke.ErrUnavailable, "the host stops")
	}
	limit := c.timer.After(c.limit)
	defer limit.Stop()
	select {
	case r := <-o.results:
		return r.err
	case <-limit.C():
	case <-ctx.Done():
	}
	return eris.Wrapf(spoke.ErrUnavailable, "claim of key %q is still to be written", o.request.ID.Key)
}

// submit hands the op to the worker of its shard, and starts it if it is idle.
func (c *Claims) submit(o *op) bool {
	index := shardOf(o.request.ID, c.shards)
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

func (c *Claims) refuse(attempt spoke.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[attempt] = struct{}{}
}

func (c *Claims) forget(attempt spoke.AttemptID) {
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
	refusal.RetryAfter = retryHint
	return refusal
}
