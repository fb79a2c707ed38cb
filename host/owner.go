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
	// streamBuffer is the number of buffered results, which absorb bursts of an engine while
	// earlier results are written to the caller.
	streamBuffer = 32
	// runHeartbeatPeriod is the period of heartbeats, which show that a queued or slow run is alive.
	runHeartbeatPeriod = time.Second
	// deathProbeTimeout bounds the probe for a dead upstream after a broken stream.
	deathProbeTimeout = 500 * time.Millisecond
)

type (
	// blockLoader loads blocks of a prompt into an upstream's prefix cache.
	blockLoader interface {
		// Load imports the blocks whose import saves time and returns the run to start.
		Load(ctx context.Context, upstream spoke.Upstream, dispatch spoke.Dispatch) spoke.RunSpec
		// RunFinished records a finished run and its time to first token, so that its blocks may be exported.
		RunFinished(upstream spoke.Upstream, dispatch spoke.Dispatch, usage spoke.Usage, firstToken time.Duration)
	}

	// handoverWaiter waits until the host has taken over an upstream that membership assigns to it.
	handoverWaiter interface {
		// Await returns when the host polls the upstream, a time limit has passed, or the context ends.
		Await(ctx context.Context, id spoke.UpstreamID)
	}

	// owner runs attempts at the upstreams that the host owns.
	owner struct {
		manifest  spoke.ManifestSource
		handover  handoverWaiter
		admission *admissionTask
		engine    spoke.Engine
		blocks    blockLoader
		timer     spoke.Timer
		events    spoke.EventSink
		baseCtx   context.Context
	}

	// ownedRun is the stream of one attempt.
	ownedRun struct {
		owner    *owner
		dispatch spoke.Dispatch
		upstream spoke.Upstream
		results  chan runResult
		// readerCtx ends when the requester's context ends or the stream is closed.
		readerCtx    context.Context
		cancelReader context.CancelFunc
		// grantCtx ends with readerCtx or by preemption, which then is its cause.
		grantCtx context.Context
		// grants counts the slots that were granted to the run; all but the last were preempted
		// before the run's first token.
		grants int
		// hasFirstToken reports whether the engine has sent a piece.
		hasFirstToken bool
	}

	runResult struct {
		piece spoke.Piece
		err   error
	}
)

// Run starts an attempt at an upstream of the host's data centre.
func (o *owner) Run(ctx context.Context, dispatch spoke.Dispatch) (spoke.RunStream, error) {
	upstream, ok := o.manifest.Current().Upstream(dispatch.Upstream)
	if !ok {
		return nil, spoke.RefuseNotRun(spoke.CodeNoUpstream, "upstream %s is not configured", dispatch.Upstream)
	}
	run := &ownedRun{owner: o, dispatch: dispatch, upstream: upstream, results: make(chan runResult, streamBuffer)}
	run.readerCtx, run.cancelReader = context.WithCancel(ctx)
	// The requester may see a change of ownership before this host does.
	o.handover.Await(run.readerCtx, upstream.ID)
	actions, err := o.admission.Submit(run.readerCtx, run.workItem())
	if err != nil {
		run.cancelReader()
		return nil, err
	}
	go run.execute(actions)
	return run, nil
}

func (r *ownedRun) workItem() spoke.WorkItem {
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
	heartbeat := r.owner.timer.After(runHeartbeatPeriod)
	defer heartbeat.Stop()
	select {
	case result := <-r.results:
		return result.piece, result.err
	case <-heartbeat.C():
		return spoke.Piece{Attempt: r.dispatch.Spec.Attempt}, nil
	case <-ctx.Done():
		return spoke.Piece{}, ctx.Err()
	}
}

// Close cancels the run if it is not finished.
func (r *ownedRun) Close() error {
	r.cancelReader()
	return nil
}

func (r *ownedRun) execute(actions <-chan spoke.AdmissionAction) {
	for {
		granted, err := r.awaitGrant(actions)
		if err != nil {
			r.emit(r.readerCtx, runResult{err: err})
			return
		}
		if !granted {
			return
		}
		grantCtx, preempt := context.WithCancelCause(r.readerCtx)
		r.grantCtx = grantCtx
		go watchPreemption(grantCtx, preempt, actions)
		requeue := r.runGranted()
		preempt(nil)
		if !requeue {
			return
		}
		if actions, err = r.owner.admission.Submit(r.readerCtx, r.workItem()); err != nil {
			return
		}
	}
}

// awaitGrant waits for a slot. It returns a refusal as an error, and false without an error if
// the requester cancels the run first.
func (r *ownedRun) awaitGrant(actions <-chan spoke.AdmissionAction) (bool, error) {
	select {
	case action := <-actions:
		if refuse, ok := action.(spoke.RefuseWork); ok {
			r.record("run-refused", refuse.Refusal.Error())
			return false, refuse.Refusal
		}
		return true, nil
	case <-r.readerCtx.Done():
		r.owner.admission.Send(r.owner.baseCtx, spoke.WithdrawWork{Attempt: r.dispatch.Spec.Attempt})
		return false, nil
	}
}

