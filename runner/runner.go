package runner

import (
	"context"
	"time"

	"magnoliaspoke.example/spoke"
)

type (
	// Dependencies are the services that a Runner uses; all are required.
	Dependencies struct {
		Manifests  spoke.ManifestSource
		Views      spoke.ViewSource
		Router     spoke.Router
		Dispatcher spoke.Dispatcher
		Timer      spoke.Timer
	}

	// Runner runs language requests; it implements spoke.Backend.
	Runner struct {
		deps       Dependencies
		dataCentre spoke.DataCentreID
		budget     spoke.RetryBudget
		quarantine spoke.Quarantine
		calls      CallFunc
		events     spoke.EventSink
		keys       KeyFunc
		cost       CostFunc
	}

	// Option configures a Runner.
	Option func(*Runner)

	// KeyFunc computes the block keys of the request's prompt for a model version.
	KeyFunc func(request spoke.Request, version spoke.ModelVersion) []spoke.BlockKey

	// CostFunc estimates the work of a request in token equivalents.
	CostFunc func(request spoke.Request, keys []spoke.BlockKey) spoke.TokenCount

	// CallFunc makes a call of a plain service; its errors are a *spoke.Refusal.
	CallFunc func(ctx context.Context, call spoke.ServiceCall) (spoke.PlainAnswer, error)

	unlimitedBudget struct{}
	noQuarantine    struct{}
)

// New returns a Runner; without options it has no retry budget, quarantine or plain calls.
func New(deps Dependencies, opts ...Option) *Runner {
	r := &Runner{
		deps:       deps,
		budget:     unlimitedBudget{},
		quarantine: noQuarantine{},
		keys:       func(spoke.Request, spoke.ModelVersion) []spoke.BlockKey { return nil },
		cost:       promptPlusMaxTokens,
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// WithDataCentre sets the data centre whose upstreams are preferred.
func WithDataCentre(id spoke.DataCentreID) Option {
	return func(r *Runner) { r.dataCentre = id }
}

// WithBudget sets the budget of retries after failures; by default none applies.
func WithBudget(budget spoke.RetryBudget) Option {
	return func(r *Runner) { r.budget = budget }
}

// WithQuarantine sets the quarantine, which isolates and refuses requests that crash upstreams.
func WithQuarantine(quarantine spoke.Quarantine) Option {
	return func(r *Runner) { r.quarantine = quarantine }
}

// WithCalls sets the function that makes plain calls; by default they are refused.
func WithCalls(calls CallFunc) Option {
	return func(r *Runner) { r.calls = calls }
}

// WithEvents sets the sink for the events of each request.
func WithEvents(events spoke.EventSink) Option {
	return func(r *Runner) { r.events = events }
}

// WithKeys sets the function that computes block keys; by default there are none.
func WithKeys(keys KeyFunc) Option {
	return func(r *Runner) { r.keys = keys }
}

// WithCost sets the function that estimates work; the default assumes an empty prefix cache.
func WithCost(cost CostFunc) Option {
	return func(r *Runner) { r.cost = cost }
}

// Complete starts a language request. It returns once the first piece, which may be empty, has been
// received or the request is refused. The stream must be used by one goroutine at a time.
func (r *Runner) Complete(ctx context.Context, request spoke.Request) (spoke.RunStream, error) {
	r.budget.Deposit(request.Workspace)
	s := newStream(ctx, r, request)
	s.apply(s.machine.Handle(r.deps.Timer.Now(), Begin{}))
	if err := s.runUntilReady(ctx); err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

// Call makes a call of a plain service.
func (r *Runner) Call(ctx context.Context, call spoke.ServiceCall) (spoke.PlainAnswer, error) {
	if r.calls == nil {
		refusal := spoke.RefuseNotRun(spoke.CodeNotFound, "service %s takes no plain calls here", call.Service)
		refusal.Request = call.ID
		return spoke.PlainAnswer{}, refusal
	}
	return r.calls(ctx, call)
}

func (r *Runner) record(kind spoke.EventKind, request spoke.RequestID, attempt spoke.AttemptID, upstream spoke.UpstreamID, detail string) {
	if r.events == nil {
		return
	}
	r.events.Record(spoke.Event{Kind: kind, Request: request, Attempt: attempt, Upstream: upstream, Detail: detail})
}

func promptPlusMaxTokens(request spoke.Request, _ []spoke.BlockKey) spoke.TokenCount {
	return spoke.EstimateTokens(request.Prompt) + request.MaxTokens
}

// Deposit does nothing.
func (unlimitedBudget) Deposit(spoke.WorkspaceID) {}

// Withdraw allows every retry.
func (unlimitedBudget) Withdraw(spoke.WorkspaceID) bool { return true }

// Admit admits every request.
func (noQuarantine) Admit(time.Time, spoke.RequestID, spoke.Fingerprint) spoke.Verdict {
	return spoke.Verdict{}
}

// Begin does nothing.
func (noQuarantine) Begin(time.Time, spoke.AttemptID, spoke.UpstreamID, spoke.Fingerprint) {}

// End does nothing.
func (noQuarantine) End(time.Time, spoke.AttemptID, bool) {}

// Leave does nothing.
func (noQuarantine) Leave(spoke.RequestID, spoke.Fingerprint) {}
