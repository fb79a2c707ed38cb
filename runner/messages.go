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
	// Routed is the result of a Route.
	Routed struct {
		// Version is the model version that the upstreams serve.
		Version spoke.ModelVersion
		// Upstreams are the usable upstreams, the best first.
		Upstreams []spoke.UpstreamID
		Keys      []spoke.BlockKey
		Cost      spoke.TokenCount
		Priority  spoke.Priority
		// Solo is set if the request is suspected of crashing upstreams and must run in isolation.
		Solo bool
		// MustWait is set if an identical suspected request is running in isolation.
		MustWait bool
		// BudgetExhausted is set if the retry budget allows no further attempt.
		BudgetExhausted bool
		// Refusal, if not nil, finishes the request.
		Refusal *spoke.Refusal
	}
	// PieceReceived is a piece from the stream of an attempt.
	PieceReceived struct {
		Attempt spoke.AttemptID
		Piece   spoke.Piece
	}
	// StreamEnded reports the end of an attempt's stream. Err is io.EOF at the regular end,
	// after a piece with a finish reason, else the cause of the failure.
	StreamEnded struct {
		Attempt spoke.AttemptID
		Err     error
	}
	// Tick triggers the actions that are due at the current time.
	Tick struct{}
	// CallerCancelled reports that the caller no longer waits for the answer.
	CallerCancelled struct{}

	// Action is an output of a Machine.
	Action interface{ isAction() }

	// Route requests upstreams for the next attempts; Routed is its result.
	Route struct {
		// Version is the version of the text delivered so far; empty allows any version.
		Version spoke.ModelVersion
		Exclude map[spoke.UpstreamID]bool
		// Avoid holds the versions that upstreams refused because they serve another one.
		Avoid map[spoke.ModelVersion]bool
		// Prefer is the upstream to try first if it is usable, since its prefix cache holds the
		// run's tokens.
		Prefer spoke.UpstreamID
		// Retry is set if the attempt follows a failure and needs a withdrawal from the retry
		// budget.
		Retry bool
	}
	// StartAttempt dispatches an attempt to the owner of its upstream.
	StartAttempt struct{ Dispatch spoke.Dispatch }
	// StopAttempt cancels an attempt; its later messages are ignored.
	StopAttempt struct{ Attempt spoke.AttemptID }
	// ReportDeath reports that the upstream died while it ran the attempt.
	ReportDeath struct{ Attempt spoke.AttemptID }
	// Deliver passes a piece to the caller.
	Deliver struct{ Piece spoke.Piece }
	// Finish ends the request; a nil refusal means that the answer is complete.
	Finish struct{ Refusal *spoke.Refusal }

	// State is the state of a request.
	State string
)

const (
	// StateReceived is the state before the first route.
	StateReceived State = "received"
	// StateQueued is the state of a request that waits for a route or for its next round.
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
	// minIdleLimit is the lower bound of the idle limit. Owners send a heartbeat every
	// second, so a shorter limit would time out on one late heartbeat.
	minIdleLimit = 2 * time.Second
	// maxIdleLimit is the upper bound of the idle limit, for streams with long gaps.
	maxIdleLimit = 10 * time.Second
	// idleFactor is the idle limit in mean gaps between messages; with heartbeats alone
	// the limit is 3 s.
	idleFactor = 3
	// gapWeight is the weight of the latest gap in the moving average.
	gapWeight = 0.2

	// maxFailures bounds the failed attempts that may have run, apart from preemptions and
	// owner losses within their own bounds.
	maxFailures = 4
	// maxRefusals bounds the upstreams that are tried in one round, that is for one route.
	maxRefusals = 3
	// maxVersions bounds the versions that a request avoids after refusals.
	maxVersions = 3
	// maxPreemptions bounds how often a request is preempted by urgent work.
	maxPreemptions = 64
	// maxRounds bounds the waits for another round since the last delivered token.
	maxRounds = 12
	// maxRoundsUndelivered is the same bound before the first token is delivered. Its
	// backoffs add up to 5 s, longer than the 4 s until a dead owner is replaced. After
	// that, a refusal with a retry hint is more useful to the caller.
	maxRoundsUndelivered = 6
	// maxOwnerLosses bounds the attempts whose owner was lost. They don't count as
	// failures, since attempts at a dead owner fail fast until it is replaced.
	maxOwnerLosses = 32
	// maxStreamFailures is the number of failed streams after which an upstream is excluded;
	// a single broken connection is little evidence against the upstream.
	maxStreamFailures = 2

	// minBackoff and maxBackoff bound the backoff between rounds.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// defaultRetryAfter is the retry hint of refusals without one; heartbeats announce new
	// upstreams within a second.
	defaultRetryAfter = time.Second
)

func (Begin) isMessage()           {}
func (Routed) isMessage()          {}
func (PieceReceived) isMessage()   {}
func (StreamEnded) isMessage()     {}
func (Tick) isMessage()            {}
func (CallerCancelled) isMessage() {}

func (Route) isAction()        {}
func (StartAttempt) isAction() {}
func (StopAttempt) isAction()  {}
func (ReportDeath) isAction()  {}
func (Deliver) isAction()      {}
func (Finish) isAction()       {}
