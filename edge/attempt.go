package edge

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/fetch"
	"magnoliaspoke.example/spoke/link"
	"magnoliaspoke.example/spoke/place"
)

const (
	// lowestUrgency is the lowest urgency that engines distinguish.
	lowestUrgency spoke.Priority = 9
)

var (
	// notRunStatuses are the statuses that signal to a caller that its request was not run.
	notRunStatuses = []int{
		http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
	}

	// errRepeatedRefusal reports a refusal that may belong to an earlier request on the connection.
	errRepeatedRefusal = errors.New("refusal names no request on a connection that has carried others")
	// errIdleTimeout is the cause with which an attempt is cancelled whose upstream is silent while another one is free.
	errIdleTimeout = errors.New("idle timeout")
)

type (
	answerHead = spoke.AnswerHead

	// attempt sends a call to one upstream.
	attempt struct {
		*exchange
		grant       place.Grant
		progress    *progress
		fingerprint spoke.Fingerprint
		spec        spoke.RelayedAttempt
		id          spoke.AttemptID
		head        answerHead
		ending      place.Ending
		// cancel ends the attempt.
		cancel context.CancelCauseFunc
		// failure is the error that ended the attempt, nil if there was none.
		failure error
		// hasBegun is set once the first event of the upstream's answer has arrived.
		hasBegun bool
		// hasNewEvent is set once the upstream has sent an event that the caller does not have.
		hasNewEvent bool
		// idle looks for another upstream while this one sends nothing; nil if no other may take the call.
		idle *idleWatcher
		// answer is when the upstream was last heard.
		answer *heardAnswer
		// sentAt is when the attempt began.
		sentAt time.Time
		// endedAt is when an answer that needed evidence ended, the zero time if there was none.
		endedAt time.Time
		// evidence is what has shown whether the answer is whole, empty if that needed none.
		evidence place.EndEvidence
		// framing names what shows the end of the answer, empty if there is no answer.
		framing string
		// total is what the attempt shows of the time of a whole stream.
		total streamTotal
		// isDetour is set if the answer came through another host.
		isDetour bool
		// behind is what was dropped behind the answer.
		behind behind
	}
)

// run sends the prepared call, relays the answer and reports whether the caller has its final answer. ctx is that of
// the attempt, callCtx that of the call.
func (a *attempt) run(callCtx, ctx context.Context) bool {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a.cancel = cancel
	a.idle = a.watchIdle(callCtx, cancel)
	now := time.Now()
	a.sentAt, a.answer = now, a.heard.add(a.grant.Upstream.ID, now)
	defer a.answer.isEnded.Store(true)
	a.quarantine.registry.Begin(now, a.id, a.grant.Upstream.ID, a.fingerprint)
	result := a.roundTrip(ctx)
	a.endWatch()
	// The checks behind the end take a while, in which an answer that had just begun would seem to be long under way.
	endedAt := a.endedAt
	if endedAt.IsZero() {
		endedAt = time.Now()
	}
	isCrash := a.isCrash(ctx)
	if isCrash {
		a.logCrash(now)
	}
	a.endFingerprint(isCrash)
	a.endParts(endedAt, isCrash)
	a.recordTotal()
	events, streamed := a.streamed()
	a.planner.in <- schedulerMessage{message: place.Ended{
		Call: a.grant.Call, Ending: a.ending, Load: a.head.Load, Weights: a.head.Weights, IsLeaving: a.head.IsLeaving, Pause: a.head.Pause,
		NamesNoLimit: a.head.NamesNoLimit(), NamesNoBrittleness: a.head.NamesNoBrittleness(), IsRejectedForRoom: a.head.IsRejectedForRoom(), IsDetour: a.isDetour, IsDown: isCrash,
		Events: events, Streamed: streamed,
	}}
	return result
}

// prepare sets what the attempt sends. Two calls with the same request id may run at the same time, so the id
// of the attempt contains the call number.
func (a *attempt) prepare() {
	a.id = spoke.AttemptID(string(a.call.Request) + "/" + strconv.FormatUint(uint64(a.grant.Call), 10))
	a.spec = spoke.RelayedAttempt{
		Call: a.call, Upstream: a.grant.Upstream.ID, Workspace: a.owner.Workspace,
		Remaining: time.Until(a.deadline), Weights: a.grant.Weights, LastEventID: a.call.LastEventID, FetchSources: a.grant.FetchSources, SaveTargets: a.grant.SaveTargets,
		FetchDeadline: a.grant.FetchDeadline,
	}
	if a.route.IsPrompt {
		// The workspace may have become isolated while the call waited.
		a.spec.CacheGroup = place.CacheGroup(a.cacheGroup(a.grant.Homes), a.call.Prompt.Model, a.grant.Weights)
		a.spec.Urgency, a.spec.HasUrgency = min(max(a.grant.Urgency, 0), lowestUrgency), true
	}
	if a.progress.stream.hasBegun() && a.progress.stream.lastID != "" {
		a.spec.LastEventID = a.progress.stream.lastID
	}
}

