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
	"magnoliaspoke.example/spoke/home"
	"magnoliaspoke.example/spoke/place"
)

// maxAttempts bounds the attempts of a call when no upstream takes it.
const maxAttempts = 5

type (
	// progress is the combined result of the attempts of a call.
	progress struct {
		// tried lists the upstreams in sent and those that could not be reached.
		tried []spoke.UpstreamID
		// sent lists the upstreams to which at least a part of the call was sent, without those that
		// answered that another upstream has the address or other weights are loaded.
		sent []spoke.UpstreamID
		// sendCount is the number of attempts in which the call was sent, whatever the answer.
		sendCount int
		// mayHaveRun is set once an upstream may have run the call; no answer may state "not run" then.
		mayHaveRun bool
		lastFault  string
		stream     *streamState
		// answer is an upstream's own failure, which the caller gets if no other attempt is made.
		answer *bufferedAnswer
		// next is the grant that an attempt received while its upstream was silent, nil if it received none.
		next *grantedAttempt
		// stalled is the upstream whose attempt was ended in favour of another one, until the call returns to it.
		stalled spoke.UpstreamID
		// only are the upstreams that may still take the call, empty if any may.
		only []spoke.UpstreamID
		// hasReturned is set once the call has returned to it.
		hasReturned bool
		// isRecalled is set if the last attempt was recalled from an evacuated upstream.
		isRecalled bool
		// isNotRun is set if the upstream of the last attempt has not run the call.
		isNotRun bool
	}

	// grantedAttempt is a grant with the context of its attempt, which the scheduler may recall.
	grantedAttempt struct {
		grant  place.Grant
		ctx    context.Context
		recall context.CancelCauseFunc
	}

	// unserved is why a call gets no other attempt.
	unserved struct {
		reason string
		// status is that of the answer if an upstream may have run the call.
		status int
		// retryAfter is the hint of the refusal if none has.
		retryAfter time.Duration
		fields     logrus.Fields
	}

	bufferedAnswer struct {
		head spoke.AnswerHead
		body []byte
		// evidence is what has shown that the answer is whole, empty if that needed none.
		evidence place.EndEvidence
		// framing names what shows the end of the answer.
		framing string
	}
)

// serve sends the call to upstreams until the caller has its final answer.
func (e *exchange) serve(ctx context.Context) {
	ctx, cancel := e.withDeadline(ctx)
	defer cancel()
	fingerprint := fingerprintOf(e.owner.Workspace, e.call)
	if until := e.quarantine.blockedUntil(e.arrived, e.call.Request, fingerprint); !until.IsZero() {
		e.refuse(http.StatusServiceUnavailable, "quarantined", time.Until(until), logrus.Fields{"fingerprint": fingerprint})
		return
	}
	if !e.findOrigin(ctx) {
		return
	}
	defer e.endOrigin()
	p := &progress{}
	defer e.releaseNext(p)
	for attempts := 1; !e.tryUpstream(ctx, p, fingerprint); attempts++ {
		if !e.mayTryNext(ctx, p, attempts) && !e.mayReturn(ctx, p) && !e.mayAskAgain(ctx, p) {
			e.sendFinalAnswer(ctx, p)
			return
		}
	}
}

// tryUpstream makes one attempt and reports whether the caller has its final answer.
func (e *exchange) tryUpstream(ctx context.Context, p *progress, fingerprint spoke.Fingerprint) bool {
	if e.refuseQuarantined(ctx, p) {
		return true
	}
	next := e.takeNext(p)
	if next == nil {
		next = e.newGrantedAttempt(ctx)
		var ok bool
		if next.grant, ok = e.awaitGrant(ctx, p, next.recall); !ok {
			next.recall(nil)
			return true
		}
	}
	defer next.recall(nil)
	if until := e.quarantine.blockedUntil(time.Now(), e.call.Request, fingerprint); !until.IsZero() {
		e.returnGrant(next.grant)
		e.endMarked(p, fingerprint, until)
		return true
	}
	if e.refuseLate(p) {
		e.returnGrant(next.grant)
		return true
	}
	a := &attempt{exchange: e, grant: next.grant, progress: p, fingerprint: fingerprint}
	a.prepare()
	if verdict := a.beginParts(); verdict.IsBlocked {
		e.returnGrant(next.grant)
		e.endQuarantined(ctx, p, verdict)
		return true
	}
	e.underWay.setStage(e.state, stageSent)
	isAnswered := a.runGuarded(ctx, next.ctx)
	p.isNotRun = a.ending.IsNotRun()
	return isAnswered
}

