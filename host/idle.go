package host

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

const (
	// minIdle tolerates pauses of an engine that swaps or batches a long prompt.
	minIdle = 2 * time.Second
	// idlePaces is how many usual gaps between pieces make a stream silent.
	idlePaces = 10
	// minFirstIdle is the shortest wait for a first token.
	minFirstIdle = 5 * time.Second
	// slowPrefill is the rate below which no engine prefills, so that a long
	// prompt is not taken for a silent connection.
	slowPrefill spoke.TokenRate = 1000
)

type (
	// idleLimit finds out when a stream is silent from the stream's own pace.
	idleLimit struct {
		timer spoke.Timer
		first time.Duration
		// pace is the moving mean of the gaps between pieces after the first one.
		pace      time.Duration
		isStarted bool
	}
)

func newIdleLimit(timer spoke.Timer, cost spoke.TokenCount) *idleLimit {
	prefill := time.Duration(float64(cost) / float64(slowPrefill) * float64(time.Second))
	return &idleLimit{timer: timer, first: max(minFirstIdle, prefill)}
}

// start runs an open call under the limit for a first token; the cancel function
// ends the call and later the stream.
func (l *idleLimit) start(cancel context.CancelCauseFunc, open func() (spoke.RunStream, error)) (spoke.RunStream, error) {
	silent := eris.Wrapf(spoke.ErrIdleTimeout, "no answer within %s", l.first)
	stop := l.guard(l.first, func() { cancel(silent) })
	stream, err := open()
	if stop() {
		return stream, err
	}
	if err == nil {
		_ = stream.Close()
		return nil, silent
	}
	if errors.Is(err, spoke.ErrNotRun) {
		// The limit passed before the engine was reached or as it refused.
		return nil, err
	}
	return nil, silent
}

// guard calls a function after a limit unless it is stopped; stop reports whether the
// function was not and will not be called.
func (l *idleLimit) guard(limit time.Duration, call func()) (stop func() bool) {
	tick := l.timer.After(limit)
	done := make(chan struct{})
	var once sync.Once
	isStopped := false
	go func() {
		defer tick.Stop()
		select {
		case <-tick.C():
			once.Do(call)
		case <-done:
		}
	}()
	return func() bool {
		close(done)
		once.Do(func() { isStopped = true })
		return isStopped
	}
}

// next reads a piece or fails with spoke.ErrSilent.
func (l *idleLimit) next(ctx context.Context, stream spoke.RunStream) (spoke.Piece, error) {
	limit := l.limit()
	asked := l.timer.Now()
	ctx, cancel := context.WithTimeoutCause(ctx, limit, spoke.ErrIdleTimeout)
	defer cancel()
	piece, err := stream.Next(ctx)
	if err != nil && !errors.Is(err, io.EOF) && errors.Is(context.Cause(ctx), spoke.ErrIdleTimeout) {
		return piece, eris.Wrapf(spoke.ErrIdleTimeout, "no piece within %s", limit)
	}
	l.observe(l.timer.Now().Sub(asked))
	return piece, err
}

func (l *idleLimit) limit() time.Duration {
	if !l.isStarted {
		return l.first
	}
	return max(minIdle, idlePaces*l.pace)
}

// observe takes the time that the engine let the owner wait for a piece; the time
// that a reader takes for a piece says nothing about the engine.
func (l *idleLimit) observe(gap time.Duration) {
	if l.isStarted {
		// An eighth of each gap smooths the bursts of batched decoding.
		l.pace += (gap - l.pace) / 8
	}
	l.isStarted = true
}
