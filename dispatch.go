package spoke

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

var (
	// ErrUpstreamDied reports that the upstream stopped answering or closed all its connections.
	ErrUpstreamDied = eris.New("upstream died")
	// ErrOwnerLost reports that the entry host that owns the upstream stopped answering.
	ErrOwnerLost = eris.New("owning host lost")
	// ErrPreempted reports that a run was cancelled in favour of more urgent work; it can be resumed.
	ErrPreempted = eris.New("run preempted")
)

type (
	// Dispatch is one attempt of a language request, as sent to the upstream's owner.
	Dispatch struct {
		Spec     RunSpec
		Upstream UpstreamID
		Rank     RankName
		// Cost is predicted work in token equivalents.
		Cost TokenCount
		// Solo requires that no other request suspected of crashes runs on the upstream at the same time.
		Solo        bool
		Preemptible bool
		// Deadline is the caller's limit; the zero time means none.
		Deadline time.Time
		// Keys are the block keys of the prompt, the shortest prefix first.
		Keys []BlockKey
	}

	// CallDispatch is one attempt of a plain call, as sent to the upstream's owner.
	CallDispatch struct {
		Call      PlainCall
		Upstream  UpstreamID
		Workspace WorkspaceID
		Rank      RankName
		Deadline  time.Time
	}

	// Dispatcher sends attempts to the owner of their upstream, which may be this host.
	Dispatcher interface {
		// Dispatch starts an attempt; the error or the stream's error is a *Refusal
		// with OutcomeNotRun or matches ErrNotRun only if nothing ran.
		Dispatch(ctx context.Context, dispatch Dispatch) (RunStream, error)
		// Call makes one attempt of a plain call; its errors follow the same rule.
		Call(ctx context.Context, dispatch CallDispatch) (PlainAnswer, error)
	}

	// RetryBudget limits retries to a share of the requests; it is safe for concurrent use.
	RetryBudget interface {
		// Deposit counts a request's first attempt.
		Deposit(workspace WorkspaceID)
		// Withdraw takes one retry from the budget; it returns false if the budget is used up.
		Withdraw(workspace WorkspaceID) bool
	}

	// Verdict is the quarantine's decision on how a request may run.
	Verdict struct {
		// Solo requires that no other request suspected of crashes runs on the upstream at the same time.
		Solo bool
		// MustWait reports that a request with the same fingerprint is running alone, so that
		// Admit has to be called again later.
		MustWait bool
		// Until is the end of the quarantine if the fingerprint is quarantined, else zero.
		Until time.Time
	}

	// Quarantine isolates requests that crash upstreams; it is safe for concurrent use.
	Quarantine interface {
		// Admit decides how the request may run now. After a Solo verdict no other request with
		// the fingerprint is admitted until Leave.
		Admit(now time.Time, request RequestID, fingerprint Fingerprint) Verdict
		// Begin records that an attempt is sent to its upstream.
		Begin(now time.Time, attempt AttemptID, upstream UpstreamID, fingerprint Fingerprint)
		// End records the end of an attempt and whether its upstream died while it ran.
		End(now time.Time, attempt AttemptID, died bool)
		// Leave records the end of the request.
		Leave(request RequestID, fingerprint Fingerprint)
	}

	// ManifestSource provides the configuration in force.
	ManifestSource interface {
		// Current returns the manifest in force, nil before the first one.
		Current() *Manifest
	}

	// ViewSource provides the current views of the upstreams of a service.
	ViewSource interface {
		// Views returns one view for each configured upstream of the service.
		Views(service ServiceName) []UpstreamView
	}
)
