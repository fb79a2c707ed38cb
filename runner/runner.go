package runner

import (
	"context"
	"time"

	"magnoliaspoke.example/spoke"
)

type (
	// Parts are what a Runner needs; all are required.
	Dependencies struct {
		Manifests  spoke.ManifestSource
		Views      spoke.ViewSource
		Router     spoke.Router
		Dispatcher spoke.Dispatcher
		Timer      spoke.Timer
	}

	// Runner runs language requests; it implements spoke.Backend.
	Runner struct {
		parts      Dependencies
		dataCentre spoke.DataCentreID
		budget     spoke.RetryBudget
		quarantine spoke.Quarantine
		calls      CallFunc
		events     spoke.EventSink
		keys       KeyFunc
		cost       CostFunc
	}

	// Option changes a Runner.
	Option func(*Runner)

	// KeyFunc computes the block keys of the request's prompt for a model version.
	KeyFunc func(request spoke.Request, version spoke.ModelVersion) []spoke.BlockKey

	// CostFunc predicts the work of a request in token equivalents.
	CostFunc func(request spoke.Request, keys []spoke.BlockKey) spoke.TokenCount

	// CallFunc makes a call of a plain service; its errors are a *spoke.Refusal.
	CallFunc func(ctx context.Context, call spoke.ServiceCall) (spoke.PlainAnswer, error)

	unlimited struct{}
	trusting  struct{}
)

// New returns a runner without retry budget, quarantine and plain calls.
func New(parts Dependencies, opts ...Option) *Runner {
	r := &Runner{
		parts:      parts,
		budget:     unlimited{},
		quarantine: trusting{},
		keys:       func(spoke.Request, spoke.ModelVersion) []spoke.BlockKey { return nil },
		cost:       promptAndAnswer,
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

// WithBudget bounds retries after failures.
func WithBudget(budget spoke.RetryBudget) Option {
	return func(r *Runner) { r.budget = budget }
}

// WithQuarantine isolates and refuses requests that crash upstreams.
func WithQuarantine(quarantine spoke.Quarantine) Option {
	return func(r *Runner) { r.quarantine = quarantine }
}

// WithCalls serves plain calls.
func WithCalls(calls CallFunc) Option {
	return func(r *Runner) { r.calls = calls }
}

// WithEvents records the steps of each request.
func WithEvents(events spoke.EventSink) Option {
	return func(r *Runner) { r.events = events }
}

// WithKeys sets how block keys are computed.
func WithKeys(keys KeyFunc) Option {
	return func(r *Runner) { r.keys = keys }
}

// WithCost sets how work is predicted; the default assumes an empty prefix cache.
func WithCost(cost CostFunc) Option {
	return func(r *Runner) { r.cost = cost }
}

// Complete starts a language request; it returns once the first attempt has answered
// or the request is refused. The stream belongs to one goroutine.
func (r *Runner) Complete(ctx context.Context, request spoke.Request) (spoke.RunStream, error) {
	r.budget.Deposit(request.Workspace)
	s := newStream(ctx, r, request)
	s.apply(s.machine.Handle(r.parts.Timer.Now(), Begin{}))
	if err := s.settle(ctx); err != nil {
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

func promptAndAnswer(request spoke.Request, _ []spoke.BlockKey) spoke.TokenCount {
	return spoke.EstimateTokens(request.Prompt) + request.MaxTokens
}

// Deposit counts nothing.
func (unlimited) Deposit(spoke.WorkspaceID) {}

// Withdraw allows every retry.
func (unlimited) Withdraw(spoke.WorkspaceID) bool { return true }

// Admit lets every request run.
func (trusting) Admit(time.Time, spoke.RequestID, spoke.Fingerprint) spoke.Verdict {
	return spoke.Verdict{}
}

// Begin notes nothing.
func (trusting) Begin(time.Time, spoke.AttemptID, spoke.UpstreamID, spoke.Fingerprint) {}

// End notes nothing.
func (trusting) End(time.Time, spoke.AttemptID, bool) {}

// Leave notes nothing.
func (trusting) Leave(spoke.RequestID, spoke.Fingerprint) {}
