package place

import (
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// EndServed is an answer that the upstream made in full.
	EndServed Ending = iota
	// EndRefused is a statement of the upstream that it did not run the call.
	EndRefused
	// EndFailed is an upstream's own failure.
	EndFailed
	// EndBroken is a connection that broke or an answer that belongs to another call.
	EndBroken
	// EndUnreached is a connection that could not be made.
	EndUnreachable
	// EndCancelled is a call whose caller left or whose time is over.
	EndCancelled
	// EndElsewhere is a statement of the upstream that it has other weights.
	EndWrongVersion
	// EndGone is a statement of another upstream that it has the address.
	EndAddressReused
)

const (
	// RefusedOverload means that the call could not be served in time.
	RefusedOverload Reason = "overloaded"
	// RefusedNoUpstream means that no usable upstream is known.
	RefusedNoUpstream Reason = "no-upstream"
	// RefusedBudget means that the retry budget is used up.
	RefusedBudget Reason = "retry-budget"
	// RefusedTime means that the call's time is over.
	RefusedTime Reason = "deadline"
	// RefusedPaused means that all upstreams want no calls for longer than the call can wait.
	RefusedPaused Reason = "upstreams-paused"
	// RefusedWeights means that no engine serves weights that may still be used.
	RefusedWeights Reason = "weights"
)

type (
	// Ending says how an attempt ended.
	Ending int
	// Reason says why a call was refused.
	Reason string

	// Message is an input of a Scheduler.
	Message interface{ isMessage() }

	// Ask wants an upstream for a call.
	Request struct {
		Call    spoke.CallNumber
		Service spoke.ServiceName
		// Prompt is nil for calls of plain services.
		Prompt *spoke.PromptMetadata
		// Group separates the cached prompt parts of workspaces.
		Group   string
		Urgency spoke.Priority
		// Arrived is when the caller's request was read.
		Arrived time.Time
		// Target is when an answer stops to have its full worth.
		Target time.Time
		// GapTarget is the longest pause between two events of a stream that is on time, zero if there is
		// no such target.
		GapTarget time.Duration
		// GiveUp is when the call ends without an answer.
		Deadline time.Time
		// Leaves is when the caller leaves unless an event comes, zero if it waits until GiveUp.
		LeavesAt time.Time
		// Tried lists the upstreams that had the call before.
		Tried []spoke.UpstreamID
		// IsRepeat says that an upstream has had the call, which draws on the retry budget.
		IsRetry bool
	}

	// Leave withdraws a call that waits.
	Withdraw struct{ Call spoke.CallNumber }

	// Began reports the first event or the head of the answer.
	Began struct {
		Call    spoke.CallNumber
		Load    *spoke.UpstreamLoad
		Weights spoke.WeightVersion
		// IsLeaving says that the upstream wants no new calls before it leaves.
		IsLeaving bool
	}

	// Ended reports the end of an attempt.
	Ended struct {
		Call    spoke.CallNumber
		Ending  Ending
		Load    *spoke.UpstreamLoad
		Weights spoke.WeightVersion
		// IsLeaving says that the upstream wants no new calls before it leaves.
		IsLeaving bool
		// Pause is how long the upstream wants no calls of this host.
		Pause time.Duration
	}

	// SetTable takes the services of a routing table.
	SetTable struct {
		Services map[spoke.ServiceName]spoke.ServedService
		Stores   []spoke.PromptStore
	}

	// SeeStore takes what this host, which follows the store, learned of it.
	UpdateStore struct{ State spoke.StoreState }

	// SetUpstreams takes changes of the list of upstreams.
	SetUpstreams struct {
		IsSnapshot bool
		Listed     []spoke.ListedUpstream
		Removed    []spoke.UpstreamID
	}

	// SetWeights takes a wanted weight version and how long ago it was named.
	SetWantedWeights struct {
		Wanted spoke.WantedWeights
		Age    time.Duration
		// IsGuess says that the age is not known; what another host knows replaces it.
		IsEstimate bool
	}

	// SeeWeights reports the weights that an engine was seen to serve.
	ObserveWeights struct {
		Upstream spoke.UpstreamID
		Weights  spoke.ListedWeights
	}

	// Pause keeps new calls from an engine for a time; zero ends the pause.
	Pause struct {
		Upstream spoke.UpstreamID
		For      time.Duration
	}

	// Hear takes the account of another host.
	ReceiveReport struct{ Report spoke.HostReport }

	// ForgetPeer drops the account of a host that has left.
	RemovePeer struct{ Host spoke.HostID }

	// SetCell takes the cell of this host and the number of cells.
	SetCell struct {
		Cell, Count int
		// HasTellers says that other hosts of the cell repeat to other cells what all of the cell know.
		HasDelegates bool
	}

	// Tick lets time pass.
	Tick struct{}

	// Action is an output of a Scheduler.
	Action interface{ isAction() }

	// Grant gives a call to an upstream.
	Grant struct {
		Call     spoke.CallNumber
		Upstream spoke.ListedUpstream
		Weights  spoke.WeightVersion
		// Cached is the part of the prompt that the engine is expected to have read before.
		Cached spoke.TokenCount
		// Fetched is the part that the engine copies from elsewhere.
		Fetched spoke.TokenCount
		// Fetch and Save name a place for each part of the prompt, empty for none.
		Fetch []spoke.Address
		Save  []spoke.Address
		// FetchUntil is when copies that have not ended are thrown away, zero if there are none.
		FetchUntil spoke.EngineTime
		// Predicted is the expected time to the first event.
		Predicted time.Duration
		// Waited is the time since the call arrived.
		Waited  time.Duration
		Urgency spoke.Priority
	}

	// Refuse turns a call away.
	Refuse struct {
		Call   spoke.CallNumber
		Reason Reason
		// RetryAfter is when the call is likely to be served.
		RetryAfter time.Duration
		// Backlog is the time that the work ahead is expected to take.
		Backlog time.Duration
	}

	// Contest reports that another host tells of a store that this host follows.
	StoreConflict struct{ Store spoke.ServiceName }

	// Recall ends the attempt of a call that has not begun, since its weights must not be used any more.
	Recall struct{ Call spoke.CallNumber }
)

func (Request) isMessage()          {}
func (Withdraw) isMessage()         {}
func (Began) isMessage()            {}
func (Ended) isMessage()            {}
func (SetTable) isMessage()         {}
func (SetUpstreams) isMessage()     {}
func (SetWantedWeights) isMessage() {}
func (ObserveWeights) isMessage()   {}
func (UpdateStore) isMessage()      {}
func (Pause) isMessage()            {}
func (ReceiveReport) isMessage()    {}
func (RemovePeer) isMessage()       {}
func (SetCell) isMessage()          {}
func (Tick) isMessage()             {}

func (Grant) isAction()  {}
func (Refuse) isAction() {}
func (Recall) isAction() {}

func (StoreConflict) isAction() {}
