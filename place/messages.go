package place

import (
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/home"
)

const (
	// EndServed is a complete answer of the upstream.
	EndServed Ending = iota
	// EndRefused is a statement of the upstream that it did not run the call.
	EndRefused
	// EndFailed is a failure of the upstream itself.
	EndFailed
	// EndBroken is a lost connection or an answer that belongs to another call.
	EndBroken
	// EndUnreachable is a connection that could not be established.
	EndUnreachable
	// EndCancelled is a call whose caller disconnected or whose deadline has passed.
	EndCancelled
	// EndWrongVersion is a statement of the upstream that it has other weights.
	EndWrongVersion
	// EndAddressReused is a statement of another upstream that it has the address.
	EndAddressReused
	// EndWithheld is an attempt of which nothing was sent, since its upstream must not get the call any more.
	EndWithheld
)

// IsNotRun reports whether the upstream has certainly not run the call.
func (e Ending) IsNotRun() bool {
	switch e {
	case EndRefused, EndUnreachable, EndWrongVersion, EndAddressReused, EndWithheld:
		return true
	}
	return false
}

const (
	// RefusedOverload means that the call could not be served in time.
	RefusedOverload Reason = "overloaded"
	// RefusedNoUpstream means that there is no usable upstream.
	RefusedNoUpstream Reason = "no-upstream"
	// RefusedServiceRemoved means that a call that has not run would wait for a service that is no longer in the
	// table.
	RefusedServiceRemoved Reason = "service-removed"
	// RefusedBudget means that the retry budget is used up.
	RefusedBudget Reason = "retry-budget"
	// RefusedDeadline means that the call's deadline, or that of its first event, has passed or is too near.
	RefusedDeadline Reason = "deadline"
	// RefusedPaused means that all upstreams have requested pauses that last longer than the call can wait.
	RefusedPaused Reason = "upstreams-paused"
	// RefusedLimited means that all upstreams have named limits which leave no room for the call in time.
	RefusedLimited Reason = "upstreams-limited"
	// RefusedCold means that all upstreams are cold, and that their ramps leave no room for the call in time.
	RefusedCold Reason = "upstreams-cold"
	// RefusedWeights means that no engine serves a weight version that may still be used.
	RefusedWeights Reason = "weights"
	// RefusedSoftware means that no usable upstream has the software version that the call needs.
	RefusedSoftware Reason = "software-version"
	// RefusedNoHome means that no region may process the call.
	RefusedNoHome Reason = "no-home"
	// RefusedEvacuated means that the upstreams that might take the call are in evacuated data centres.
	RefusedEvacuated Reason = "evacuated"
)

