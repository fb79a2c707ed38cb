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
	// Keeper is a task that acquires a lease and renews it for as long as it runs.
	Keeper struct {
		leases spoke.Leases
		timer  spoke.Timer
		name   spoke.LeaseName
		holder spoke.HostID
		ttl    time.Duration
		random *rand.Rand

		held atomic.Pointer[spoke.Lease]
		// yieldedUntil is the time until which the lease is left to others, nil if it never was.
		yieldedUntil atomic.Pointer[time.Time]
		// fence is the highest token granted; only the goroutine of Run uses it.
		fence spoke.FencingToken
	}

	// Option changes a Keeper.
	Option func(*Keeper)
)

// WithTimer sets the timer service.
func WithTimer(t spoke.Timer) Option { return func(k *Keeper) { k.timer = t } }

// New returns a keeper that holds no lease until it runs. The holder must be unique to each start
// of a process, since the service grants a held lease again to the same holder.
func New(leases spoke.Leases, name spoke.LeaseName, holder spoke.HostID, ttl time.Duration, opts ...Option) *Keeper {
	k := &Keeper{
		leases: leases, timer: timer.NewSystem(), name: name, holder: holder, ttl: ttl,
		random: newRandom(holder),
	}
	for _, opt := range opts {
		opt(k)
	}
	return k
}

// newRandom returns a generator seeded with the holder, so that the delays differ between holders
// but are the same in each run of a test.
func newRandom(holder spoke.HostID) *rand.Rand {
	sum := sha256.Sum256([]byte(holder))
	return rand.New(rand.NewPCG(binary.BigEndian.Uint64(sum[:8]), binary.BigEndian.Uint64(sum[8:16])))
}

// Held returns the lease if it is valid for longer than the margin from now on. It must be called
// before each order with the current time, since the process may have been paused.
func (k *Keeper) Held(now time.Time, margin time.Duration) (spoke.Lease, bool) {
	lease := k.held.Load()
	if lease == nil || k.hasYielded(now) || !isValidUntil(*lease, now.Add(margin)) {
		return spoke.Lease{}, false
	}
	return *lease, true
}

// Yield leaves the lease to other holders until the given time. It is released only when it would have expired without
// a renewal, so that orders which are on their way do not meet those of the next holder.
func (k *Keeper) Yield(until time.Time) { k.yieldedUntil.Store(&until) }

func (k *Keeper) hasYielded(now time.Time) bool {
	until := k.yieldedUntil.Load()
	return until != nil && now.Before(*until)
}

// Run acquires and renews the lease until ctx ends, then releases it.
func (k *Keeper) Run(ctx context.Context) error {
	defer k.release()
	for ctx.Err() == nil {
		timer.Wait(ctx, k.timer, k.step(ctx))
	}
	return ctx.Err()
}

// step makes one call and returns the delay until the next one.
func (k *Keeper) step(ctx context.Context) time.Duration {
	if k.hasYielded(k.timer.Now()) {
		if lease := k.held.Load(); lease != nil && !isValidUntil(*lease, k.timer.Now()) {
			k.release()
		}
		return k.ttl / retriesPerTTL
	}
	callCtx, cancel := context.WithTimeout(ctx, k.ttl/renewalsPerTTL)
	defer cancel()
	if lease, ok := k.Held(k.timer.Now(), 0); ok {
		return k.renew(callCtx, lease)
	}
	k.held.Store(nil)
	return k.acquire(callCtx)
}

func (k *Keeper) renew(ctx context.Context, lease spoke.Lease) time.Duration {
	renewed, err := k.leases.Renew(ctx, lease, k.ttl)
	switch {
	case err == nil:
		k.held.Store(&renewed)
		return k.ttl / renewalsPerTTL
	case errors.Is(err, spoke.ErrLeaseLost):
		k.held.Store(nil)
		return 0
	default:
		// Whether the renewal took effect is unknown, so the previous expiry remains in force.
		return k.ttl / retriesPerTTL
	}
}

// acquire retries soon after a lost response: the service then grants a new token to the same
// holder, or refuses until the grant whose response was lost has expired.
func (k *Keeper) acquire(ctx context.Context) time.Duration {
	lease, err := k.leases.Acquire(ctx, k.name, k.holder, k.ttl)
	if err != nil || lease.Fence <= k.fence {
		return k.ttl/retriesPerTTL + time.Duration(k.random.Int64N(int64(k.ttl/retriesPerTTL)))
	}
	k.fence = lease.Fence
	k.held.Store(&lease)
	return k.ttl / renewalsPerTTL
}

// release releases the lease, so that a successor need not wait for its expiry.
func (k *Keeper) release() {
	lease := k.held.Swap(nil)
	if lease == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), k.ttl/renewalsPerTTL)
	defer cancel()
	_ = k.leases.Release(ctx, *lease)
}

// isValidUntil reports whether the lease expires after the given time. It compares both the
// monotonic and the wall clock, since the monotonic clock of some systems stops while the machine
// is suspended.
func isValidUntil(lease spoke.Lease, until time.Time) bool {
	return until.Before(lease.Expires) && until.Round(0).Before(lease.Expires.Round(0))
}