// roundTrip sends the call, handles the answer and sets the ending of the attempt.
func (a *attempt) roundTrip(ctx context.Context) bool {
	unsent := a.evacuations.begin(a.grant.Upstream.DataCentre, a.cancel)
	defer a.evacuations.end(unsent)
	answer, err := a.pool.Do(withHomes(ctx, a.grant.Homes), link.Request{
		MaySend: func() error { return a.maySend(unsent) }, MayUse: a.ways.mayCarry(a.grant.Homes),
		Address: a.grant.Upstream.Address, Method: a.call.Method, Target: a.call.Target, HostName: a.call.HostName,
		Header: a.codec.EncodeAttempt(a.spec), Body: a.call.Body, Key: string(a.call.Request),
	}, a.acceptHead)
	if errors.Is(err, spoke.ErrNotRun) && isWithheld(ctx, err) {
		return a.recordWithheld(err)
	}
	if errors.Is(err, spoke.ErrNotRun) {
		a.progress.tried = appendUnique(a.progress.tried, a.grant.Upstream.ID)
		return a.recordFailure(ctx, place.EndUnreachable, err)
	}
	a.progress.sendCount++
	if err != nil {
		a.recordSent()
		a.progress.mayHaveRun = true
		return a.recordFailure(ctx, place.EndBroken, err)
	}
	defer func() { answer.Close(a.head.IdleTimeout) }()
	a.framing, a.isDetour = answer.Framing(), isDetour(answer)
	answer.Body = &heardReader{Reader: answer.Body, heard: a.recordBytes}
	if !a.head.IsMisdirected {
		// Otherwise the intended engine is not at the address, or would take the call with other weights.
		a.recordSent()
	}
	if a.head.IsMisdirected {
		// The upstream may get this call again; a copy of this answer on the connection would look like its own.
		answer.Discard()
	}
	if a.head.IsNotRun && !a.isRepeated(answer) {
		return a.handleNotRun()
	}
	a.progress.mayHaveRun = true
	if a.head.IsNotRun {
		answer.Discard()
		return a.recordFailure(ctx, place.EndBroken, errRepeatedRefusal)
	}
	if a.head.Fault != spoke.FaultNone {
		return a.recordFailure(ctx, place.EndBroken, errors.New(string(a.head.Fault)))
	}
	if a.route.Rule == spoke.RuleStream && a.head.Status == http.StatusOK {
		return a.relayStream(ctx, answer)
	}
	return a.relayBuffered(ctx, answer)
}

// isRepeated reports whether a refusal may be a copy of an earlier one: it does not name its request, and the
// connection has carried others. A connection carries no request after one that was misdirected.
func (a *attempt) isRepeated(answer *link.Response) bool {
	return answer.IsReused && !a.head.NamesRequest && !a.head.IsMisdirected
}

func (a *attempt) recordSent() {
	a.progress.tried = appendUnique(a.progress.tried, a.grant.Upstream.ID)
	a.progress.sent = appendUnique(a.progress.sent, a.grant.Upstream.ID)
}

// acceptHead stores the head of the answer to this attempt; it returns false for a delayed answer to
// an earlier request on the connection.
func (a *attempt) acceptHead(status int, header http.Header) bool {
	head := a.codec.DecodeAnswer(a.spec, status, header)
	if head.Fault == spoke.FaultOtherRequest {
		return false
	}
	a.head = head
	a.recordBytes()
	if head.InvalidPause != "" {
		a.log.WithFields(logrus.Fields{"upstream": a.grant.Upstream.ID, "value": head.InvalidPause}).Warn("ignored the pause that the upstream asked for: not a valid time in seconds")
	}
	a.recordLimit()
	a.recordBrittle()
	if head.IsLeaving {
		a.log.WithField("upstream", a.grant.Upstream.ID).Info("upstream announced in an answer that it is leaving")
	}
	return true
}

