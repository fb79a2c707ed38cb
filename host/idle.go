package host

import (
	"context"
	"errors"
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
		pace  time.Duration
		last  time.Time
	}
)

func newIdleLimit(timer spoke.Timer, cost spoke.TokenCount) *idleLimit {
	prefill := time.Duration(float64(cost) / float64(slowPrefill) * float64(time.Second))
	return &idleLimit{timer: timer, first: max(minFirstIdle, prefill)}
}

// start runs an open call under the limit for a first token; the cancel function
// ends the call and later the stream.
func (l *idleLimit) start(cancel context.CancelCauseFunc, open func() (spoke.RunStream, error)) (spoke.RunStream, error) {
	silent := eris.Wrapf(spoke.ErrSilent, "no answer within %s", l.first)
	guard := time.AfterFunc(l.first, func() { cancel(silent) })
	stream, err := open()
	if !guard.Stop() {
		return nil, silent
	}
	return stream, err
}

// next reads a piece or fails with spoke.ErrSilent.
func (l *idleLimit) next(ctx context.Context, stream spoke.RunStream) (spoke.Piece, error) {
	limit := l.limit()
	ctx, cancel := context.WithTimeoutCause(ctx, limit, spoke.ErrSilent)
	defer cancel()
	piece, err := stream.Next(ctx)
	if err != nil && errors.Is(context.Cause(ctx), spoke.ErrSilent) {
		return piece, eris.Wrapf(spoke.ErrSilent, "no piece within %s", limit)
	}
	l.observe(l.timer.Now())
	return piece, err
}

func (l *idleLimit) limit() time.Duration {
	if l.last.IsZero() {
		return l.first
	}
	return max(minIdle, idlePaces*l.pace)
}

func (l *idleLimit) observe(now time.Time) {
	if !l.last.IsZero() {
		// An eighth of each gap smooths the bursts of batched decoding.
		l.pace += (now.Sub(l.last) - l.pace) / 8
	}
	l.last = now
}
