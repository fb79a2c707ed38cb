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
	// renewals is the number of tries to renew within the time to live, so that
	// a lease survives one lost call.
	renewals = 3
	// retries divides the time to live into the steps of tries after a failure.
	retries = 10
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
		// fence is the highest token granted; only the task uses it.
		fence spoke.FencingToken
	}

	// Option changes a Keeper.
	Option func(*Keeper)
)

// WithTimer sets the timer service.
func WithTimer(t spoke.Timer) Option { return func(k *Keeper) { k.timer = t } }

// New returns a keeper that holds nothing until it runs. The holder must differ between two
// starts of a process, since the service grants a held lease again to its own holder.
func New(leases spoke.Leases, name spoke.LeaseName, holder spoke.HostID, ttl time.Duration, opts ...Option) *Keeper {
	k := &Keeper{
		leases: leases, timer: timer.NewSystem(), name: name, holder: holder, ttl: ttl,
		random: randomOf(holder),
	}
	for _, opt := range opts {
		opt(k)
	}
	return k
}

// randomOf gives each holder its own sequence of waits, the same in each run of a test.
func randomOf(holder spoke.HostID) *rand.Rand {
	sum := sha256.Sum256([]byte(holder))
	return rand.New(rand.NewPCG(binary.BigEndian.Uint64(sum[:8]), binary.BigEndian.Uint64(sum[8:16])))
}

// Held returns the lease if it lasts for at least the margin from now on. It must be called
// before each order with the time of that moment, since the process may have been paused.
func (k *Keeper) Held(now time.Time, margin time.Duration) (spoke.Lease, bool) {
	lease := k.held.Load()
	if lease == nil || !lasts(*lease, now.Add(margin)) {
		return spoke.Lease{}, false
	}
	return *lease, true
}

// Run acquires and renews the lease until ctx ends, then releases it.
func (k *Keeper) Run(ctx context.Context) error {
	defer k.release()
	for ctx.Err() == nil {
		timer.Wait(ctx, k.timer, k.step(ctx))
	}
	return ctx.Err()
}

// step makes one call and returns the time to the next one.
func (k *Keeper) step(ctx context.Context) time.Duration {
	callCtx, cancel := context.WithTimeout(ctx, k.ttl/renewals)
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
		return k.ttl / renewals
	case errors.Is(err, spoke.ErrLeaseLost):
		k.held.Store(nil)
		return 0
	default:
		// The old deadline stands, whether or not the renewal took effect.
		return k.ttl / retries
	}
}

// acquire tries again soon after a lost answer: the service then grants a new token to the
// same holder, or refuses until the unknown grant has lapsed.
func (k *Keeper) acquire(ctx context.Context) time.Duration {
	lease, err := k.leases.Acquire(ctx, k.name, k.holder, k.ttl)
	if err != nil || lease.Fence <= k.fence {
		return k.ttl/retries + time.Duration(k.random.Int64N(int64(k.ttl/retries)))
	}
	k.fence = lease.Fence
	k.held.Store(&lease)
	return k.ttl / renewals
}

// release gives the lease up at once, so that a successor need not wait for its end.
func (k *Keeper) release() {
	lease := k.held.Swap(nil)
	if lease == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), k.ttl/renewals)
	defer cancel()
	_ = k.leases.Release(ctx, *lease)
}

// lasts compares the monotonic and the wall clock, since the monotonic clock of some systems
// stands still while the machine is suspended.
func lasts(lease spoke.Lease, until time.Time) bool {
	return until.Before(lease.Expires) && until.Round(0).Before(lease.Expires.Round(0))
}