// handleNotRun handles the upstream's statement that it did not run the call.
func (a *attempt) handleNotRun() bool {
	a.ending = place.EndRefused
	switch {
	case a.head.IsUpstreamReplaced:
		a.ending = place.EndAddressReused
	case a.head.IsMisdirected:
		a.ending = place.EndWrongVersion
	}
	a.progress.lastFault = "not run, with status " + http.StatusText(a.head.Status)
	a.log.WithFields(logrus.Fields{
		"upstream": a.grant.Upstream.ID, "status": a.head.Status, "weights": a.head.Weights, "expected-weights": a.grant.Weights,
	}).Warn("upstream did not run the call")
	return false
}

// recordFailure records and logs a failed attempt. A call whose caller disconnected or whose deadline
// passed is not a failure of the upstream, but a silence that another upstream has ended is.
func (a *attempt) recordFailure(ctx context.Context, ending place.Ending, err error) bool {
	a.ending, a.failure = ending, err
	isIdle := errors.Is(context.Cause(ctx), errIdleTimeout)
	if isIdle {
		a.progress.stalled = a.grant.Upstream.ID
	}
	if ctx.Err() != nil && !isIdle {
		a.ending = place.EndCancelled
	}
	if errors.Is(context.Cause(ctx), errOutdatedWeights) {
		err = errors.Join(errOutdatedWeights, err)
		a.logRecalled(ctx)
	}
	a.progress.isRecalled = errors.Is(context.Cause(ctx), errEvacuated)
	if isEndless(err) {
		a.metrics.addEndless()
	}
	a.progress.lastFault = err.Error()
	a.log.WithError(err).WithFields(logrus.Fields{
		"upstream": a.grant.Upstream.ID, "may-have-run": a.progress.mayHaveRun, "held": time.Since(a.arrived).String(),
		"ended-by": endedBy(ctx), "silent": time.Since(a.answer.heardAt()).String(),
	}).WithFields(a.answerFields()).WithFields(evidenceFields(a.evidence)).WithFields(a.stoppingFields()).WithFields(a.totalFields()).Warn("attempt failed")
	return false
}

// relayBuffered reads an answer to its end before it sends it to the caller.
func (a *attempt) relayBuffered(ctx context.Context, answer *link.Response) bool {
	body, release, err := a.answerMemory.ReadWhole(answer.Body, fetch.UnknownLength, maxAnswerSize)
	defer release()
	if err == nil && answer.EndsWithConnection {
		err = a.refuseSecondAnswer(body)
	}
	if err == nil {
		err = a.confirmEnd(ctx, answer, 0)
	}
	if err != nil {
		return a.recordFailure(ctx, place.EndBroken, errors.Join(errors.New("answer is incomplete"), err))
	}
	if a.progress.stream.hasBegun() {
		// The caller has the head and a part of a stream, which no other answer can complete.
		return a.recordFailure(ctx, place.EndFailed, errors.New("stream was not resumed, with status "+http.StatusText(a.head.Status)))
	}
	a.ending = place.EndServed
	if a.head.Status >= http.StatusInternalServerError {
		a.ending = place.EndFailed
	}
	whole := &bufferedAnswer{head: a.head, body: body, evidence: a.evidence, framing: a.framing}
	meansNotRun := slices.Contains(notRunStatuses, a.head.Status)
	if a.ending == place.EndFailed || meansNotRun {
		a.progress.lastFault = "status " + http.StatusText(a.head.Status)
		a.progress.answer = whole
		if meansNotRun {
			// The status would signal that the call was not run, which the upstream did not state.
			a.progress.answer = nil
		}
		if a.mayRetry() || meansNotRun {
			return false
		}
	}
	a.deliver(whole)
	return true
}

// endWatch ends the watch for another upstream and keeps the one that it was granted, if any.
func (a *attempt) endWatch() {
	if next := a.idle.stop(); next != nil {
		a.progress.next = next
	}
	a.idle = nil
}

// recordBytes records that the upstream has sent bytes of its answer. Bytes of a stream are no progress until an event
// is complete.
func (a *attempt) recordBytes() {
	a.answer.hear()
	if a.route.Rule != spoke.RuleStream {
		a.idle.heard(a.idlePeriod(), a.requiredSoftware(a.progress))
	}
}

// mayRetry reports whether the call may be sent to another upstream after a failure.
func (a *attempt) mayRetry() bool {
	return a.route.IsRepeatable() && len(a.progress.sent) < a.route.MaxUpstreams && !a.progress.stream.hasBegun()
}
