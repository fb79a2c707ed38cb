package runner

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"time"

	"magnoliaspoke.example/spoke"
)

type (
	// Machine is the state machine of one request. It is pure and not safe for
	// concurrent use.
	Machine struct {
		request spoke.Request
		state   State
		answer  answer
		// version is the model version of the delivered text, empty before the first token.
		version    spoke.ModelVersion
		finalPiece spoke.Piece

		attempt      attempt
		attempts     int
		route        Routed
		nextUpstream int
		exclude      map[spoke.UpstreamID]bool
		// avoid holds the versions that no upstream of a round served; wrongVersion holds
		// the upstreams that refused the version of the current round.
		avoid          map[spoke.ModelVersion]bool
		wrongVersion   map[spoke.UpstreamID]bool
		streamFailures map[spoke.UpstreamID]int
		prefer         spoke.UpstreamID

		mayHaveRun  bool
		failures    int
		ownerLosses int
		preemptions int
		rounds      int
		refusals    []*spoke.Refusal
		// isRetry is set if the next route follows a failure.
		isRetry  bool
		resumeAt time.Time
		lastErr  error
	}

	// attempt is the current attempt; its id is empty when none is in progress.
	attempt struct {
		id           spoke.AttemptID
		upstream     spoke.UpstreamID
		version      spoke.ModelVersion
		lastReceived time.Time
		// meanGap is the moving average of the time between messages, in seconds.
		meanGap float64
		// hasReceived is set once any piece has been received.
		hasReceived bool
		hasFinish   bool
	}
)

// NewMachine returns a machine for the request.
func NewMachine(request spoke.Request) *Machine {
	return &Machine{
		request:        request,
		state:          StateReceived,
		exclude:        make(map[spoke.UpstreamID]bool),
		avoid:          make(map[spoke.ModelVersion]bool),
		wrongVersion:   make(map[spoke.UpstreamID]bool),
		streamFailures: make(map[spoke.UpstreamID]int),
	}
}

// State returns the state of the request.
func (m *Machine) State() State { return m.state }

// Attempt returns the attempt in progress, empty if there is none.
func (m *Machine) Attempt() spoke.AttemptID { return m.attempt.id }

