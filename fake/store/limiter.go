package store

import (
	"context"
	"sync"
	"time"

	"magnoliaspoke.example/spoke"
)

// chunkSize is the unit by which transfers take turns on a pipe.
const chunkSize = 16 << 10

// pipe is a rate-limited path that transfers share chunk by chunk.
type pipe struct {
	clock spoke.Timer

	mu   sync.Mutex
	rate spoke.ByteRate
	// free is the time at which all accepted chunks have passed.
	free time.Time
	// changed is closed when the rate or the freeze changes.
	changed chan struct{}
	frozen  bool
}

func newPipe(clock spoke.Timer, rate spoke.ByteRate) *pipe {
	return &pipe{clock: clock, rate: rate, changed: make(chan struct{})}
}

// pass waits until a chunk has passed the pipe.
func (p *pipe) pass(ctx context.Context, size int) error {
	due, changed, frozen := p.accept(size)
	for frozen {
		select {
		case <-changed:
			due, changed, frozen = p.accept(size)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	delay := due.Sub(p.clock.Now())
	if delay <= 0 {
		return ctx.Err()
	}
	tick := p.clock.After(delay)
	defer tick.Stop()
	select {
	case <-tick.C():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *pipe) accept(size int) (due time.Time, changed chan struct{}, frozen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if p.frozen || p.rate <= 0 {
		return now, p.changed, p.frozen
	}
	if p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(time.Duration(float64(size) / float64(p.rate) * float64(time.Second)))
	return p.free, p.changed, false
}

// queued returns the bytes that still wait for the pipe.
func (p *pipe) queued() spoke.ByteSize {
	p.mu.Lock()
	defer p.mu.Unlock()
	return spoke.ByteSize(max(0, p.free.Sub(p.clock.Now()).Seconds()) * float64(p.rate))
}

// set changes the pipe; chunks that were accepted keep their time.
func (p *pipe) set(change func(*pipe)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
	close(p.changed)
	p.changed = make(chan struct{})
}
