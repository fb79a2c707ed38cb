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
	// Machine is the life of one request; it is pure and single-threaded.
	Machine struct {
		request spoke.Request
		state   State
		answer  answer
		// version is the version of the delivered text, empty before the first token.
		version spoke.ModelVersion
		last    spoke.Piece

		attempt  attempt
		attempts int
		route    Routed
		next     int
		exclude  map[spoke.UpstreamID]bool
		// avoid holds versions that a round did not find, and wrong the upstreams that
		// refused the version of the present round.
		avoid  map[spoke.ModelVersion]bool
		wrong  map[spoke.UpstreamID]bool
		broken map[spoke.UpstreamID]int
		prefer spoke.UpstreamID

		ran         bool
		failures    int
		ownerLosses int
		preemptions int
		rounds      int
		refused     []*spoke.Refusal
		// retry says that the next route follows a failure.
		retry  bool
		resume time.Time
		cause  error
	}

	// attempt is the current attempt; its id is empty when none is in progress.
	attempt struct {
		id       spoke.AttemptID
		upstream spoke.UpstreamID
		version  spoke.ModelVersion
		heard    time.Time
		// pace is the moving gap between messages, in seconds.
		pace float64
		// answered says that a piece of any kind has arrived.
		answered bool
		ended    bool
	}
)

// NewMachine returns a machine for the request.
func NewMachine(request spoke.Request) *Machine {
	return &Machine{
		request: request,
		state:   StateReceived,
		exclude: make(map[spoke.UpstreamID]bool),
		avoid:   make(map[spoke.ModelVersion]bool),
		wrong:   make(map[spoke.UpstreamID]bool),
		broken:  make(map[spoke.UpstreamID]int),
	}
}

// State returns the state of the request.
func (m *Machine) State() State { return m.state }

// Attempt returns the attempt in progress, empty if there is none.
func (m *Machine) Attempt() spoke.AttemptID { return m.attempt.id }

// WakeAt returns the time of the next Tick that matters; zero means none.
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
	earlier(m.resume)
	if m.attempt.id != "" {
		earlier(m.attempt.heard.Add(m.attempt.idleLimit()))
	}
	return at
}

// Handle takes one message and returns the actions that follow from it.
func (m *Machine) Handle(now time.Time, message Message) []Action {
	if m.state == StateFinished {
		return nil
	}
	switch message := message.(type) {
	case Begin:
		return m.ask()
	case Routed:
		return m.routed(now, message)
	case Arrived:
		return m.arrived(now, message)
	case Ended:
		return m.ended(now, message)
	case Tick:
		return m.tick(now)
	case CallerGone:
		return m.abandon(spoke.CodeCancelled, "caller went away")
	}
	return nil
}

func (m *Machine) ask() []Action {
	m.resume = time.Time{}
	m.state = StateQueued
	route := Route{Version: m.version, Exclude: maps.Clone(m.exclude), Avoid: maps.Clone(m.avoid), Prefer: m.prefer, Retry: m.retry}
	return []Action{route}
}

func (m *Machine) routed(now time.Time, route Routed) []Action {
	switch {
	case route.Refusal != nil:
		return m.finish(m.final(route.Refusal))
	case route.Denied:
		return m.pause(now, m.brokenRefusal("no retry budget is left"))
	case route.Held:
		return m.hold(now)
	}
	m.retry, m.refused = false, nil
	m.route, m.next = route, 0
	if len(route.Upstreams) == 0 {
		return m.exhausted(now)
	}
	return m.start(now)
}

func (m *Machine) start(now time.Time) []Action {
	m.attempts++
	m.attempt = attempt{
		id:       spoke.AttemptID(fmt.Sprintf("%s-%d", m.request.ID, m.attempts)),
		upstream: m.route.Upstreams[m.next],
		version:  m.route.Version,
		heard:    now,
		pace:     time.Second.Seconds(),
	}
	m.next++
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
			Delivered:  m.answer.text.String(),
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

func (m *Machine) arrived(now time.Time, message Arrived) []Action {
	if m.attempt.id == "" || message.Stream != m.attempt.id {
		return nil
	}
	m.attempt.hear(now)
	piece := message.Piece
	if piece.Tokens == 0 && piece.Finish == "" {
		return []Action{Deliver{Piece: spoke.Piece{Attempt: m.attempt.id, Offset: m.answer.tokens}}}
	}
	if piece.Attempt != m.attempt.id {
		return nil
	}
	m.ran = true
	if piece.Version != m.attempt.version {
		return m.broke(now, errOtherVersion)
	}
	fresh, err := m.answer.add(piece)
	if err != nil {
		return m.broke(now, err)
	}
	if piece.Finish != "" {
		m.attempt.ended = true
		m.last = piece
	}
	if fresh.Tokens == 0 {
		return nil
	}
	m.version = m.attempt.version
	m.state = StateStreaming
	m.rounds = 0
	// The finish mark goes out only after the end of the stream.
	fresh.Finish, fresh.Usage = "", spoke.Usage{}
	return []Action{Deliver{Piece: fresh}}
}

func (m *Machine) ended(now time.Time, message Ended) []Action {
	if m.attempt.id == "" || message.Stream != m.attempt.id {
		return nil
	}
	if errors.Is(message.Err, io.EOF) {
		if !m.attempt.ended {
			m.ran = true
			return m.failed(now, spoke.ErrIncomplete)
		}
		return m.complete()
	}
	return m.failed(now, message.Err)
}

func (m *Machine) complete() []Action {
	usage := m.last.Usage
	usage.Completion = m.answer.tokens
	last := spoke.Piece{
		Attempt: m.attempt.id,
		Version: m.attempt.version,
		Offset:  m.answer.tokens,
		Finish:  m.last.Finish,
		Usage:   usage,
	}
	return append([]Action{Deliver{Piece: last}}, m.finish(nil)...)
}

func (m *Machine) tick(now time.Time) []Action {
	if deadline := m.request.Deadline; !deadline.IsZero() && !now.Before(deadline) {
		return m.abandon(spoke.CodeDeadline, "deadline passed")
	}
	if m.attempt.id != "" && !now.Before(m.attempt.heard.Add(m.attempt.idleLimit())) {
		m.ran = true
		return m.broke(now, spoke.ErrIdleTimeout)
	}
	if !m.resume.IsZero() && !now.Before(m.resume) {
		return m.ask()
	}
	return nil
}

func (m *Machine) finish(refusal *spoke.Refusal) []Action {
	m.state = StateFinished
	m.attempt = attempt{}
	return []Action{Finish{Refusal: refusal}}
}

func (a *attempt) hear(now time.Time) {
	gap := now.Sub(a.heard).Seconds()
	a.heard = now
	if !a.answered {
		a.answered = true
		return
	}
	a.pace += paceWeight * (gap - a.pace)
}

func (a *attempt) idleLimit() time.Duration {
	limit := time.Duration(idleFactor * a.pace * float64(time.Second))
	return min(max(limit, minIdle), maxIdle)
}
