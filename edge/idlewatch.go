package edge

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/drain"
	"magnoliaspoke.example/spoke/place"
)

const (
	// idleTargetFactor is the multiple of the route's latency target after which a repeatable call whose upstream
	// is silent asks for another one.
	idleTargetFactor = 1.6
	// streamIdleTimeout is the time without an event after which a resumable stream asks for another upstream.
	streamIdleTimeout = 2 * time.Second
)

type (
	// idleWatcher looks for another upstream while that of an attempt is silent, and cancels the attempt once it has
	// one. A nil idleWatcher does nothing.
	idleWatcher struct {
		*exchange
		callCtx context.Context
		// cancel ends the attempt.
		cancel context.CancelCauseFunc
		// tried lists the upstreams that are not asked for.
		tried []spoke.UpstreamID
		// ended is closed after the last run of the timer's function, unless the timer was stopped before it.
		ended chan struct{}

		mu    sync.Mutex
		state *place.IdleWatch
		timer *time.Timer
		// hasBegun is set once the answer has begun, in this attempt or an earlier one.
		hasBegun bool
		// software is the version that another upstream must have, empty for any.
		software  spoke.SoftwareVersion
		isStopped bool
		// withdraw ends the request for another upstream, nil if there is none.
		withdraw context.CancelFunc
		next     *grantedAttempt
	}

	// heardReader reports each read that returns bytes.
	heardReader struct {
		io.Reader
		heard func()
	}
)

// watchIdle starts the watch of a call that another upstream could still serve, or returns nil.
func (a *attempt) watchIdle(callCtx context.Context, cancel context.CancelCauseFunc) *idleWatcher {
	// A route without a latency target states no time after which its upstreams are silent.
	if !a.route.IsRepeatable() || len(a.progress.sent)+1 >= a.route.MaxUpstreams || len(a.progress.only) > 0 || a.idlePeriod() <= 0 {
		return nil
	}
	w := &idleWatcher{
		exchange: a.exchange, callCtx: callCtx, cancel: cancel, ended: make(chan struct{}),
		tried: appendUnique(slices.Clone(a.progress.tried), a.grant.Upstream.ID), hasBegun: a.progress.stream.hasBegun(),
		software: a.requiredSoftware(a.progress),
		state:    place.NewIdleWatch(time.Now(), a.idlePeriod()),
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(a.idlePeriod(), w.run)
	return w
}

// idlePeriod is the time without progress of the upstream after which the call asks for another one.
func (a *attempt) idlePeriod() time.Duration {
	if a.route.Rule == spoke.RuleStream {
		return max(streamIdleTimeout, 2*a.grant.Predicted)
	}
	return time.Duration(idleTargetFactor * float64(a.route.Target))
}

// heard records progress of the upstream, with the period and the software version of others that apply from now on.
func (w *idleWatcher) heard(period time.Duration, software spoke.SoftwareVersion) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hasBegun, w.software = true, software
	if w.state.Heard(time.Now(), period) {
		w.withdraw()
	}
}

// stop ends the watch and returns the other upstream that it was granted, nil if there is none.
func (w *idleWatcher) stop() *grantedAttempt {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	w.isStopped = true
	isRunning := !w.timer.Stop()
	if w.withdraw != nil {
		w.withdraw()
	}
	w.mu.Unlock()
	if isRunning {
		<-w.ended
	}
	return w.next
}

// run asks for another upstream if that is due, and sets the timer again unless the watch has ended.
func (w *idleWatcher) run() {
	w.ask()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isStopped || w.next != nil {
		close(w.ended)
		return
	}
	w.timer.Reset(w.state.Wait(time.Now()))
}

// ask requests another upstream unless the own one has made progress, and takes it if it can be reached.
func (w *idleWatcher) ask() {
	ctx, withdraw := context.WithCancel(w.callCtx)
	defer withdraw()
	request, isDue := w.begin(withdraw)
	if !isDue {
		return
	}
	next := w.newGrantedAttempt(w.callCtx)
	action, _ := w.planner.requestUpstream(ctx, request, w.call.Prompt.Parts, next.recall)
	grant, isGrant := action.(place.Grant)
	if !isGrant {
		next.recall(nil)
		w.refused(action)
		return
	}
	next.grant = grant
	if ending, isTaken := w.take(ctx, next); !isTaken {
		next.recall(nil)
		w.planner.in <- schedulerMessage{message: place.Ended{Call: grant.Call, Ending: ending}}
		return
	}
	w.recordPlaced(grant, len(request.Tried)+1)
	w.cancel(errIdleTimeout)
}

// begin returns the request for another upstream, if it is due.
func (w *idleWatcher) begin(withdraw context.CancelFunc) (place.Request, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isStopped || !w.state.Ask(time.Now()) {
		return place.Request{}, false
	}
	w.withdraw = withdraw
	request := w.schedulerRequest(&progress{tried: w.tried})
	request.IsRetry, request.IsRunning, request.Software = true, true, w.software
	request.MayMove = false
	if w.hasBegun {
		request.LeavesAt = time.Time{}
	}
	return request, true
}

func (w *idleWatcher) refused(action place.Action) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state.Refused(time.Now())
	if refusal, ok := action.(place.Refuse); ok {
		w.log.WithFields(logrus.Fields{"tried": w.tried, "reason": refusal.Reason}).Info("upstream is silent and no other takes the call")
	}
}

// take keeps the granted upstream if it can be reached and the own one is still silent. Otherwise it returns how the
// grant ended.
func (w *idleWatcher) take(ctx context.Context, next *grantedAttempt) (place.Ending, bool) {
	upstream := next.grant.Upstream
	err := w.ways.probe(ctx, upstream.Address)
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil || !w.state.Granted() {
		return place.EndCancelled, false
	}
	if w.evacuations.isClosed(upstream.DataCentre) {
		w.state.Refused(time.Now())
		return place.EndWithheld, false
	}
	if err != nil {
		w.tried = appendUnique(slices.Clone(w.tried), upstream.ID)
		w.state.Refused(time.Now())
		return place.EndUnreachable, false
	}
	w.next = next
	return 0, true
}

// Read reads from the body and reports bytes.
func (r *heardReader) Read(buffer []byte) (int, error) {
	n, err := r.Reader.Read(buffer)
	if n > 0 {
		r.heard()
	}
	return n, err
}

// endedBy names what ended an attempt with the given context.
func endedBy(ctx context.Context) string {
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return "upstream"
	case errors.Is(cause, errIdleTimeout):
		return "idle-timer"
	case errors.Is(cause, errOutdatedWeights):
		return "recall"
	case errors.Is(cause, errEvacuated):
		return "evacuation"
	case errors.Is(cause, context.DeadlineExceeded):
		return "deadline"
	case errors.Is(cause, drain.ErrEnd):
		return "stop"
	}
	return "caller"
}
