package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/link"
	"magnoliaspoke.example/spoke/place"
)

const (
	// probeTimeout bounds the connection by which a dead upstream is told from a broken connection.
	probeTimeout = 250 * time.Millisecond
	// lowestUrgency is the last of the urgencies that engines tell apart.
	lowestUrgency spoke.Priority = 9
	// silenceFactor is the multiple of its target after which a repeatable call that has no
	// answer is sent elsewhere.
	silenceFactor = 1.6
	// streamSilence is the time without an event after which a stream that may be resumed is.
	streamSilence = 2 * time.Second
)

// promises are the statuses by which a caller takes it that its request has not run.
var promises = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

type (
	answerHead = spoke.AnswerHead

	// attempt is one sending of a call.
	attempt struct {
		*exchange
		grant       place.Grant
		progress    *progress
		fingerprint spoke.Fingerprint
		spec        spoke.RelayedAttempt
		id          spoke.AttemptID
		head        answerHead
		ending      place.Ending
		// silence ends the attempt if the upstream says nothing for too long.
		silence *time.Timer
	}
)

// run sends the call, passes its answer on and reports whether the caller has its final answer.
func (a *attempt) run(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.prepare()
	a.silence = a.watchSilence(cancel)
	if a.silence != nil {
		defer a.silence.Stop()
	}
	now := time.Now()
	a.marks.registry.Begin(now, a.id, a.grant.Upstream.ID, a.fingerprint)
	result := a.exchangeWith(ctx)
	a.marks.registry.End(time.Now(), a.id, a.ending == place.EndBroken && ctx.Err() == nil && a.isDead())
	a.planner.in <- planned{message: place.Ended{
		Call: a.grant.Call, Ending: a.ending, Load: a.head.Load, Weights: a.head.Weights, IsLeaving: a.head.IsLeaving, Pause: a.head.Pause,
	}}
	return result
}

func (a *attempt) prepare() {
	a.id = spoke.AttemptID(string(a.call.Request) + "/" + string(a.grant.Upstream.ID))
	a.spec = spoke.RelayedAttempt{
		Call: a.call, Upstream: a.grant.Upstream.ID, Workspace: a.owner.Workspace,
		Remaining: time.Until(a.giveUp), Weights: a.grant.Weights, LastEventID: a.call.LastEventID, FetchSources: a.grant.Fetch, SaveTargets: a.grant.Save,
		FetchDeadline: a.grant.FetchUntil,
	}
	if a.route.IsPrompt {
		a.spec.CacheGroup = place.CacheGroup(a.owner, a.call.Prompt.Model, a.grant.Weights)
		a.spec.Urgency, a.spec.HasUrgency = min(max(a.grant.Urgency, 0), lowestUrgency), true
	}
	if a.progress.stream.hasBegun() && a.progress.stream.lastID != "" {
		a.spec.LastEventID = a.progress.stream.lastID
	}
}

// watchSilence returns a timer for calls that another upstream could still serve.
func (a *attempt) watchSilence(cancel context.CancelFunc) *time.Timer {
	if !a.route.IsRepeatable() || len(a.progress.sent)+1 >= a.route.MaxUpstreams {
		return nil
	}
	limit := time.Duration(silenceFactor * float64(a.route.Target))
	if a.route.Rule == spoke.RuleStream {
		limit = max(streamSilence, 2*a.grant.Predicted)
	}
	return time.AfterFunc(limit, cancel)
}

// exchangeWith makes the exchange and sets how it ended.
func (a *attempt) exchangeWith(ctx context.Context) bool {
	answer, err := a.pool.Do(ctx, link.Request{
		Address: a.grant.Upstream.Address, Method: a.call.Method, Target: a.call.Target, HostName: a.call.HostName,
		Header: a.codec.EncodeAttempt(a.spec), Body: a.call.Body,
	}, a.takeHead)
	if errors.Is(err, spoke.ErrNotRun) {
		a.progress.tried = note(a.progress.tried, a.grant.Upstream.ID)
		return a.failed(ctx, place.EndUnreachable, err)
	}
	a.progress.arrivals++
	if err != nil {
		a.noteSent()
		a.progress.mayHaveRun = true
		return a.failed(ctx, place.EndBroken, err)
	}
	defer func() { answer.Close(a.head.IdleTimeout) }()
	if !a.head.IsMisdirected {
		// Otherwise the engine that was meant is not there, or takes the call on other weights.
		a.noteSent()
	}
	if a.head.IsNotRun {
		return a.turnedAway()
	}
	a.progress.mayHaveRun = true
	if a.head.Fault != spoke.FaultNone {
		return a.failed(ctx, place.EndBroken, errors.New(string(a.head.Fault)))
	}
	if a.route.Rule == spoke.RuleStream && a.head.Status == http.StatusOK {
		return a.stream(ctx, answer)
	}
	return a.whole(ctx, answer)
}

