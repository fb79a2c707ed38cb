package plain

import (
	"context"
	"fmt"
	"net/url"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
)

const (
	// defaultRepeatableTimeout bounds one attempt of a repeatable call, so that a
	// silent connection leaves time for another attempt.
	defaultRepeatableTimeout = 5 * time.Second
	// defaultOnceTimeout bounds the only attempt of a non-repeatable call; giving
	// up early would leave its outcome unknown.
	defaultOnceTimeout = 60 * time.Second
	// claimTimeout is the time after which the platform counts as slow.
	claimTimeout = 500 * time.Millisecond
	// maxAttempts bounds the attempts of a repeatable call that may have run.
	maxAttempts = 3
	// maxRefusals bounds the upstreams that are asked before a refusal is final.
	maxRefusals = 3
	// defaultHint is the retry hint without a better one.
	defaultHint = time.Second
)

type (
	// Parts are what an Executor needs; all are required.
	Dependencies struct {
		Manifests  spoke.ManifestSource
		Views      spoke.ViewSource
		Router     spoke.Router
		Dispatcher spoke.Dispatcher
		Claims     spoke.Claims
		Timer      spoke.Timer
	}

	// Executor makes calls of plain services; it is safe for concurrent use.
	Executor struct {
		parts             Dependencies
		host              spoke.HostID
		dataCentre        spoke.DataCentreID
		budget            spoke.RetryBudget
		repeatableTimeout time.Duration
		onceTimeout       time.Duration
		log               logrus.FieldLogger
		// background counts the runs and claim updates that outlive their caller.
		background sync.WaitGroup
		events     spoke.EventSink
		quarantine spoke.Quarantine
	}

	// Option changes an Executor.
	Option func(*Executor)

	// job is one call on its way.
	job struct {
		*Executor
		call     spoke.ServiceCall
		content  spoke.Fingerprint
		service  spoke.Service
		rank     spoke.Rank
		attempts int
		ran      bool
	}
)

// NewExecutor returns an executor without retry budget.
func NewExecutor(parts Dependencies, opts ...Option) *Executor {
	e := &Executor{
		parts:             parts,
		repeatableTimeout: defaultRepeatableTimeout,
		onceTimeout:       defaultOnceTimeout,
		log:               logrus.StandardLogger(),
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// WithHost sets the host that claims name as their holder.
func WithHost(id spoke.HostID) Option {
	return func(e *Executor) { e.host = id }
}

// WithDataCentre sets the data centre whose upstreams are preferred.
func WithDataCentre(id spoke.DataCentreID) Option {
	return func(e *Executor) { e.dataCentre = id }
}

// WithBudget bounds repeats after failures.
func WithBudget(budget spoke.RetryBudget) Option {
	return func(e *Executor) { e.budget = budget }
}

// WithEvents records the attempts of each call.
func WithEvents(events spoke.EventSink) Option {
	return func(e *Executor) { e.events = events }
}

// WithQuarantine refuses calls that crash the upstreams which run them.
func WithQuarantine(quarantine spoke.Quarantine) Option {
	return func(e *Executor) { e.quarantine = quarantine }
}

// WithTimeouts bounds one attempt of a repeatable and of a non-repeatable call.
func WithTimeouts(repeatable, once time.Duration) Option {
	return func(e *Executor) { e.repeatableTimeout, e.onceTimeout = repeatable, once }
}

// WithLog sets the log.
func WithLog(log logrus.FieldLogger) Option {
	return func(e *Executor) { e.log = log }
}

// Wait returns when no run or claim update is left in the background.
func (e *Executor) Wait() { e.background.Wait() }

// Call makes a call of a plain service; its errors are a *spoke.Refusal.
func (e *Executor) Call(ctx context.Context, call spoke.ServiceCall) (spoke.PlainAnswer, error) {
	j := &job{Executor: e, call: call, content: contentOf(call)}
	if refusal := j.prepare(); refusal != nil {
		return spoke.PlainAnswer{}, j.final(refusal)
	}
	if !call.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, call.Deadline.Sub(e.parts.Timer.Now()))
		defer cancel()
	}
	defer j.leave()
	answer, refusal := j.run(ctx)
	if refusal != nil {
		return spoke.PlainAnswer{}, j.final(refusal)
	}
	return answer, nil
}

