package edge

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// askAgainPause is the time between two requests for an upstream that goes on with a stream.
const askAgainPause = 200 * time.Millisecond

// requestUpstream waits for a grant or a refusal. A stream that has begun asks again while its caller still waits, since
// a late event is better than a cut stream.
func (e *exchange) requestUpstream(ctx context.Context, p *progress, recall context.CancelCauseFunc) (place.Action, error) {
	for {
		action, err := e.planner.requestUpstream(ctx, e.schedulerRequest(p), e.call.Prompt.Parts, recall)
		refusal, isRefusal := action.(place.Refuse)
		if err != nil || !isRefusal || !p.isTemporary(refusal.Reason) || !e.awaitsEvent(p) {
			return action, err
		}
		if !e.pauseAsking(ctx) {
			return nil, ctx.Err()
		}
		if p.hasLeftSilent() {
			p.allowReturns(e.route.MaxUpstreams)
		}
	}
}

// isTemporary reports whether an upstream may take the call a little later. Those that have refused the call, or that
// it left because of their silence, may.
func (p *progress) isTemporary(reason place.Reason) bool {
	isAbsent := reason == place.RefusedNoUpstream || reason == place.RefusedSoftware
	return reason.IsTemporary() || p.hasLeftSilent() && isAbsent
}

// hasLeftSilent reports whether an attempt was ended in favour of another upstream.
func (p *progress) hasLeftSilent() bool { return p.stalled != "" || p.hasReturned }

// allowReturns lets upstreams take the call again that have received it before, and further ones up to the maximum.
func (p *progress) allowReturns(maxUpstreams int) {
	p.tried = slices.DeleteFunc(p.tried, func(id spoke.UpstreamID) bool { return slices.Contains(p.sent, id) })
	p.only = nil
	if len(p.sent) >= maxUpstreams {
		p.only = slices.Clone(p.sent)
	}
}

// mayAskAgain reports whether a stream may be sent once more to upstreams that have received it, after a pause: it left
// one because of its silence, and the last one has not run it. The silent one would have gone on, so a refusal must not
// cut the stream while its caller waits for an event.
func (e *exchange) mayAskAgain(ctx context.Context, p *progress) bool {
	if !p.hasLeftSilent() || !p.isNotRun || !e.mayGoOn(p) || !e.awaitsEvent(p) {
		return false
	}
	p.allowReturns(e.route.MaxUpstreams)
	return e.pauseAsking(ctx)
}

// pauseAsking waits between two requests for an upstream, and reports false if ctx ends.
func (e *exchange) pauseAsking(ctx context.Context) bool {
	return waitUntil(ctx, time.Now().Add(askAgainPause))
}

// awaitsEvent reports whether the stream has begun and its caller waits for another event.
func (e *exchange) awaitsEvent(p *progress) bool {
	return p.stream.hasBegun() && time.Since(p.stream.lastEventAt) < e.route.CallerTimeout
}

// recordLateness records whether the caller's time for the first event has passed. The stream goes on at its upstream for
// a caller that still waits, but at no other one: where the caller has left, its reset may be under way for seconds.
func (a *attempt) recordLateness(now time.Time, state *streamState) {
	leavesAt := a.leavesAt(a.progress)
	if leavesAt.IsZero() || now.Before(leavesAt) {
		return
	}
	state.hasBegunLate = true
	a.endWatch()
	a.log.WithFields(logrus.Fields{"upstream": a.grant.Upstream.ID, "late": now.Sub(leavesAt).String()}).Warn("stream began after its caller's time for the first event")
}