func watchPreemption(ctx context.Context, preempt context.CancelCauseFunc, actions <-chan spoke.AdmissionAction) {
	for {
		select {
		case action := <-actions:
			if _, ok := action.(spoke.PreemptWork); ok {
				preempt(spoke.ErrPreempted)
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// runGranted runs the attempt and reports whether to queue it again: a run that was preempted
// before its first token is requeued at the owner, since the requester has nothing to resume.
func (r *ownedRun) runGranted() bool {
	started := r.owner.timer.Now()
	finish := spoke.FinishWork{Attempt: r.dispatch.Spec.Attempt}
	r.record("run-granted", "")
	r.grants++
	spec := r.owner.blocks.Load(r.grantCtx, r.upstream, r.dispatch)
	spec.Attempt = r.engineAttempt()
	loaded := r.owner.timer.Now()
	usage, err := r.stream(spec, started, &finish)
	finish.Duration = r.owner.timer.Now().Sub(started)
	if !r.hasFirstToken && errors.Is(context.Cause(r.grantCtx), spoke.ErrPreempted) && r.readerCtx.Err() == nil {
		r.owner.admission.Send(r.owner.baseCtx, spoke.WithdrawWork{Attempt: finish.Attempt})
		r.record("run-requeued", "preempted before its first token")
		return true
	}
	r.finishRun(finish, usage, loaded.Sub(started), err)
	return false
}

// engineAttempt returns a distinct ID for each try at the engine, since the cancellation of an
// earlier try may still be under way.
func (r *ownedRun) engineAttempt() spoke.AttemptID {
	if r.grants == 1 {
		return r.dispatch.Spec.Attempt
	}
	return spoke.AttemptID(string(r.dispatch.Spec.Attempt) + "/" + strconv.Itoa(r.grants))
}

// finishRun frees the slot at the upstream before it sends the result to the requester, so that
// a retry finds the slot free. A run that was cancelled or preempted counts as withdrawn, since
// its end shows nothing about the upstream.
func (r *ownedRun) finishRun(finish spoke.FinishWork, usage spoke.Usage, loadTime time.Duration, err error) {
	switch {
	case errors.Is(err, io.EOF):
		finish.Cost = usage.Prompt - usage.Cached + usage.Completion
		r.owner.admission.Send(r.owner.baseCtx, finish)
		r.record("run-finished", "")
		r.owner.blocks.RunFinished(r.upstream, r.dispatch, usage, finish.FirstToken-loadTime)
	case r.grantCtx.Err() != nil:
		r.owner.admission.Send(r.owner.baseCtx, spoke.WithdrawWork{Attempt: finish.Attempt})
		err = eris.Wrapf(context.Cause(r.grantCtx), "run at upstream %s", r.upstream.ID)
		r.record("run-cancelled", err.Error())
	default:
		finish.Failed = true
		finish.Busy = errors.Is(err, spoke.ErrBusy)
		r.owner.admission.Send(r.owner.baseCtx, finish)
		err = r.classifyError(err)
		r.record("run-failed", err.Error())
	}
	r.emit(r.readerCtx, runResult{err: err})
}

// stream forwards the engine's pieces until their end or an error.
func (r *ownedRun) stream(spec spoke.RunSpec, started time.Time, finish *spoke.FinishWork) (spoke.Usage, error) {
	idle := newIdleDetector(r.owner.timer, r.dispatch.Cost)
	ctx, cancel := context.WithCancelCause(r.grantCtx)
	defer cancel(nil)
	engineStream, err := idle.start(cancel, func() (spoke.RunStream, error) {
		return r.owner.engine.Run(ctx, r.upstream.Address, spec)
	})
	if err != nil {
		return spoke.Usage{}, err
	}
	defer engineStream.Close()
	var usage spoke.Usage
	for {
		piece, err := idle.next(ctx, engineStream)
		if err != nil {
			return usage, err
		}
		if !r.hasFirstToken {
			r.hasFirstToken = true
			finish.FirstToken = r.owner.timer.Now().Sub(started)
			r.record("first-token", "")
			r.owner.admission.Send(ctx, spoke.ReportFirstToken{Attempt: r.dispatch.Spec.Attempt})
		}
		if piece.Finish != "" {
			usage = piece.Usage
		}
		piece.Attempt = r.dispatch.Spec.Attempt
		// A slow reader must not keep a preempted run in its slot.
		if !r.emit(r.grantCtx, runResult{piece: piece}) {
			return usage, context.Cause(r.grantCtx)
		}
	}
}

// classifyError turns the error of a broken stream into spoke.ErrUpstreamDied if a load request
// to the upstream fails with spoke.ErrNotRun.
func (r *ownedRun) classifyError(err error) error {
	if errors.Is(err, spoke.ErrNotRun) || errors.Is(err, spoke.ErrIdleTimeout) || errors.Is(err, spoke.ErrUpstreamDied) {
		return err
	}
	ctx, cancel := context.WithTimeout(r.owner.baseCtx, deathProbeTimeout)
	defer cancel()
	if _, probeErr := r.owner.engine.Load(ctx, r.upstream.Address); errors.Is(probeErr, spoke.ErrNotRun) {
		return eris.Wrapf(spoke.ErrUpstreamDied, "upstream %s: %v", r.upstream.ID, err)
	}
	return err
}

// emit sends a result to the reader and reports false if the context ends first.
func (r *ownedRun) emit(ctx context.Context, result runResult) bool {
	select {
	case r.results <- result:
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