func (a *attempt) noteSent() {
	a.progress.tried = note(a.progress.tried, a.grant.Upstream.ID)
	a.progress.sent = note(a.progress.sent, a.grant.Upstream.ID)
}

// takeHead keeps the head of the answer to this attempt and reports false for a late answer to an
// earlier request.
func (a *attempt) takeHead(status int, header http.Header) bool {
	head := a.codec.DecodeAnswer(a.spec, status, header)
	if head.Fault == spoke.FaultOtherRequest {
		return false
	}
	a.head = head
	if head.InvalidPause != "" {
		a.log.WithFields(logrus.Fields{"upstream": a.grant.Upstream.ID, "value": head.InvalidPause}).Warn("upstream's pause ignored: it is no number of seconds")
	}
	if head.IsLeaving {
		a.log.WithField("upstream", a.grant.Upstream.ID).Info("upstream says that it leaves")
	}
	return true
}

// turnedAway handles the upstream's statement that it did not run the call.
func (a *attempt) turnedAway() bool {
	a.ending = place.EndRefused
	switch {
	case a.head.IsUpstreamReplaced:
		a.ending = place.EndAddressReused
	case a.head.IsMisdirected:
		a.ending = place.EndWrongVersion
	}
	a.progress.lastFault = "turned away with status " + http.StatusText(a.head.Status)
	a.log.WithFields(logrus.Fields{
		"upstream": a.grant.Upstream.ID, "status": a.head.Status, "weights": a.head.Weights, "expected-weights": a.grant.Weights,
	}).Warn("upstream did not run the call")
	return false
}

// failed notes a failure; a call whose caller left or whose time is over is no failure of the upstream.
func (a *attempt) failed(ctx context.Context, ending place.Ending, err error) bool {
	a.ending = ending
	if ctx.Err() != nil && (a.silence == nil || a.silence.Stop()) {
		a.ending = place.EndCancelled
	}
	if errors.Is(context.Cause(ctx), errOutdatedWeights) {
		err = errors.Join(errOutdatedWeights, err)
	}
	if isEndless(err) {
		a.metrics.gaveUp()
	}
	a.progress.lastFault = err.Error()
	a.log.WithError(err).WithFields(logrus.Fields{
		"upstream": a.grant.Upstream.ID, "may-have-run": a.progress.mayHaveRun, "held": time.Since(a.arrived).String(),
	}).Warn("attempt failed")
	return false
}

// whole passes on an answer that is read to its end before the caller sees it.
func (a *attempt) whole(ctx context.Context, answer *link.Response) bool {
	body, release, err := readWhole(answer.Body, a.answers)
	defer release()
	if err != nil {
		return a.failed(ctx, place.EndBroken, errors.Join(errors.New("answer is not whole"), err))
	}
	a.ending = place.EndServed
	if a.head.Status >= http.StatusInternalServerError {
		a.ending = place.EndFailed
	}
	isPromise := slices.Contains(promises, a.head.Status)
	if a.ending == place.EndFailed || isPromise {
		a.progress.lastFault = "status " + http.StatusText(a.head.Status)
		a.progress.answer = &wholeAnswer{head: a.head, body: body}
		if isPromise {
			// The upstream does not say that the call was not run, so the status must not say so.
			a.progress.answer = nil
		}
		if a.mayRepeat() || isPromise {
			return false
		}
	}
	a.deliver(a.head, body)
	return true
}

// mayRepeat reports whether the call may go to another upstream after a failure.
func (a *attempt) mayRepeat() bool {
	return a.route.IsRepeatable() && len(a.progress.sent) < a.route.MaxUpstreams && !a.progress.stream.hasBegun()
}

// isDead reports whether the upstream takes no connections any more.
func (a *attempt) isDead() bool {
	probe, err := net.DialTimeout("tcp", string(a.grant.Upstream.Address), probeTimeout)
	if err != nil {
		return true
	}
	_ = probe.Close()
	return false
}
