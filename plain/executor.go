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
	// defaultRepeatableTimeout bounds one attempt of a repeatable call, so that time is
	// left for another attempt if the connection does not respond.
	defaultRepeatableTimeout = 5 * time.Second
	// defaultOnceTimeout bounds the only attempt of a non-repeatable call. It is long
	// because a timeout leaves the outcome of the call unknown.
	defaultOnceTimeout = 60 * time.Second
	// claimTimeout bounds each request about a claim to the platform; after it the
	// platform counts as unavailable.
	claimTimeout = 500 * time.Millisecond
	// maxAttempts bounds the attempts of a repeatable call that may have run.
	maxAttempts = 3
	// maxRefusals is the number of refusals by upstreams after which a repeatable call fails.
	maxRefusals = 3
	// defaultRetryAfter is the retry delay of refusals that carry none.
	defaultRetryAfter = time.Second
)

type (
	// Dependencies are the components that an Executor uses; all are required.
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
		deps              Dependencies
		host              spoke.HostID
		dataCentre        spoke.DataCentreID
		budget            spoke.RetryBudget
		repeatableTimeout time.Duration
		onceTimeout       time.Duration
		log               logrus.FieldLogger
		// background counts the runs and claim updates that may outlast the caller's request.
		background sync.WaitGroup
		events     spoke.EventSink
		quarantine spoke.Quarantine
	}

	// Option configures an Executor.
	Option func(*Executor)

	// job is the state of one call.
	job struct {
		*Executor
		call        spoke.ServiceCall
		fingerprint spoke.Fingerprint
		service     spoke.Service
		rank        spoke.Rank
		// attempts is the number of attempts made so far.
		attempts int
		// mayHaveRun is set once an attempt may have run at an upstream.
		mayHaveRun bool
	}
)

// NewExecutor returns an executor. Without WithBudget its retries have no budget.
func NewExecutor(deps Dependencies, opts ...Option) *Executor {
	e := &Executor{
		deps:              deps,
		repeatableTimeout: defaultRepeatableTimeout,
		onceTimeout:       defaultOnceTimeout,
		log:               logrus.StandardLogger(),
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// WithHost sets the host that is recorded as the holder of claims.
func WithHost(id spoke.HostID) Option {
	return func(e *Executor) { e.host = id }
}

// WithDataCentre sets the data centre whose upstreams are preferred.
func WithDataCentre(id spoke.DataCentreID) Option {
	return func(e *Executor) { e.dataCentre = id }
}

// WithBudget bounds the retries after failures.
func WithBudget(budget spoke.RetryBudget) Option {
	return func(e *Executor) { e.budget = budget }
}

// WithEvents sets the sink for the events of each attempt.
func WithEvents(events spoke.EventSink) Option {
	return func(e *Executor) { e.events = events }
}

// WithQuarantine sets the quarantine, which refuses calls that crash their upstreams.
func WithQuarantine(quarantine spoke.Quarantine) Option {
	return func(e *Executor) { e.quarantine = quarantine }
}

// WithTimeouts bounds one attempt of a repeatable and of a non-repeatable call.
func WithTimeouts(repeatable, once time.Duration) Option {
	return func(e *Executor) { e.repeatableTimeout, e.onceTimeout = repeatable, once }
}

// WithLog sets the logger.
func WithLog(log logrus.FieldLogger) Option {
	return func(e *Executor) { e.log = log }
}

// Wait blocks until all runs and claim updates in the background have ended.
func (e *Executor) Wait() { e.background.Wait() }

// Call makes a call of a plain service. Its errors are of type *spoke.Refusal.
func (e *Executor) Call(ctx context.Context, call spoke.ServiceCall) (spoke.PlainAnswer, error) {
	j := &job{Executor: e, call: call, fingerprint: fingerprintOf(call)}
	if refusal := j.prepare(); refusal != nil {
		return spoke.PlainAnswer{}, j.finalRefusal(refusal)
	}
	if !call.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, call.Deadline.Sub(e.deps.Timer.Now()))
		defer cancel()
	}
	defer j.leaveQuarantine()
	answer, refusal := j.run(ctx)
	if refusal != nil {
		return spoke.PlainAnswer{}, j.finalRefusal(refusal)
	}
	return answer, nil
}

func (j *job) run(ctx context.Context) (spoke.PlainAnswer, *spoke.Refusal) {
	if refusal := j.quarantineRefusal(); refusal != nil {
		return spoke.PlainAnswer{}, refusal
	}
	if !j.isNonRepeatable() {
		return j.callWithRetries(ctx)
	}
	upstreams := j.route(nil)
	if len(upstreams) == 0 {
		return spoke.PlainAnswer{}, j.noUpstream()
	}
	if j.call.Key == "" {
		return j.callOnce(ctx, upstreams[0])
	}
	return j.callWithClaim(ctx, upstreams[0])
}

// prepare looks up the service and the rank in the manifest.
func (j *job) prepare() *spoke.Refusal {
	manifest := j.deps.Manifests.Current()
	if manifest == nil {
		refusal := spoke.RefuseNotRun(spoke.CodeNotReady, "no configuration is in force")
		refusal.RetryAfter = defaultRetryAfter
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

// isNonRepeatable reports whether the call matches a non-repeatable pattern. It matches
// the decoded path, so that an encoded path cannot bypass a pattern. A path that cannot be
// decoded counts as non-repeatable.
func (j *job) isNonRepeatable() bool {
	target, err := url.ParseRequestURI(j.call.Path)
	return err != nil || j.service.IsNonRepeatable(j.call.Method, target.Path)
}

func (j *job) route(exclude map[spoke.UpstreamID]bool) []spoke.UpstreamID {
	query := spoke.RouteQuery{Service: j.service.Name, DataCentre: j.dataCentre, Rank: j.rank, Exclude: exclude}
	return j.deps.Router.Choose(j.deps.Timer.Now(), query, j.deps.Views.Views(j.service.Name))
}

// nextDispatch returns the next attempt, addressed to an upstream.
func (j *job) nextDispatch(upstream spoke.UpstreamID, fresh bool) spoke.CallDispatch {
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

// send makes one attempt and records events for its start and its end.
func (j *job) send(ctx context.Context, dispatch spoke.CallDispatch) (spoke.PlainAnswer, error) {
	event := spoke.Event{Request: j.call.ID, Attempt: dispatch.Call.Attempt, Upstream: dispatch.Upstream}
	event.Kind = "call-started"
	j.record(event)
	began := j.deps.Timer.Now()
	j.beginAttempt(dispatch)
	answer, err := j.deps.Dispatcher.Call(ctx, dispatch)
	j.endAttempt(dispatch, err)
	event.Kind = "call-ended"
	event.Duration = j.deps.Timer.Now().Sub(began)
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
	refusal.RetryAfter = defaultRetryAfter
	return refusal
}

// finalRefusal returns the refusal with the request id, and with an unknown outcome if an
// attempt may have run.
func (j *job) finalRefusal(refusal *spoke.Refusal) *spoke.Refusal {
	final := *refusal
	final.Request = j.call.ID
	if j.mayHaveRun {
		final.Outcome = spoke.OutcomeUnknown
	}
	return &final
}