// endMarked ends a call that was marked since it arrived.
func (e *exchange) endMarked(p *progress, fingerprint spoke.Fingerprint, until time.Time) {
	fields := logrus.Fields{"fingerprint": fingerprint, "tried": p.tried, "last-fault": p.lastFault}
	e.endUnserved(p, unserved{reason: string(refusedQuarantined), status: http.StatusBadGateway, retryAfter: time.Until(until), fields: fields})
}

func (e *exchange) newGrantedAttempt(ctx context.Context) *grantedAttempt {
	ctx, end := e.attemptContext(ctx)
	ctx, recall := context.WithCancelCause(ctx)
	return &grantedAttempt{ctx: ctx, recall: func(cause error) {
		recall(cause)
		end()
	}}
}

// takeNext returns the grant that an attempt received while its upstream was silent, nil if there is none. An event
// that arrived beside the grant may have shown that the stream needs another software version.
func (e *exchange) takeNext(p *progress) *grantedAttempt {
	if p.next == nil {
		return nil
	}
	if software := e.requiredSoftware(p); software != "" && software != p.next.grant.Upstream.Software {
		e.releaseNext(p)
	}
	next := p.next
	p.next = nil
	return next
}

// releaseNext returns a grant that no attempt uses.
func (e *exchange) releaseNext(p *progress) {
	if p.next != nil {
		p.next.recall(nil)
		e.returnGrant(p.next.grant)
		p.next = nil
	}
}

// returnGrant ends a grant whose attempt is not made.
func (e *exchange) returnGrant(grant place.Grant) {
	e.planner.in <- schedulerMessage{message: place.Ended{Call: grant.Call, Ending: place.EndCancelled}}
}

// awaitGrant waits for an upstream. If the call is refused or ctx ends, it sends the caller its final answer
// and returns false.
func (e *exchange) awaitGrant(ctx context.Context, p *progress, recall context.CancelCauseFunc) (place.Grant, bool) {
	action, err := e.requestUpstream(ctx, p, recall)
	if err != nil {
		e.sendFinalAnswer(ctx, p)
		return place.Grant{}, false
	}
	switch a := action.(type) {
	case place.Grant:
		p.isRecalled = false
		e.recordPlaced(a, len(p.tried)+1)
		return a, true
	case place.Refuse:
		if a.Reason != refusedQuarantined || !e.refuseQuarantined(ctx, p) {
			e.handleRefusal(p, a)
		}
	}
	return place.Grant{}, false
}

func (e *exchange) recordPlaced(a place.Grant, attempt int) {
	e.log.WithFields(logrus.Fields{
		"upstream": a.Upstream.ID, "software": a.Upstream.Software, "weights": a.Weights, "prompt": e.call.Prompt.Input, "cached": a.Cached, "fetched": a.Fetched, "predicted": a.Predicted.String(),
		"waited": a.Waited.String(), "route": e.route.Name, "attempt": attempt,
	}).Info("placed")
	e.metrics.addWait(e.route.Name, a.Waited)
}

func (e *exchange) handleRefusal(p *progress, a place.Refuse) {
	fields := logrus.Fields{"backlog": a.Backlog.String(), "tried": p.tried, "last-fault": p.lastFault}
	e.endUnserved(p, unserved{reason: string(a.Reason), status: http.StatusBadGateway, retryAfter: e.capRetryAfter(a.RetryAfter), fields: fields})
}

// endUnserved ends a call that gets no other attempt.
func (e *exchange) endUnserved(p *progress, u unserved) {
	switch {
	case p.stream.hasBegun():
		e.abortStream(u.reason, u.fields)
	case p.answer != nil:
		e.deliver(p.answer)
	case p.mayHaveRun:
		e.fail(u.status, u.reason, u.fields)
	default:
		e.refuse(http.StatusServiceUnavailable, u.reason, u.retryAfter, u.fields)
	}
}

// capRetryAfter limits a hint so that the caller can retry before the deadline of the call.
func (e *exchange) capRetryAfter(retryAfter time.Duration) time.Duration {
	return max(min(retryAfter, time.Until(e.deadline)/3), time.Millisecond)
}

func (e *exchange) schedulerRequest(p *progress) place.Request {
	notSoftware, until := e.unsettledSoftware(p)
	homes := e.homes()
	return place.Request{
		Call: spoke.CallNumber(e.callNumbers.Add(1)), Service: e.service(), Route: e.route.Name, Group: e.cacheGroup(homes), Homes: homes,
		Urgency: e.urgency(), Arrived: e.arrived, Target: e.arrived.Add(e.route.Target), GapTarget: e.route.GapTarget, Deadline: e.deadline,
		LeavesAt: e.leavesAt(p),
		Tried:    p.tried, Only: p.only, IsRetry: p.sendCount > 0, MayMove: e.mayMove(p), IsRecalled: p.isRecalled, Prompt: e.prompt(), Software: e.requiredSoftware(p),
		NotSoftware: notSoftware, NotSoftwareUntil: until,
	}
}

