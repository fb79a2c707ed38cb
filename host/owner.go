package host

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

const (
	// streamBuffer absorbs bursts of an engine while the caller's connection drains.
	streamBuffer = 32
	// heartbeatPeriod tells the requester that a queued or slow run is alive.
	heartbeatPeriod = time.Second
	// deathProbeTimeout bounds the check whether a broken stream means a dead upstream.
	deathProbeTimeout = 500 * time.Millisecond
)

type (
	// blockLoader brings blocks of a prompt into an upstream's prefix cache.
	blockLoader interface {
		// Load imports what pays and returns the run to start.
		Load(ctx context.Context, upstream spoke.Upstream, dispatch spoke.Dispatch) spoke.RunSpec
		// Ran reports a finished run and the time to its first token, so that its blocks may be exported.
		Ran(upstream spoke.Upstream, dispatch spoke.Dispatch, usage spoke.Usage, took time.Duration)
	}

	// handover waits until the host has taken over an upstream that it owns by membership.
	handover interface {
		// Await returns when the host follows the upstream or has waited long enough.
		Await(ctx context.Context, id spoke.UpstreamID)
	}

	// owner runs attempts at the upstreams that the host owns.
	owner struct {
		manifest  spoke.ManifestSource
		followers handover
		admission *admissionTask
		engine    spoke.Engine
		blocks    blockLoader
		timer     spoke.Timer
		events    spoke.EventSink
		life      context.Context
	}

	// ownedRun is the stream of one attempt.
	ownedRun struct {
		owner    *owner
		dispatch spoke.Dispatch
		upstream spoke.Upstream
		out      chan runResult
		// reader ends when the requester goes away.
		reader context.Context
		leave  context.CancelFunc
		// work ends with reader or by preemption, which is then its cause.
		work context.Context
		// grants counts the places that the run had; all but the last were taken from it
		// before its first token.
		grants int
		// delivered says that the first token has come.
		delivered bool
	}

	runResult struct {
		piece spoke.Piece
		err   error
	}
)

// Run starts an attempt at an upstream of the own data centre.
func (o *owner) Run(ctx context.Context, dispatch spoke.Dispatch) (spoke.RunStream, error) {
	upstream, ok := o.manifest.Current().Upstream(dispatch.Upstream)
	if !ok {
		return nil, spoke.RefuseNotRun(spoke.CodeNoUpstream, "upstream %s is not configured", dispatch.Upstream)
	}
	run := &ownedRun{owner: o, dispatch: dispatch, upstream: upstream, out: make(chan runResult, streamBuffer)}
	run.reader, run.leave = context.WithCancel(ctx)
	// Others may see a change of ownership before this host does.
	o.followers.Await(run.reader, upstream.ID)
	actions, err := o.admission.Submit(run.reader, run.item())
	if err != nil {
		run.leave()
		return nil, err
	}
	go run.execute(actions)
	return run, nil
}

func (r *ownedRun) item() spoke.WorkItem {
	return spoke.WorkItem{
		Attempt: r.dispatch.Spec.Attempt, Request: r.dispatch.Spec.Request,
		Upstream: r.upstream.ID, Workspace: r.dispatch.Spec.Workspace,
		Rank: r.dispatch.Rank, Cost: r.dispatch.Cost, Solo: r.dispatch.Solo,
		Preemptible: r.dispatch.Preemptible, Resumed: r.grants > 0 || r.dispatch.Spec.ResumeFrom > 0,
		Enqueued: r.owner.timer.Now(),
	}
}

// Next returns the next piece; a heartbeat is a piece without tokens.
func (r *ownedRun) Next(ctx context.Context) (spoke.Piece, error) {
	heartbeat := r.owner.timer.After(heartbeatPeriod)
	defer heartbeat.Stop()
	select {
	case result := <-r.out:
		return result.piece, result.err
	case <-heartbeat.C():
		return spoke.Piece{Attempt: r.dispatch.Spec.Attempt}, nil
	case <-ctx.Done():
		return spoke.Piece{}, ctx.Err()
	}
}

// Close cancels the run if it is not finished.
func (r *ownedRun) Close() error {
	r.leave()
	return nil
}

func (r *ownedRun) execute(actions <-chan spoke.AdmissionAction) {
	for {
		granted, err := r.awaitGrant(actions)
		if err != nil {
			r.emit(r.reader, runResult{err: err})
			return
		}
		if !granted {
			return
		}
		work, preempt := context.WithCancelCause(r.reader)
		r.work = work
		go watchPreemption(work, preempt, actions)
		again := r.serve()
		preempt(nil)
		if !again {
			return
		}
		if actions, err = r.owner.admission.Submit(r.reader, r.item()); err != nil {
			return
		}
	}
}

// awaitGrant returns false without an error when the requester went away.
func (r *ownedRun) awaitGrant(actions <-chan spoke.AdmissionAction) (bool, error) {
	select {
	case action := <-actions:
		if refuse, ok := action.(spoke.RefuseWork); ok {
			r.record("run-refused", refuse.Refusal.Error())
			return false, refuse.Refusal
		}
		return true, nil
	case <-r.reader.Done():
		r.owner.admission.Send(r.owner.life, spoke.WithdrawWork{Attempt: r.dispatch.Spec.Attempt})
		return false, nil
	}
}

