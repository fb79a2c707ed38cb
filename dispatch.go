package spoke

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

var (
	// ErrUpstreamDied marks runs whose upstream stopped answering or closed all its connections.
	ErrUpstreamDied = eris.New("upstream died")
	// ErrOwnerLost marks runs whose owning entry host stopped answering.
	ErrOwnerLost = eris.New("owning host lost")
	// ErrPreempted marks runs cancelled in favour of more urgent work; they can be resumed.
	ErrPreempted = eris.New("run preempted")
)

type (
	// Dispatch is one attempt of a language request, as handed to the upstream's owner.
	Dispatch struct {
		Spec     RunSpec
		Upstream UpstreamID
		Rank     RankName
		// Cost is predicted work in token equivalents.
		Cost TokenCount
		// Solo demands that no other suspect runs on the upstream at the same time.
		Solo        bool
		Preemptible bool
		// Deadline is the caller's limit; the zero time means none.
		Deadline time.Time
		// Keys are the block keys of the prompt, the shortest prefix first.
		Keys []BlockKey
	}

	// CallDispatch is one attempt of a plain call, as handed to the upstream's owner.
	CallDispatch struct {
		Call      PlainCall
		Upstream  UpstreamID
		Workspace WorkspaceID
		Rank      RankName
		Deadline  time.Time
	}

	// Dispatcher hands attempts to the owner of their upstream, which may be the own host.
	Dispatcher interface {
		// Dispatch starts an attempt; the error or the stream's error is a *Refusal
		// with OutcomeNotRun or matches ErrNotRun only if nothing ran.
		Dispatch(ctx context.Context, dispatch Dispatch) (RunStream, error)
		// Call makes one attempt of a plain call with the same rule for errors.
		Call(ctx context.Context, dispatch CallDispatch) (PlainAnswer, error)
	}

	// RetryBudget bounds the attempts that follow a failure to a share of the requests;
	// it is safe for concurrent use.
	RetryBudget interface {
		// Deposit counts a request's first attempt.
		Deposit(workspace WorkspaceID)
		// Withdraw takes one retry; false means that the budget is used up.
		Withdraw(workspace WorkspaceID) bool
	}

	// Verdict says how a request may run with regard to the upstreams it has crashed.
	Verdict struct {
		// Solo demands that no other suspect runs on the upstream at the same time.
		Solo bool
		// Held says that a request with the same fingerprint runs alone now; ask again later.
		MustWait bool
		// Until is the end of the quarantine of a marked fingerprint, else zero.
		Until time.Time
	}

	// Quarantine isolates requests that crash upstreams; it is safe for concurrent use.
	Quarantine interface {
		// Admit says how the request may run now. After a Solo verdict the request
		// holds the only place of its fingerprint until Leave.
		Admit(now time.Time, request RequestID, fingerprint Fingerprint) Verdict
		// Begin reports that an attempt is handed to its upstream.
		Begin(now time.Time, attempt AttemptID, upstream UpstreamID, fingerprint Fingerprint)
		// End reports the end of an attempt and whether its upstream died while it ran.
		End(now time.Time, attempt AttemptID, died bool)
		// Leave reports the end of the request.
		Leave(request RequestID, fingerprint Fingerprint)
	}

	// ManifestSource gives the configuration in force.
	ManifestSource interface {
		// Current returns the snapshot in force, nil before the first one.
		Current() *Manifest
	}

	// ViewSource gives the upstreams of a service as the host sees them now.
	ViewSource interface {
		// Views returns one view for each configured upstream of the service.
		Views(service ServiceName) []UpstreamView
	}
)
