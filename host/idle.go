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
	// minIdleTimeout tolerates pauses of an engine that swaps or batches a long prompt.
	minIdleTimeout = 2 * time.Second
	// idleGapFactor is the number of mean gaps between pieces after which a stream counts as idle.
	idleGapFactor = 10
	// minFirstTimeout is the shortest timeout for a first token.
	minFirstTimeout = 5 * time.Second
	// minPrefillRate is a lower bound of the prefill rates of engines, so that the prefill of a
	// long prompt is not mistaken for a silent connection.
	minPrefillRate spoke.TokenRate = 1000
)

type (
	// idleDetector detects an idle stream by the rate of its earlier pieces.
	idleDetector struct {
		timer        spoke.Timer
		firstTimeout time.Duration
		// meanGap is the moving average of the gaps between pieces after the first one.
		meanGap   time.Duration
		isStarted bool
	}
)

func newIdleDetector(timer spoke.Timer, cost spoke.TokenCount) *idleDetector {
	prefill := time.Duration(float64(cost) / float64(minPrefillRate) * float64(time.Second))
	return &idleDetector{timer: timer, firstTimeout: max(minFirstTimeout, prefill)}
}

// start runs an open call under the timeout for a first token; cancel must end the call. A
// stream that opens after the timeout is closed.
func (d *idleDetector) start(cancel context.CancelCauseFunc, open func() (spoke.RunStream, error)) (spoke.RunStream, error) {
	timeoutErr := eris.Wrapf(spoke.ErrIdleTimeout, "no answer within %s", d.firstTimeout)
	stop := d.callAfter(d.firstTimeout, func() { cancel(timeoutErr) })
	stream, err := open()
	if stop() {
		return stream, err
	}
	if err == nil {
		_ = stream.Close()
		return nil, timeoutErr
	}
	if errors.Is(err, spoke.ErrNotRun) {
		// The timeout passed before the engine was reached or while it refused the run.
		return nil, err
	}
	return nil, timeoutErr
}

// callAfter calls a function after a timeout unless it is stopped first; stop reports whether
// the function was not and will not be called.
func (d *idleDetector) callAfter(timeout time.Duration, call func()) (stop func() bool) {
	tick := d.timer.After(timeout)
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

// next reads a piece; it fails with spoke.ErrIdleTimeout if none arrives within the timeout.
func (d *idleDetector) next(ctx context.Context, stream spoke.RunStream) (spoke.Piece, error) {
	timeout := d.timeout()
	started := d.timer.Now()
	ctx, cancel := context.WithTimeoutCause(ctx, timeout, spoke.ErrIdleTimeout)
	defer cancel()
	piece, err := stream.Next(ctx)
	if err != nil && !errors.Is(err, io.EOF) && errors.Is(context.Cause(ctx), spoke.ErrIdleTimeout) {
		return piece, eris.Wrapf(spoke.ErrIdleTimeout, "no piece within %s", timeout)
	}
	d.observeGap(d.timer.Now().Sub(started))
	return piece, err
}

func (d *idleDetector) timeout() time.Duration {
	if !d.isStarted {
		return d.firstTimeout
	}
	return max(minIdleTimeout, idleGapFactor*d.meanGap)
}

// observeGap records the time that the owner waited for a piece of the engine. The time that a
// reader takes for a piece is excluded, since it does not depend on the engine.
func (d *idleDetector) observeGap(gap time.Duration) {
	if d.isStarted {
		// A weight of 1/8 for each gap smooths the bursts of batched decoding.
		d.meanGap += (gap - d.meanGap) / 8
	}
	d.isStarted = true
}
