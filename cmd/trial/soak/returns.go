package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// returnPause and returnAge are the time between two returns of the store and the age of the copy, both at
	// least; returnJitter is added at random to each of them.
	returnPause  = 800 * time.Millisecond
	returnAge    = 600 * time.Millisecond
	returnJitter = 1500 * time.Millisecond
	// rewriteDelay is the time after a return in which operator and engines write again what the store has lost.
	rewriteDelay = 700 * time.Millisecond
	// maxReturnOutage bounds the time for which the store is away before it returns.
	maxReturnOutage = 400 * time.Millisecond
)

// returnStore makes the store return from older copies, again and again, until ctx ends.
func (inj *injector) returnStore(ctx context.Context, random *rand.Rand) {
	jitter := func() time.Duration { return time.Duration(random.Int64N(int64(returnJitter))) }
	store := inj.testbed.store
	for ctx.Err() == nil {
		sleep(ctx, returnPause+jitter())
		copied := store.Copy()
		age := returnAge + jitter()
		sleep(ctx, age)
		outage := time.Duration(random.Int64N(int64(maxReturnOutage)))
		inj.logf("store returns %s older, after %s", age, outage)
		store.Refuse(true)
		sleep(ctx, outage)
		store.Restore(copied)
		store.Refuse(false)
		sleep(context.Background(), rewriteDelay)
		inj.testbed.rewrite()
	}
}

// rewrite writes the newest state of configuration, weights and engines to the store.
func (b *testbed) rewrite() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writeConfig(b.configVersion)
	b.store.PutTargetVersion(b.weights)
	for _, e := range b.engines {
		b.store.PutEngine(e.Engine, service, b.addressOf(e), e.isLeaving)
	}
	for _, e := range slices.Clone(b.retired) {
		b.store.RemoveEngine(e.Engine)
	}
}