func (j *job) run(ctx context.Context) (spoke.PlainAnswer, *spoke.Refusal) {
	if refusal := j.quarantined(); refusal != nil {
		return spoke.PlainAnswer{}, refusal
	}
	if !j.isNonRepeatable() {
		return j.repeatable(ctx)
	}
	upstreams := j.route(nil)
	if len(upstreams) == 0 {
		return spoke.PlainAnswer{}, j.noUpstream()
	}
	if j.call.Key == "" {
		return j.once(ctx, upstreams[0])
	}
	return j.claimed(ctx, upstreams[0])
}

// prepare finds the service and the rank.
func (j *job) prepare() *spoke.Refusal {
	manifest := j.parts.Manifests.Current()
	if manifest == nil {
		refusal := spoke.RefuseNotRun(spoke.CodeNotReady, "no configuration is in force")
		refusal.RetryAfter = defaultHint
		return refusal
	}
	var ok bool
	if j.service, ok = manifest.Service(j.call.Service); !ok || j.service.Kind != spoke.ServicePlain {
		return spoke.RefuseNotRun(spoke.CodeNotFound, "unknown plain service %q", j.call.Service)
	}
	if j.rank, ok = manifest.Rank(j.call.Rank); !ok {
		return spoke.RefuseNotRun(spoke.CodeNotFound, "unknown rank %q", j.call.Rank)
	}
	return nil
}

// isNonRepeatable matches the decoded path, so that no encoding escapes a
// pattern; a path that cannot be decoded counts as non-repeatable.
func (j *job) isNonRepeatable() bool {
	target, err := url.ParseRequestURI(j.call.Path)
	return err != nil || j.service.IsNonRepeatable(j.call.Method, target.Path)
}

func (j *job) route(exclude map[spoke.UpstreamID]bool) []spoke.UpstreamID {
	query := spoke.RouteQuery{Service: j.service.Name, DataCentre: j.dataCentre, Rank: j.rank, Exclude: exclude}
	return j.parts.Router.Choose(j.parts.Timer.Now(), query, j.parts.Views.Views(j.service.Name))
}

// dispatch describes the next attempt at an upstream.
func (j *job) dispatch(upstream spoke.UpstreamID, fresh bool) spoke.CallDispatch {
	j.attempts++
	return spoke.CallDispatch{
		Call: spoke.PlainCall{
			Request:         j.call.ID,
			Attempt:         j.attemptID(j.attempts),
			Method:          j.call.Method,
			Path:            j.call.Path,
			Header:          j.call.Header,
			Body:            j.call.Body,
			Key:             j.call.Key,
			FreshConnection: fresh,
		},
		Upstream:  upstream,
		Workspace: j.call.Workspace,
		Rank:      j.call.Rank,
		Deadline:  j.call.Deadline,
	}
}

// send makes one attempt and records its start and its end.
func (j *job) send(ctx context.Context, dispatch spoke.CallDispatch) (spoke.PlainAnswer, error) {
	event := spoke.Event{Request: j.call.ID, Attempt: dispatch.Call.Attempt, Upstream: dispatch.Upstream}
	event.Kind = "call-started"
	j.record(event)
	began := j.parts.Timer.Now()
	j.begin(dispatch)
	answer, err := j.parts.Dispatcher.Call(ctx, dispatch)
	j.end(dispatch, err)
	event.Kind = "call-ended"
	event.Duration = j.parts.Timer.Now().Sub(began)
	if err != nil {
		event.Detail = err.Error()
	}
	j.record(event)
	return answer, err
}

func (j *job) record(event spoke.Event) {
	if j.events != nil {
		j.events.Record(event)
	}
}

func (j *job) attemptID(number int) spoke.AttemptID {
	return spoke.AttemptID(fmt.Sprintf("%s-%d", j.call.ID, number))
}

func (j *job) noUpstream() *spoke.Refusal {
	refusal := spoke.RefuseNotRun(spoke.CodeNoUpstream, "no upstream of service %s is in reach", j.service.Name)
	refusal.RetryAfter = defaultHint
	return refusal
}

// final names the request and corrects the outcome if an attempt may have run.
func (j *job) final(refusal *spoke.Refusal) *spoke.Refusal {
	last := *refusal
	last.Request = j.call.ID
	if j.ran {
		last.Outcome = spoke.OutcomeUnknown
	}
	return &last
}
