package runner

import (
	"time"

	"magnoliaspoke.example/spoke"
)

type (
	// Message is an input of a Machine.
	Message interface{ isMessage() }

	// Begin starts the request.
	Begin struct{}
	// Routed answers a Route.
	Routed struct {
		// Version is the model version that the upstreams serve.
		Version spoke.ModelVersion
		// Upstreams are usable upstreams, the best first.
		Upstreams []spoke.UpstreamID
		Keys      []spoke.BlockKey
		Cost      spoke.TokenCount
		Priority  spoke.Priority
		// Solo says that the request is suspected to crash upstreams.
		Solo bool
		// Held says that the same suspect runs elsewhere and this one has to wait.
		Held bool
		// Denied says that the retry budget is used up.
		Denied bool
		// Refusal ends the request at once.
		Refusal *spoke.Refusal
	}
	// Arrived passes on a piece from the stream of an attempt.
	Arrived struct {
		Stream spoke.AttemptID
		Piece  spoke.Piece
	}
	// Ended reports the end of an attempt's stream; io.EOF follows the end mark.
	Ended struct {
		Stream spoke.AttemptID
		Err    error
	}
	// Tick lets time pass.
	Tick struct{}
	// CallerGone reports that nobody waits for the answer.
	CallerGone struct{}

	// Action is an output of a Machine.
	Action interface{ isAction() }

	// Route asks for upstreams; the answer is Routed.
	Route struct {
		// Version is the version to stay with; empty means the one in force.
		Version spoke.ModelVersion
		Exclude map[spoke.UpstreamID]bool
		// Avoid lists versions that upstreams refused because they serve another one.
		Avoid map[spoke.ModelVersion]bool
		// Prefer is the upstream to ask first if it is usable; it holds the run's cache.
		Prefer spoke.UpstreamID
		// Retry says that the attempt follows a failure and takes from the retry budget.
		Retry bool
	}
	// StartAttempt hands an attempt to the owner of its upstream.
	StartAttempt struct{ Dispatch spoke.Dispatch }
	// StopAttempt cancels an attempt; its later messages are ignored.
	StopAttempt struct{ Attempt spoke.AttemptID }
	// ReportDeath reports that the upstream died while it ran the attempt.
	ReportDeath struct{ Attempt spoke.AttemptID }
	// Deliver passes a piece on to the caller.
	Deliver struct{ Piece spoke.Piece }
	// Finish ends the request; a nil refusal means that the answer is complete.
	Finish struct{ Refusal *spoke.Refusal }

	// State is the state of a request.
	State string
)

const (
	// StateReceived is the state before the first route.
	StateReceived State = "received"
	// StateQueued is the state of a request that waits for a route or for its next attempt.
	StateQueued State = "queued"
	// StateDispatched is the state of a request whose attempt has delivered nothing yet.
	StateDispatched State = "dispatched"
	// StateStreaming is the state of a request whose attempt delivers tokens.
	StateStreaming State = "streaming"
	// StateFinished is the state after the final answer.
	StateFinished State = "finished"
)

const (
	eventAttemptStarted  spoke.EventKind = "attempt-started"
	eventAttemptEnded    spoke.EventKind = "attempt-ended"
	eventUpstreamDeath   spoke.EventKind = "upstream-death"
	eventRequestFinished spoke.EventKind = "request-finished"
)

const (
	// minIdle is the least idle limit; owners send a heartbeat every second, so
	// a shorter limit would take one late heartbeat for silence.
	minIdle = 2 * time.Second
	// maxIdle bounds the idle limit of streams with a slow pace.
	maxIdle = 10 * time.Second
	// idleFactor is the number of usual gaps between messages that count as
	// silence; with heartbeats alone it gives 3 s.
	idleFactor = 3
	// paceWeight is the weight of the newest gap in the moving pace.
	paceWeight = 0.2

	// maxFailures bounds the attempts that may fail after work may have run.
	maxFailures = 4
	// maxRefusals bounds the upstreams that are asked in one round.
	maxRefusals = 3
	// maxVersions bounds the versions that one request gives up on.
	maxVersions = 3
	// maxPreemptions bounds how often one request gives way to urgent work.
	maxPreemptions = 64
	// maxRounds bounds how often a request that has run waits for a place to resume.
	maxRounds = 12
	// maxRoundsUndelivered is the same bound while the caller has no token yet. Its
	// 5 s outlast the 4 s after which a dead owner is replaced; beyond that, a
	// final answer with a retry hint serves the caller better.
	maxRoundsUndelivered = 6
	// maxOwnerLosses bounds the attempts whose owner was lost. They do not count
	// as failures of the upstream: a dead owner fails fast until it is replaced.
	maxOwnerLosses = 32
	// sameUpstreamTries is how often one upstream may break a stream before the
	// request leaves it; a single broken connection says little about the upstream.
	sameUpstreamTries = 2

	// minPause and maxPause bound the backoff between rounds.
	minPause = 100 * time.Millisecond
	maxPause = 2 * time.Second
	// noUpstreamHint is the retry hint without a better one; heartbeats tell of
	// new upstreams within a second.
	noUpstreamHint = time.Second
)

func (Begin) isMessage()      {}
func (Routed) isMessage()     {}
func (Arrived) isMessage()    {}
func (Ended) isMessage()      {}
func (Tick) isMessage()       {}
func (CallerGone) isMessage() {}

func (Route) isAction()        {}
func (StartAttempt) isAction() {}
func (StopAttempt) isAction()  {}
func (ReportDeath) isAction()  {}
func (Deliver) isAction()      {}
func (Finish) isAction()       {}