// WakeAt returns the time at which the machine needs its next Tick; zero means never.
func (m *Machine) WakeAt() time.Time {
	var at time.Time
	earlier := func(t time.Time) {
		if !t.IsZero() && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	if m.state == StateFinished {
		return at
	}
	earlier(m.request.Deadline)
	earlier(m.resumeAt)
	if m.attempt.id != "" {
		earlier(m.attempt.lastReceived.Add(m.attempt.idleLimit()))
	}
	return at
}

// Handle processes one message and returns the resulting actions.
func (m *Machine) Handle(now time.Time, message Message) []Action {
	if m.state == StateFinished {
		return nil
	}
	switch message := message.(type) {
	case Begin:
		return m.requestRoute()
	case Routed:
		return m.handleRouted(now, message)
	case PieceReceived:
		return m.handlePiece(now, message)
	case StreamEnded:
		return m.handleStreamEnd(now, message)
	case Tick:
		return m.handleTick(now)
	case CallerCancelled:
		return m.abandon(spoke.CodeCancelled, "caller went away")
	}
	return nil
}

func (m *Machine) requestRoute() []Action {
	m.resumeAt = time.Time{}
	m.state = StateQueued
	route := Route{Version: m.version, Exclude: maps.Clone(m.exclude), Avoid: maps.Clone(m.avoid), Prefer: m.prefer, Retry: m.isRetry}
	return []Action{route}
}

func (m *Machine) handleRouted(now time.Time, routed Routed) []Action {
	switch {
	case routed.Refusal != nil:
		return m.finish(m.finalRefusal(routed.Refusal))
	case routed.BudgetExhausted:
		return m.waitOrFinish(now, m.failureRefusal("no retry budget is left"))
	case routed.MustWait:
		return m.waitForSolo(now)
	}
	m.isRetry, m.refusals = false, nil
	m.route, m.nextUpstream = routed, 0
	if len(routed.Upstreams) == 0 {
		return m.endRound(now)
	}
	return m.startAttempt(now)
}

func (m *Machine) startAttempt(now time.Time) []Action {
	m.attempts++
	m.attempt = attempt{
		id:           spoke.AttemptID(fmt.Sprintf("%s-%d", m.request.ID, m.attempts)),
		upstream:     m.route.Upstreams[m.nextUpstream],
		version:      m.route.Version,
		lastReceived: now,
		meanGap:      time.Second.Seconds(),
	}
	m.nextUpstream++
	m.state = StateDispatched
	return []Action{StartAttempt{Dispatch: m.dispatch()}}
}

func (m *Machine) dispatch() spoke.Dispatch {
	return spoke.Dispatch{
		Spec: spoke.RunSpec{
			Request:    m.request.ID,
			Attempt:    m.attempt.id,
			Workspace:  m.request.Workspace,
			Service:    m.request.Service,
			Model:      m.request.Model,
			Version:    m.attempt.version,
			Adapter:    m.request.Adapter,
			Prompt:     m.request.Prompt,
			MaxTokens:  m.request.MaxTokens,
			Priority:   m.route.Priority,
			ResumeFrom: m.answer.tokens,
			Delivered:  m.answer.delivered.String(),
		},
		Upstream:    m.attempt.upstream,
		Rank:        m.request.Rank,
		Cost:        m.route.Cost,
		Solo:        m.route.Solo,
		Preemptible: m.preemptions < maxPreemptions,
		Deadline:    m.request.Deadline,
		Keys:        m.route.Keys,
	}
}

func (m *Machine) handlePiece(now time.Time, message PieceReceived) []Action {
	if m.attempt.id == "" || message.Attempt != m.attempt.id {
		return nil
	}
	m.attempt.observeMessage(now)
	piece := message.Piece
	if piece.Tokens == 0 && piece.Finish == "" {
		return []Action{Deliver{Piece: spoke.Piece{Attempt: m.attempt.id, Offset: m.answer.tokens}}}
	}
	if piece.Attempt != m.attempt.id {
		return nil
	}
	m.mayHaveRun = true
	if piece.Version != m.attempt.version {
		return m.stopAndFail(now, errVersionMismatch)
	}
	fresh, err := m.answer.add(piece)
	if err != nil {
		return m.stopAndFail(now, err)
	}
	if piece.Finish != "" {
		m.attempt.hasFinish = true
		m.finalPiece = piece
	}
	if fresh.Tokens == 0 {
		return nil
	}
	m.version = m.attempt.version
	m.state = StateStreaming
	m.rounds = 0
	// The finish reason and the usage are delivered only after the end of the stream.
	fresh.Finish, fresh.Usage = "", spoke.Usage{}
	return []Action{Deliver{Piece: fresh}}
}

func (m *Machine) handleStreamEnd(now time.Time, message StreamEnded) []Action {
	if m.attempt.id == "" || message.Attempt != m.attempt.id {
		return nil
	}
	if errors.Is(message.Err, io.EOF) {
		if !m.attempt.hasFinish {
			m.mayHaveRun = true
			return m.handleFailure(now, spoke.ErrIncomplete)
		}
		return m.complete()
	}
	return m.handleFailure(now, message.Err)
}

func (m *Machine) complete() []Action {
	usage := m.finalPiece.Usage
	usage.Completion = m.answer.tokens
	last := spoke.Piece{
		Attempt: m.attempt.id,
		Version: m.attempt.version,
		Offset:  m.answer.tokens,
		Finish:  m.finalPiece.Finish,
		Usage:   usage,
	}
	return append([]Action{Deliver{Piece: last}}, m.finish(nil)...)
}

func (m *Machine) handleTick(now time.Time) []Action {
	if deadline := m.request.Deadline; !deadline.IsZero() && !now.Before(deadline) {
		return m.abandon(spoke.CodeDeadline, "deadline passed")
	}
	if m.attempt.id != "" && !now.Before(m.attempt.lastReceived.Add(m.attempt.idleLimit())) {
		m.mayHaveRun = true
		return m.stopAndFail(now, spoke.ErrIdleTimeout)
	}
	if !m.resumeAt.IsZero() && !now.Before(m.resumeAt) {
		return m.requestRoute()
	}
	return nil
}

func (m *Machine) finish(refusal *spoke.Refusal) []Action {
	m.state = StateFinished
	m.attempt = attempt{}
	return []Action{Finish{Refusal: refusal}}
}

func (a *attempt) observeMessage(now time.Time) {
	gap := now.Sub(a.lastReceived).Seconds()
	a.lastReceived = now
	if !a.hasReceived {
		a.hasReceived = true
		return
	}
	a.meanGap += gapWeight * (gap - a.meanGap)
}

func (a *attempt) idleLimit() time.Duration {
	limit := time.Duration(idleFactor * a.meanGap * float64(time.Second))
	return min(max(limit, minIdleLimit), maxIdleLimit)
}
