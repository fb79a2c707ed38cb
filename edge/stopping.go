package edge

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/drain"
	"magnoliaspoke.example/spoke/place"
)

type (
	// callTimes are the times that calls have taken, for concurrent use.
	callTimes struct {
		mu    sync.Mutex
		times *place.CallTimes
	}

	// stopTimes are the times of the stop of this host.
	stopTimes struct {
		// begun is when the host received the signal.
		begun time.Time
		// estimatesUntil is when this host stops accepting calls by estimate.
		estimatesUntil time.Time
		// endsAt is when the calls under way end.
		endsAt time.Time
	}
)

func (t stopTimes) remaining(now time.Time) place.Stop {
	return place.Stop{Left: t.endsAt.Sub(now), MayEstimate: now.Before(t.estimatesUntil)}
}

func newCallTimes() *callTimes { return &callTimes{times: place.NewCallTimes()} }

func (t *callTimes) record(state callState, isAnswered bool) {
	if state.received.IsZero() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	took := time.Since(state.received)
	if isAnswered {
		t.times.Record(state.route, state.size, took)
		return
	}
	t.times.RecordUnfinished(state.route, state.size, took)
}

func (t *callTimes) expected(bounds place.CallBounds) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.times.Expected(bounds)
}

// refuseStopping refuses the call and returns true if this host stops and may not send the call to an upstream any more.
func (e *exchange) refuseStopping() bool {
	times := e.stop.Load()
	if times == nil {
		return false
	}
	bounds, stop := e.bounds(), times.remaining(time.Now())
	expected := e.times.expected(bounds)
	fields := stopFields(stop, expected)
	if stop.Accepts(bounds, expected) {
		e.log.WithFields(fields).WithField("route", e.route.Name).Info("call accepted while stopping")
		return false
	}
	e.refuse(http.StatusServiceUnavailable, "stopping", stoppingRetryAfter, fields)
	return true
}

// refuseLate refuses a call that was accepted before and returns true if this host stops, no upstream has run the call,
// and it is no longer expected to end in time.
func (e *exchange) refuseLate(p *progress) bool {
	times := e.stop.Load()
	if times == nil || p.mayHaveRun || p.stream.hasBegun() {
		return false
	}
	stop, expected := times.remaining(time.Now()), e.times.expected(e.bounds())
	if stop.Fits(expected) {
		return false
	}
	fields := stopFields(stop, expected)
	fields["last-fault"] = p.lastFault
	e.refuse(http.StatusServiceUnavailable, "stopping", stoppingRetryAfter, fields)
	return true
}

func stopFields(stop place.Stop, expected time.Duration) logrus.Fields {
	return logrus.Fields{"left": stop.Left.String(), "expected": expected.String(), "estimates": stop.MayEstimate}
}

// stoppingFields returns how long this host has been stopping, nothing if it is not.
func (e *exchange) stoppingFields() logrus.Fields {
	times := e.stop.Load()
	if times == nil {
		return nil
	}
	return logrus.Fields{"stopping-for": time.Since(times.begun).String()}
}

func (e *exchange) bounds() place.CallBounds {
	bounds := place.CallBounds{
		Route: e.route, Prompt: e.prompt(), Timeout: e.route.Timeout, Wait: time.Until(e.deadline),
		Oldest: e.underWay.longestHeld(e.route.Name, place.OutputSize(e.prompt())),
	}
	if bounds.Timeout == 0 {
		bounds.Timeout = defaultWait
	}
	return bounds
}

// withDeadline returns a context that ends at the deadline of the call or at the end of a stop of this host.
func (e *exchange) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	cause := context.DeadlineExceeded
	if e.endsWithStop {
		cause = drain.ErrEnd
	}
	ctx, stop := e.requests.Context(ctx)
	ctx, cancel := context.WithDeadlineCause(ctx, e.deadline, cause)
	return ctx, func() {
		cancel()
		stop()
	}
}

// isTimeOver reports whether the deadline of the call has passed. The context of a once-only attempt has a timer of its
// own, which may end it a moment before that of the call.
func (e *exchange) isTimeOver() bool { return !time.Now().Before(e.deadline) }

// isStopOver reports whether the call ends because the stop of this host does.
func (e *exchange) isStopOver(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), drain.ErrEnd) || e.requests.Ending().Err() != nil || e.endsWithStop && e.isTimeOver()
}

// endReadWithStop ends reading from the caller's connection at the end of a stop of this host; the returned
// function removes this limit.
func (e *exchange) endReadWithStop() func() {
	stop := context.AfterFunc(e.requests.Ending(), func() { _ = http.NewResponseController(e.writer).SetReadDeadline(time.Now()) })
	return func() { stop() }
}

// prompt returns the description of the call's prompt, nil if it has none.
func (e *exchange) prompt() *spoke.PromptMetadata {
	if !e.route.IsPrompt || e.call.Prompt.Model == "" {
		return nil
	}
	return &e.call.Prompt
}

// end removes the call from those under way and records how long it took.
func (e *exchange) end() { e.times.record(e.underWay.remove(e.state), e.isAnswered) }
