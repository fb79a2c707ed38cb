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
	minIdleTimeout = 2 * time.Second
	// idlePaces is how many usual gaps between pieces make a stream silent.
	idleGapFactor = 10
	// minFirstIdle is the shortest wait for a first token.
	minFirstTimeout = 5 * time.Second
	// slowPrefill is the rate below which no engine prefills, so that a long
	// prompt is not taken for a silent connection.
	minPrefillRate spoke.TokenRate = 1000
)

type (
	// idleLimit finds out when a stream is silent from the stream's own pace.
	idleDetector struct {
		timer        spoke.Timer
		firstTimeout time.Duration
		// pace is the moving mean of the gaps between pieces after the first one.
		meanGap   time.Duration
		isStarted bool
	}
)

func newIdleDetector(timer spoke.Timer, cost spoke.TokenCount) *idleDetector {
	prefill := time.Duration(float64(cost) / float64(minPrefillRate) * float64(time.Second))
	return &idleDetector{timer: timer, firstTimeout: max(minFirstTimeout, prefill)}
}

// start runs an open call under the limit for a first token; the cancel function
// ends the call and later the stream.
func (l *idleDetector) start(cancel context.CancelCauseFunc, open func() (spoke.RunStream, error)) (spoke.RunStream, error) {
	timeoutErr := eris.Wrapf(spoke.ErrSilent, "no answer within %s", l.firstTimeout)
	stop := l.callAfter(l.firstTimeout, func() { cancel(timeoutErr) })
	stream, err := open()
	if stop() {
		return stream, err
	}
	if err == nil {
		_ = stream.Close()
		return nil, timeoutErr
	}
	if errors.Is(err, spoke.ErrNotRun) {
		// The limit passed before the engine was reached or as it refused.
		return nil, err
	}
	return nil, timeoutErr
}

// guard calls a function after a limit unless it is stopped; stop reports whether the
// function was not and will not be called.
func (l *idleDetector) callAfter(timeout time.Duration, call func()) (stop func() bool) {
	tick := l.timer.After(timeout)
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
func (l *idleDetector) next(ctx context.Context, stream spoke.RunStream) (spoke.Piece, error) {
	timeout := l.timeout()
	started := l.timer.Now()
	ctx, cancel := context.WithTimeoutCause(ctx, timeout, spoke.ErrSilent)
	defer cancel()
	piece, err := stream.Next(ctx)
	if err != nil && !errors.Is(err, io.EOF) && errors.Is(context.Cause(ctx), spoke.ErrSilent) {
		return piece, eris.Wrapf(spoke.ErrSilent, "no piece within %s", timeout)
	}
	l.observeGap(l.timer.Now().Sub(started))
	return piece, err
}

func (l *idleDetector) timeout() time.Duration {
	if !l.isStarted {
		return l.firstTimeout
	}
	return max(minIdleTimeout, idleGapFactor*l.meanGap)
}

// observe takes the time that the engine let the owner wait for a piece; the time
// that a reader takes for a piece says nothing about the engine.
func (l *idleDetector) observeGap(gap time.Duration) {
	if l.isStarted {
		// An eighth of each gap smooths the bursts of batched decoding.
		l.meanGap += (gap - l.meanGap) / 8
	}
	l.isStarted = true
}