// leavesAt returns when the caller disconnects unless it has received an event, zero if it waits until
// the deadline.
func (e *exchange) leavesAt(p *progress) time.Time {
	if e.route.CallerTimeout == 0 || p.stream.hasBegun() {
		return time.Time{}
	}
	return e.arrived.Add(e.route.CallerTimeout)
}

// cacheGroup returns the cache group of the caller's workspace by the configuration in force.
func (e *exchange) cacheGroup(homes home.Set) string {
	return place.HomeGroup(e.conf.cacheGroups.Load().Of(e.owner), homes)
}

func (e *exchange) urgency() spoke.Priority {
	if e.owner.HasUrgency {
		return e.owner.Urgency
	}
	return e.route.Urgency
}

// service picks one of the services of the route in proportion to their weights; all attempts of a
// call get the same one, and so do calls that resume its stream.
func (e *exchange) service() spoke.ServiceName {
	total := 0
	for _, share := range e.route.Services {
		total += max(share.Weight, 0)
	}
	if total == 0 {
		return e.route.Services[0].Service
	}
	point := int(xxhash.Sum64String(string(e.originRequest())) % uint64(total))
	for _, share := range e.route.Services {
		point -= max(share.Weight, 0)
		if point < 0 {
			return share.Service
		}
	}
	return e.route.Services[0].Service
}

// mayTryNext reports whether the call may be sent to another upstream after a number of attempts.
func (e *exchange) mayTryNext(ctx context.Context, p *progress, attempts int) bool {
	if ctx.Err() != nil || attempts >= maxAttempts || len(p.only) > 0 || !e.mayGoOn(p) {
		return false
	}
	if p.mayHaveRun && !e.route.IsRepeatable() {
		return false
	}
	return len(p.sent) < e.route.MaxUpstreams
}

// mayReturn reports whether the call may be sent once more to the upstream that it left because of its silence, after
// the next one has brought nothing. It does not count as a further upstream.
func (e *exchange) mayReturn(ctx context.Context, p *progress) bool {
	if ctx.Err() != nil || p.stalled == "" || p.stream.isLate() {
		return false
	}
	p.only, p.stalled, p.hasReturned = []spoke.UpstreamID{p.stalled}, "", true
	return true
}

// sendFinalAnswer ends a call for which no attempt has sent the caller a complete answer.
func (e *exchange) sendFinalAnswer(ctx context.Context, p *progress) {
	fields := logrus.Fields{"tried": p.tried, "last-fault": p.lastFault}
	switch {
	case e.isStopOver(ctx):
		e.endUnserved(p, unserved{reason: "stopping", status: http.StatusGatewayTimeout, retryAfter: stoppingRetryAfter, fields: fields})
	case errors.Is(ctx.Err(), context.Canceled):
		e.endLeft(ctx, p, fields)
	case p.stream.hasBegun():
		e.abortStream("broken", fields)
	case p.answer != nil:
		e.deliver(p.answer)
	case ctx.Err() != nil || e.isTimeOver():
		e.fail(http.StatusGatewayTimeout, "deadline", fields)
	case p.mayHaveRun:
		e.fail(http.StatusBadGateway, "upstream-failed", fields)
	default:
		e.refuse(http.StatusServiceUnavailable, "not-taken", e.capRetryAfter(shortRetryAfter), fields)
	}
}

// abortStream closes the caller's connection in the middle of an answer, so that the answer does not
// look complete.
func (e *exchange) abortStream(reason string, fields logrus.Fields) {
	e.log.WithFields(fields).WithFields(e.stoppingFields()).WithFields(logrus.Fields{"reason": reason, "held": time.Since(e.arrived).String()}).Warn("stream broken off")
	e.metrics.addAnswer(e.route.Name, "broken-off", e.arrived)
	e.cutConnection()
}

// cutConnection closes the caller's connection in the middle of an answer. Package caller resets it under an answer
// without chunks, whose regular end would be that of the connection.
func (e *exchange) cutConnection() { panic(http.ErrAbortHandler) }

// appendUnique adds an upstream to a list that does not contain it.
func appendUnique(ids []spoke.UpstreamID, id spoke.UpstreamID) []spoke.UpstreamID {
	if slices.Contains(ids, id) {
		return ids
	}
	return append(ids, id)
}
