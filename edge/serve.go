package edge

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// mostRounds bounds the upstreams that are tried when none of them takes the call.
const mostRounds = 5

type (
	// progress is what the attempts of a call have come to.
	progress struct {
		// tried lists the upstreams that had the call or could not be reached.
		tried []spoke.UpstreamID
		// sent lists the upstreams to which at least a part of the call went, without those that
		// turned out to be others than the one that was meant.
		sent []spoke.UpstreamID
		// arrivals counts the sendings, whatever the upstream said to them.
		arrivals int
		// mayHaveRun says that no refusal may promise "not run" any more.
		mayHaveRun bool
		lastFault  string
		stream     *streamState
		// answer is an upstream's own failure, which stands if no other attempt is made.
		answer *wholeAnswer
	}

	wholeAnswer struct {
		head spoke.AnswerHead
		body []byte
	}
)

// serve offers the call to upstreams until the caller has a final answer.
func (e *exchange) serve(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, e.giveUp)
	defer cancel()
	fingerprint := fingerprintOf(e.owner.Workspace, e.call)
	if until := e.marks.until(e.arrived, e.call.Request, fingerprint); !until.IsZero() {
		e.refuse(http.StatusServiceUnavailable, "quarantined", time.Until(until), logrus.Fields{"fingerprint": fingerprint})
		return
	}
	p := &progress{}
	for range mostRounds {
		if e.try(ctx, p, fingerprint) {
			return
		}
		if !e.mayGoOn(ctx, p) {
			e.giveFinal(ctx, p)
			return
		}
	}
	e.giveFinal(ctx, p)
}

// try makes one attempt and reports whether the caller has its final answer.
func (e *exchange) try(ctx context.Context, p *progress, fingerprint spoke.Fingerprint) bool {
	attemptCtx, recall := context.WithCancelCause(ctx)
	defer recall(nil)
	grant, ok := e.obtain(ctx, p, recall)
	if !ok {
		return true
	}
	a := &attempt{exchange: e, grant: grant, progress: p, fingerprint: fingerprint}
	return a.run(attemptCtx)
}

// obtain waits for an upstream; without one the caller gets its final answer.
func (e *exchange) obtain(ctx context.Context, p *progress, recall context.CancelCauseFunc) (place.Grant, bool) {
	action, err := e.planner.ask(ctx, e.askFor(p), recall)
	if err != nil {
		e.giveFinal(ctx, p)
		return place.Grant{}, false
	}
	switch a := action.(type) {
	case place.Grant:
		e.log.WithFields(logrus.Fields{
			"upstream": a.Upstream.ID, "weights": a.Weights, "prompt": e.call.Prompt.Input, "cached": a.Cached, "fetched": a.Fetched, "predicted": a.Predicted.String(),
			"waited": a.Waited.String(), "route": e.route.Name, "attempt": len(p.tried) + 1,
		}).Info("placed")
		e.metrics.waited(e.route.Name, a.Waited)
		return a, true
	case place.Refuse:
		e.refused(p, a)
	}
	return place.Grant{}, false
}

func (e *exchange) refused(p *progress, a place.Refuse) {
	fields := logrus.Fields{"backlog": a.Backlog.String(), "tried": p.tried, "last-fault": p.lastFault}
	switch {
	case p.stream.hasBegun():
		e.breakOff(string(a.Reason), fields)
	case p.answer != nil:
		e.deliver(p.answer.head, p.answer.body)
	case p.mayHaveRun:
		e.fail(http.StatusBadGateway, string(a.Reason), fields)
	default:
		e.refuse(http.StatusServiceUnavailable, string(a.Reason), e.hint(a.RetryAfter), fields)
	}
}

// hint keeps the caller's way back inside the time that it waits.
func (e *exchange) hint(retryAfter time.Duration) time.Duration {
	return max(min(retryAfter, time.Until(e.giveUp)/3), time.Millisecond)
}

func (e *exchange) askFor(p *progress) place.Request {
	ask := place.Request{
		Call: spoke.CallNumber(e.numbers.Add(1)), Service: e.service(), Group: place.OwnerGroup(e.owner),
		Urgency: e.urgency(), Arrived: e.arrived, Target: e.arrived.Add(e.route.Target), GapTarget: e.route.GapTarget, Deadline: e.giveUp,
		LeavesAt: e.leaves(p),
		Tried:    p.tried, IsRetry: p.arrivals > 0,
	}
	if e.route.IsPrompt && e.call.Prompt.Model != "" {
		ask.Prompt = &e.call.Prompt
	}
	return ask
}

// leaves returns when the caller leaves unless an event comes, zero if it waits for the whole time.
func (e *exchange) leaves(p *progress) time.Time {
	if e.route.CallerTimeout == 0 || p.stream.hasBegun() {
		return time.Time{}
	}
	return e.arrived.Add(e.route.CallerTimeout)
}

func (e *exchange) urgency() spoke.Priority {
	if e.owner.HasUrgency {
		return e.owner.Urgency
	}
	return e.route.Urgency
}

// service picks one of the route's services by its weight; all attempts of a call pick the same.
func (e *exchange) service() spoke.ServiceName {
	total := 0
	for _, share := range e.route.Services {
		total += max(share.Weight, 0)
	}
	if total == 0 {
		return e.route.Services[0].Service
	}
	point := int(xxhash.Sum64String(string(e.call.Request)) % uint64(total))
	for _, share := range e.route.Services {
		point -= max(share.Weight, 0)
		if point < 0 {
			return share.Service
		}
	}
	return e.route.Services[0].Service
}

// mayGoOn reports whether another upstream may be offered the call.
func (e *exchange) mayGoOn(ctx context.Context, p *progress) bool {
	if ctx.Err() != nil {
		return false
	}
	if p.mayHaveRun && !e.route.IsRepeatable() {
		return false
	}
	return len(p.sent) < e.route.MaxUpstreams
}

// giveFinal ends a call without a whole answer.
func (e *exchange) giveFinal(ctx context.Context, p *progress) {
	fields := logrus.Fields{"tried": p.tried, "last-fault": p.lastFault}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		e.log.WithFields(fields).WithField("held", time.Since(e.arrived).String()).Info("caller left")
		e.metrics.answered(e.route.Name, "caller-left", e.arrived)
		panic(http.ErrAbortHandler)
	case p.stream.hasBegun():
		e.breakOff("broken", fields)
	case p.answer != nil:
		e.deliver(p.answer.head, p.answer.body)
	case ctx.Err() != nil:
		e.fail(http.StatusGatewayTimeout, "deadline", fields)
	case p.mayHaveRun:
		e.fail(http.StatusBadGateway, "upstream-failed", fields)
	default:
		e.refuse(http.StatusServiceUnavailable, "not-taken", e.hint(retrySoon), fields)
	}
}

// breakOff closes the caller's connection in the middle of an answer, so that it does not
// look complete.
func (e *exchange) breakOff(reason string, fields logrus.Fields) {
	e.log.WithFields(fields).WithFields(logrus.Fields{"reason": reason, "held": time.Since(e.arrived).String()}).Warn("stream broken off")
	e.metrics.answered(e.route.Name, "broken-off", e.arrived)
	panic(http.ErrAbortHandler)
}

// note adds an upstream to a list once.
func note(ids []spoke.UpstreamID, id spoke.UpstreamID) []spoke.UpstreamID {
	if slices.Contains(ids, id) {
		return ids
	}
	return append(ids, id)
}