func watchPreemption(work context.Context, preempt context.CancelCauseFunc, actions <-chan spoke.AdmissionAction) {
	for {
		select {
		case action := <-actions:
			if _, ok := action.(spoke.PreemptWork); ok {
				preempt(spoke.ErrPreempted)
				return
			}
		case <-work.Done():
			return
		}
	}
}

// serve runs the attempt and reports whether it is to be queued again: a run that was preempted before
// its first token stays with the owner, since the requester has nothing to resume.
func (r *ownedRun) serve() bool {
	started := r.owner.timer.Now()
	finish := spoke.FinishWork{Attempt: r.dispatch.Spec.Attempt}
	r.record("run-granted", "")
	r.grants++
	spec := r.owner.blocks.Load(r.work, r.upstream, r.dispatch)
	spec.Attempt = r.engineAttempt()
	launched := r.owner.timer.Now()
	usage, err := r.stream(spec, started, &finish)
	finish.Duration = r.owner.timer.Now().Sub(started)
	if !r.delivered && errors.Is(context.Cause(r.work), spoke.ErrPreempted) && r.reader.Err() == nil {
		r.owner.admission.Send(r.owner.life, spoke.WithdrawWork{Attempt: finish.Attempt})
		r.record("run-requeued", "preempted before its first token")
		return true
	}
	r.settle(finish, usage, launched.Sub(started), err)
	return false
}

// engineAttempt gives each try at the engine an id of its own, since the order that
// cancels an earlier one may still be on its way.
func (r *ownedRun) engineAttempt() spoke.AttemptID {
	if r.grants == 1 {
		return r.dispatch.Spec.Attempt
	}
	return spoke.AttemptID(string(r.dispatch.Spec.Attempt) + "/" + strconv.Itoa(r.grants))
}

// settle frees the place at the upstream before it tells the requester, so
// that a retry finds the place free. A run ended from this side says nothing
// about the upstream and counts as withdrawn.
func (r *ownedRun) settle(finish spoke.FinishWork, usage spoke.Usage, loading time.Duration, err error) {
	switch {
	case errors.Is(err, io.EOF):
		finish.Cost = usage.Prompt - usage.Cached + usage.Completion
		r.owner.admission.Send(r.owner.life, finish)
		r.record("run-finished", "")
		r.owner.blocks.Ran(r.upstream, r.dispatch, usage, finish.FirstToken-loading)
	case r.work.Err() != nil:
		r.owner.admission.Send(r.owner.life, spoke.WithdrawWork{Attempt: finish.Attempt})
		err = eris.Wrapf(context.Cause(r.work), "run at upstream %s", r.upstream.ID)
		r.record("run-cancelled", err.Error())
	default:
		finish.Failed = true
		finish.Busy = errors.Is(err, spoke.ErrBusy)
		r.owner.admission.Send(r.owner.life, finish)
		err = r.explain(err)
		r.record("run-failed", err.Error())
	}
	r.emit(r.reader, runResult{err: err})
}

// stream passes the engine's pieces on until its end mark or an error.
func (r *ownedRun) stream(spec spoke.RunSpec, started time.Time, finish *spoke.FinishWork) (spoke.Usage, error) {
	idle := newIdleLimit(r.owner.timer, r.dispatch.Cost)
	ctx, cancel := context.WithCancelCause(r.work)
	defer cancel(nil)
	answer, err := idle.start(cancel, func() (spoke.RunStream, error) {
		return r.owner.engine.Run(ctx, r.upstream.Address, spec)
	})
	if err != nil {
		return spoke.Usage{}, err
	}
	defer answer.Close()
	var usage spoke.Usage
	for {
		piece, err := idle.next(ctx, answer)
		if err != nil {
			return usage, err
		}
		if !r.delivered {
			r.delivered = true
			finish.FirstToken = r.owner.timer.Now().Sub(started)
			r.record("first-token", "")
			r.owner.admission.Send(ctx, spoke.ReportFirstToken{Attempt: r.dispatch.Spec.Attempt})
		}
		if piece.Finish != "" {
			usage = piece.Usage
		}
		piece.Attempt = r.dispatch.Spec.Attempt
		// A slow reader must not keep a preempted run at its place.
		if !r.emit(r.work, runResult{piece: piece}) {
			return usage, context.Cause(r.work)
		}
	}
}

// explain tells a dead upstream from a broken stream.
func (r *ownedRun) explain(err error) error {
	if errors.Is(err, spoke.ErrNotRun) || errors.Is(err, spoke.ErrIdleTimeout) || errors.Is(err, spoke.ErrUpstreamDied) {
		return err
	}
	ctx, cancel := context.WithTimeout(r.owner.life, deathProbeTimeout)
	defer cancel()
	if _, probe := r.owner.engine.Load(ctx, r.upstream.Address); errors.Is(probe, spoke.ErrNotRun) {
		return eris.Wrapf(spoke.ErrUpstreamDied, "upstream %s: %v", r.upstream.ID, err)
	}
	return err
}

// emit passes a result to the reader; false means that the context ended first.
func (r *ownedRun) emit(ctx context.Context, result runResult) bool {
	select {
	case r.out <- result:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *ownedRun) record(kind spoke.EventKind, detail string) {
	r.owner.events.Record(spoke.Event{
		Kind: kind, Request: r.dispatch.Spec.Request, Attempt: r.dispatch.Spec.Attempt,
		Upstream: r.upstream.ID, Detail: detail,
	})
}
