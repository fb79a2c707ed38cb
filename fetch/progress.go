package fetch

import (
	"context"
	"io"
	"sync"
	"time"
)

const (
	// minPause is the lateness of a timer from which on this process counts as having stood still.
	minPause = 10 * time.Millisecond
	// unreadTime is the time in which a process that stood still reads what has arrived meanwhile.
	unreadTime = 100 * time.Millisecond
)

type (
	// progressTimer ends a call whose response makes no progress.
	progressTimer struct {
		cancel context.CancelCauseFunc

		mu    sync.Mutex
		timer *time.Timer
		due   time.Time
		// isExtended is set if the process stood still at the end of the time for the next part.
		isExtended bool
	}

	// progressReader allows more time with each part of the body.
	progressReader struct {
		io.Reader
		progress *progressTimer
		idle     time.Duration
	}
)

func newProgressTimer(limit time.Duration, cancel context.CancelCauseFunc) *progressTimer {
	p := &progressTimer{cancel: cancel, due: time.Now().Add(limit)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(limit, p.expire)
	return p
}

// allow sets the time in which the next part must arrive.
func (p *progressTimer) allow(limit time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isExtended = false
	p.reset(limit)
}

func (p *progressTimer) reset(limit time.Duration) {
	p.due = time.Now().Add(limit)
	p.timer.Reset(limit)
}

// expire ends the call, unless this process stood still: then a part may have arrived in time and is not read yet.
func (p *progressTimer) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	late := time.Since(p.due)
	switch {
	case late < 0:
		// A part was read when the timer had just fired.
	case late > minPause && !p.isExtended:
		p.isExtended = true
		p.reset(unreadTime)
	default:
		p.cancel(ErrNoProgress)
	}
}

func (p *progressTimer) stop() { p.timer.Stop() }

// Read reads a part of the body.
func (r *progressReader) Read(p []byte) (int, error) {
	count, err := r.Reader.Read(p)
	if count > 0 {
		r.progress.allow(r.idle)
	}
	return count, err
}
