package store

import (
	"context"
	"sync"
	"time"

	"magnoliaspoke.example/spoke"
)

// chunkBytes is the unit in which concurrent transfers interleave.
const chunkBytes = 16 << 10

// rateLimiter limits the total rate of the transfers that share it, chunk by chunk.
type rateLimiter struct {
	clock spoke.Timer

	mu   sync.Mutex
	rate spoke.ByteRate
	// nextFree is the time at which all reserved chunks will have been transferred.
	nextFree time.Time
	// changed is closed and replaced when the rate or frozen changes.
	changed chan struct{}
	frozen  bool
}

func newRateLimiter(clock spoke.Timer, rate spoke.ByteRate) *rateLimiter {
	return &rateLimiter{clock: clock, rate: rate, changed: make(chan struct{})}
}

// wait reserves a chunk and blocks until the rate allows it, or returns the error of ctx.
func (l *rateLimiter) wait(ctx context.Context, size int) error {
	due, changed, frozen := l.reserve(size)
	for frozen {
		select {
		case <-changed:
			due, changed, frozen = l.reserve(size)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	delay := due.Sub(l.clock.Now())
	if delay <= 0 {
		return ctx.Err()
	}
	tick := l.clock.After(delay)
	defer tick.Stop()
	select {
	case <-tick.C():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *rateLimiter) reserve(size int) (due time.Time, changed chan struct{}, frozen bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if l.frozen || l.rate <= 0 {
		return now, l.changed, l.frozen
	}
	if l.nextFree.Before(now) {
		l.nextFree = now
	}
	l.nextFree = l.nextFree.Add(time.Duration(float64(size) / float64(l.rate) * float64(time.Second)))
	return l.nextFree, l.changed, false
}

// queuedBytes returns the reserved bytes that have not been transferred yet.
func (l *rateLimiter) queuedBytes() spoke.ByteSize {
	l.mu.Lock()
	defer l.mu.Unlock()
	return spoke.ByteSize(max(0, l.nextFree.Sub(l.clock.Now()).Seconds()) * float64(l.rate))
}

// update changes the rate or frozen; chunks that are already reserved keep their due time.
func (l *rateLimiter) update(change func(*rateLimiter)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
	close(l.changed)
	l.changed = make(chan struct{})
}
