package lease

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/timer"
)

const (
	// renewalsPerTTL is the number of renewals within the time to live, so that a lease
	// survives one lost call.
	renewalsPerTTL = 3
	// retriesPerTTL sets the interval of retries after a failure: the time to live divided by it.
	retriesPerTTL = 10
)

type (
	// Renewer is a task that acquires a lease and renews it for as long as it runs.
	Keeper struct {
		leases spoke.Leases
		timer  spoke.Timer
		name   spoke.LeaseName
		holder spoke.HostID
		ttl    time.Duration
		random *rand.Rand

		held atomic.Pointer[spoke.Lease]
		// fence is the highest token granted; only the goroutine of Run uses it.
		fence spoke.FencingToken
	}

	// Option changes a Renewer.
	Option func(*Keeper)
)

// WithTimer sets the timer service.
func WithTimer(t spoke.Timer) Option { return func(r *Keeper) { r.timer = t } }

// New returns a renewer that holds no lease until it runs. The holder must be unique to each start
// of a process, since the service grants a held lease again to the same holder.
func New(leases spoke.Leases, name spoke.LeaseName, holder spoke.HostID, ttl time.Duration, opts ...Option) *Keeper {
	r := &Keeper{
		leases: leases, timer: timer.NewSystem(), name: name, holder: holder, ttl: ttl,
		random: newRandom(holder),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// newRandom returns a generator seeded with the holder, so that the delays differ between holders
// but are the same in each run of a test.
func newRandom(holder spoke.HostID) *rand.Rand {
	sum := sha256.Sum256([]byte(holder))
	return rand.New(rand.NewPCG(binary.BigEndian.Uint64(sum[:8]), binary.BigEndian.Uint64(sum[8:16])))
}

// Held returns the lease if it is valid for longer than the margin from now on. It must be called
// before each order with the current time, since the process may have been paused.
func (r *Keeper) Held(now time.Time, margin time.Duration) (spoke.Lease, bool) {
	lease := r.held.Load()
	if lease == nil || !isValidUntil(*lease, now.Add(margin)) {
		return spoke.Lease{}, false
	}
	return *lease, true
}

// Run acquires and renews the lease until ctx ends, then releases it.
func (r *Keeper) Run(ctx context.Context) error {
	defer r.release()
	for ctx.Err() == nil {
		timer.Wait(ctx, r.timer, r.step(ctx))
	}
	return ctx.Err()
}

// step makes one call and returns the delay until the next one.
func (r *Keeper) step(ctx context.Context) time.Duration {
	callCtx, cancel := context.WithTimeout(ctx, r.ttl/renewalsPerTTL)
	defer cancel()
	if lease, ok := r.Held(r.timer.Now(), 0); ok {
		return r.renew(callCtx, lease)
	}
	r.held.Store(nil)
	return r.acquire(callCtx)
}

func (r *Keeper) renew(ctx context.Context, lease spoke.Lease) time.Duration {
	renewed, err := r.leases.Renew(ctx, lease, r.ttl)
	switch {
	case err == nil:
		r.held.Store(&renewed)
		return r.ttl / renewalsPerTTL
	case errors.Is(err, spoke.ErrLeaseLost):
		r.held.Store(nil)
		return 0
	default:
		// Whether the renewal took effect is unknown, so the previous expiry remains in force.
		return r.ttl / retriesPerTTL
	}
}

// acquire retries soon after a lost response: the service then grants a new token to the same
// holder, or refuses until the grant whose response was lost has expired.
func (r *Keeper) acquire(ctx context.Context) time.Duration {
	lease, err := r.leases.Acquire(ctx, r.name, r.holder, r.ttl)
	if err != nil || lease.Fence <= r.fence {
		return r.ttl/retriesPerTTL + time.Duration(r.random.Int64N(int64(r.ttl/retriesPerTTL)))
	}
	r.fence = lease.Fence
	r.held.Store(&lease)
	return r.ttl / renewalsPerTTL
}

// release releases the lease, so that a successor need not wait for its expiry.
func (r *Keeper) release() {
	lease := r.held.Swap(nil)
	if lease == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.ttl/renewalsPerTTL)
	defer cancel()
	_ = r.leases.Release(ctx, *lease)
}

// isValidUntil reports whether the lease expires after the given time. It compares both the
// monotonic and the wall clock, since the monotonic clock of some systems stops while the machine
// is suspended.
func isValidUntil(lease spoke.Lease, until time.Time) bool {
	return until.Before(lease.Expires) && until.Round(0).Before(lease.Expires.Round(0))
}