type (
	// Ending says how an attempt ended.
	Ending int
	// Reason says why a call was refused.
	Reason string

	// Message is an input of a Scheduler.
	Message interface{ isMessage() }

	// Request asks for an upstream for a call.
	Request struct {
		Call    spoke.CallNumber
		Service spoke.ServiceName
		// Route and the expected output tell which earlier streams show how long this one takes.
		Route spoke.RouteName
		// Prompt is nil for calls of plain services.
		Prompt *spoke.PromptMetadata
		// Group separates the cached prompt parts of workspaces.
		Group string
		// Homes are the regions that may process the call.
		Homes   home.Set
		Urgency spoke.Priority
		// Arrived is when the caller's request was read.
		Arrived time.Time
		// Target is the time by which the answer is wanted; a later one is still served, but counts as late.
		// The scheduler compares it with the expected first event.
		Target time.Time
		// GapTarget is the longest gap between two events of a stream that is on time, zero if there is no
		// such target.
		GapTarget time.Duration
		// Deadline is when the call ends without an answer.
		Deadline time.Time
		// LeavesAt is when the caller disconnects if it has received no event, zero if it waits until
		// Deadline.
		LeavesAt time.Time
		// Tried lists the upstreams that have already been tried.
		Tried []spoke.UpstreamID
		// Only are the upstreams that may take the call, tried or not, empty if all others may.
		Only []spoke.UpstreamID
		// IsRunning says that the call is still at its last upstream, which is silent.
		IsRunning bool
		// Software is the version that the upstream must have, since it goes on with a stream that another one
		// began; empty means any.
		Software spoke.SoftwareVersion
		// NotSoftware lists versions that the upstream must not have before NotSoftwareUntil, since other hosts may not know
		// of them yet.
		NotSoftware      []spoke.SoftwareVersion
		NotSoftwareUntil time.Time
		// IsRetry says that the call was sent to an upstream before, so that it counts against the retry
		// budget.
		IsRetry bool
		// MayMove says that the call may be sent to another upstream if the next one has not begun it.
		MayMove bool
		// IsRecalled says that the call was recalled from an evacuated upstream, for which the retry budget had room.
		IsRecalled bool
	}

	// Withdraw removes a waiting call.
	Withdraw struct{ Call spoke.CallNumber }

	// Began reports the first event or the head of the answer.
	Began struct {
		Call    spoke.CallNumber
		Load    *spoke.UpstreamLoad
		Weights spoke.WeightVersion
		// IsLeaving says that the upstream is draining and wants no new calls.
		IsLeaving bool
		// NamesNoLimit says that the answer is the upstream's own and names no limit.
		NamesNoLimit bool
		// NamesNoBrittleness says that the answer is the upstream's own and does not say that it is brittle.
		NamesNoBrittleness bool
		// IsDetour says that the call was sent through another host, so that its time says nothing of the upstream.
		IsDetour bool
	}

	// LimitNamed reports, as soon as the head of an answer has been read, that it names a limit.
	LimitNamed struct {
		Call  spoke.CallNumber
		Limit spoke.RequestRate
	}

	// AnswerEnded reports that the answer to a call has ended and is not known to be whole yet.
	AnswerEnded struct{ Call spoke.CallNumber }

	// Ended reports the end of an attempt.
	Ended struct {
		Call    spoke.CallNumber
		Ending  Ending
		Load    *spoke.UpstreamLoad
		Weights spoke.WeightVersion
		// IsLeaving says that the upstream is draining and wants no new calls.
		IsLeaving bool
		// NamesNoLimit says that the answer is the upstream's own and names no limit.
		NamesNoLimit bool
		// NamesNoBrittleness says that the answer is the upstream's own and does not say that it is brittle.
		NamesNoBrittleness bool
		// IsRejectedForRoom says that the upstream did not run the call since it has no room for it.
		IsRejectedForRoom bool
		// Events is the number of events of the attempt if it is the first of its stream, Streamed the time from the
		// first to the last of them.
		Events   int
		Streamed time.Duration
		// IsDown says that the upstream accepted no connection after the attempt broke.
		IsDown bool
		// Pause is how long the upstream wants no calls from this host.
		Pause time.Duration
		// IsDetour says that the call was sent through another host, so that its time says nothing of the upstream.
		IsDetour bool
	}

	// SetTable sets the services and stores of the routing table in force.
	SetTable struct {
		Services map[spoke.ServiceName]spoke.ServedService
		Stores   []spoke.PromptStore
	}

	// UpdateStore updates the state of a store that this host follows: it observes the store and reports its
	// state to the other hosts.
	UpdateStore struct {
		State spoke.StoreState
		// At is when the call began that the store answered with the state, zero for now.
		At time.Time
	}

	// StopFollowing ends the reports of a store that this host has followed; another host may follow it.
	StopFollowing struct{ Store spoke.ServiceName }

	// SetUpstreams applies changes of the list of upstreams. With IsSnapshot, upstreams that are not listed
	// are removed.
	SetUpstreams struct {
		IsSnapshot bool
		Listed     []spoke.ListedUpstream
		Removed    []spoke.UpstreamID
		// Age bounds the time between the writing of the entries and their receipt.
		Age time.Duration
	}

	// SetWantedWeights sets a wanted weight version and how long ago it became wanted.
	SetWantedWeights struct {
		Wanted spoke.WantedWeights
		Age    time.Duration
		// At is the time at which the version had the age, zero for now.
		At time.Time
		// IsEstimate says that the age is estimated; a known age from another host replaces it.
		IsEstimate bool
		// Host is the host that reported the age, empty if the directory shows the version.
		Host spoke.HostID
		// Clock is the clock by which the host's reports tell when they were sent, zero if they do not.
		Clock spoke.ClockID
	}

	// ObserveWeights reports the weights that an engine was observed to serve.
	ObserveWeights struct {
		Upstream spoke.UpstreamID
		Weights  spoke.ServedWeights
	}

	// Pause keeps new calls from an engine for a time; zero ends the pause.
	Pause struct {
		Upstream spoke.UpstreamID
		For      time.Duration
	}

	// ReceiveReport applies the load report of another host.
	ReceiveReport struct {
		Report spoke.HostReport
		// At is when the report was received, zero for now.
		At time.Time
		// MaxDelay bounds how long the report was unread because this host was suspended.
		MaxDelay time.Duration
	}

	// RemovePeer drops the state of a host that has left.
	RemovePeer struct{ Host spoke.HostID }

	// WaysLost reports that this host has found its own ways to nearly all upstreams lost, so that its failed
	// connections say nothing of the upstreams, and what it has sent did not reach them.
	WaysLost struct{}

	// SetCell sets the cell of this host and the number of cells.
	SetCell struct {
		Cell, Count int
		// Hosts lists all hosts, Members those of this host's cell, both with this host.
		Hosts, Members []spoke.HostID
		// HasDelegates says that other hosts of the cell report its shared state to other cells.
		HasDelegates bool
	}

	// SetEvacuated sets the evacuated data centres.
	SetEvacuated struct {
		DataCentres []spoke.DataCentreID
		// Ended lists those whose evacuation has ended.
		Ended []spoke.DataCentreID
	}

	// Tick runs the decisions that depend on the time alone.
	Tick struct{}

	// Action is an output of a Scheduler.
	Action interface{ isAction() }

	// Grant assigns a call to an upstream.
	Grant struct {
		Call     spoke.CallNumber
		Upstream spoke.ListedUpstream
		Weights  spoke.WeightVersion
		// Cached is the number of prompt tokens that the engine is expected to have cached.
		Cached spoke.TokenCount
		// Fetched is the number of prompt tokens that the engine copies from stores and other engines.
		Fetched spoke.TokenCount
		// FetchSources and SaveTargets give for each part of the prompt the address that the engine copies
		// it from and the store that it saves it to, empty for none.
		FetchSources []spoke.Address
		SaveTargets  []spoke.Address
		// FetchDeadline is when the engine discards unfinished copies, zero if there are none or the engines'
		// clock is not known.
		FetchDeadline spoke.EngineTime
		// Predicted is the expected time to the first event.
		Predicted time.Duration
		// Homes are those of the request.
		Homes home.Set
		// PredictedWhole and PredictedTail are the expected times to the end of the stream, at the median and for
		// nine of ten streams, zero if nothing is known; IsAtRisk says that it may end at its deadline.
		PredictedWhole, PredictedTail time.Duration
		IsAtRisk                      bool
		// Waited is the time from the arrival of the call to the grant.
		Waited  time.Duration
		Urgency spoke.Priority
		// IsCold says that the upstream is cold.
		IsCold bool
	}

	// Refuse rejects a call.
	Refuse struct {
		Call   spoke.CallNumber
		Reason Reason
		// RetryAfter is the time after which the call is likely to be served.
		RetryAfter time.Duration
		// Backlog is the time that the work ahead of the call is expected to take.
		Backlog time.Duration
	}

	// StoreConflict reports that another host also publishes the state of a store that this host follows.
	StoreConflict struct{ Store spoke.ServiceName }

	// DoubtsIgnored reports that another host could not connect to so many upstreams of a service that it has more
	// likely lost its own ways, so that its doubts do not count.
	DoubtsIgnored struct {
		Host    spoke.HostID
		Service spoke.ServiceName
		// Doubted of Upstreams are doubted.
		Doubted, Upstreams int
	}

	// LimitChanged reports that an upstream has named another limit, or none any more.
	LimitChanged struct {
		Upstream spoke.UpstreamID
		Rate     spoke.RequestRate
		IsEnded  bool
		// Share is the part of the rate that this host uses.
		Share spoke.RequestRate
		// Host is the host that received the answer.
		Host spoke.HostID
	}

	// WantedAgeChanged reports that another time is known since which a recorded version is wanted.
	WantedAgeChanged struct {
		Wanted spoke.WantedWeights
		// Before and Age are the times since the version became wanted, as assumed so far and from now on.
		Before, Age time.Duration
		// WasEstimate says that Before was estimated.
		WasEstimate bool
		// Host is the host that reported the age, empty for the directory.
		Host spoke.HostID
	}

	// Suspended reports that the machine was suspended for a time that the scheduler's clock leaves out.
	Suspended struct{ For time.Duration }

	// Recall cancels the attempt of a call that has not begun, since its weights must not be used any more or its
	// upstream is evacuated.
	Recall struct {
		Call        spoke.CallNumber
		IsEvacuated bool
	}
)

func (Request) isMessage()          {}
func (AnswerEnded) isMessage()      {}
func (Suspended) isMessage()        {}
func (Withdraw) isMessage()         {}
func (Began) isMessage()            {}
func (LimitNamed) isMessage()       {}
func (Ended) isMessage()            {}
func (SetTable) isMessage()         {}
func (SetUpstreams) isMessage()     {}
func (SetWantedWeights) isMessage() {}
func (ObserveWeights) isMessage()   {}
func (UpdateStore) isMessage()      {}
func (StopFollowing) isMessage()    {}
func (Pause) isMessage()            {}
func (ReceiveReport) isMessage()    {}
func (RemovePeer) isMessage()       {}
func (WaysLost) isMessage()         {}
func (SetCell) isMessage()          {}
func (SetEvacuated) isMessage()     {}
func (Tick) isMessage()             {}

func (Grant) isAction()  {}
func (Refuse) isAction() {}
func (Recall) isAction() {}

func (LimitChanged) isAction()     {}
func (DoubtsIgnored) isAction()    {}
func (StoreConflict) isAction()    {}
func (WantedAgeChanged) isAction() {}
