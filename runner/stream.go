package runner

import (
	"context"
	"io"
	"time"

	"magnoliaspoke.example/spoke"
)

type (
	// stream runs the machine of one request on the goroutine that reads the answer.
	stream struct {
		runner  *Runner
		request spoke.Request
		// fingerprint identifies the request in the quarantine.
		fingerprint spoke.Fingerprint
		machine     *Machine
		ctx         context.Context
		cancel      context.CancelFunc
		// messages carries the messages of the attempt in progress. It is unbuffered, so that
		// a slow caller exerts backpressure on the upstream instead of filling memory.
		messages chan Message
		// currentAttempt is the latest attempt; cancelAttempt cancels it and is nil if no
		// attempt is in progress.
		currentAttempt spoke.AttemptID
		cancelAttempt  context.CancelFunc
		ready          []spoke.Piece
		done           bool
		refusal        *spoke.Refusal
		tickTimer      spoke.Subscription
		tickAt         time.Time
	}
)

func newStream(ctx context.Context, r *Runner, request spoke.Request) *stream {
	ctx, cancel := context.WithCancel(ctx)
	return &stream{
		runner:      r,
		request:     request,
		fingerprint: request.Fingerprint(),
		machine:     NewMachine(request),
		ctx:         ctx,
		cancel:      cancel,
		messages:    make(chan Message),
	}
}

// Next returns the next piece, io.EOF after the complete answer, or a *spoke.Refusal.
func (s *stream) Next(ctx context.Context) (spoke.Piece, error) {
	if err := s.runUntilReady(ctx); err != nil {
		return spoke.Piece{}, err
	}
	if len(s.ready) > 0 {
		piece := s.ready[0]
		s.ready = s.ready[1:]
		return piece, nil
	}
	return spoke.Piece{}, io.EOF
}

// Close cancels the request if it is not finished.
func (s *stream) Close() error {
	s.apply(s.machine.Handle(s.now(), CallerCancelled{}))
	s.cancel()
	s.disarm()
	return nil
}

// runUntilReady runs the machine until a piece is ready or the request is finished.
func (s *stream) runUntilReady(ctx context.Context) error {
	for len(s.ready) == 0 && !s.done {
		s.step(ctx)
	}
	if len(s.ready) == 0 && s.refusal != nil {
		return s.refusal
	}
	return nil
}

// step waits for one message, or for the tick if no message is pending. Messages
// take precedence: if the caller was slow to read, a message may have been pending
// since before the tick was due, and the stream must not count as idle.
func (s *stream) step(ctx context.Context) {
	s.arm()
	select {
	case message := <-s.messages:
		s.handle(message)
		return
	default:
	}
	select {
	case message := <-s.messages:
		s.handle(message)
	case <-s.ticks():
		s.disarm()
		select {
		case message := <-s.messages:
			s.handle(message)
		default:
			s.handle(Tick{})
		}
	case <-ctx.Done():
		s.handle(CallerCancelled{})
	case <-s.ctx.Done():
		s.handle(CallerCancelled{})
	}
}

func (s *stream) handle(message Message) {
	if ended, ok := message.(StreamEnded); ok {
		s.runner.record(eventAttemptEnded, s.request.ID, ended.Attempt, "", ended.Err.Error())
	}
	s.apply(s.machine.Handle(s.now(), message))
}

func (s *stream) apply(actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case Route:
			s.apply(s.machine.Handle(s.now(), s.runner.resolveRoute(s.now(), s.request, s.fingerprint, action)))
		case StartAttempt:
			s.startAttempt(action.Dispatch)
		case StopAttempt:
			s.endAttempt(false)
		case ReportDeath:
			s.runner.record(eventUpstreamDeath, s.request.ID, action.Attempt, "", "")
			s.endAttempt(true)
		case Deliver:
			s.ready = append(s.ready, action.Piece)
		case Finish:
			s.finish(action.Refusal)
		}
	}
}

func (s *stream) startAttempt(dispatch spoke.Dispatch) {
	s.endAttempt(false)
	ctx, cancel := context.WithCancel(s.ctx)
	s.currentAttempt, s.cancelAttempt = dispatch.Spec.Attempt, cancel
	s.runner.quarantine.Begin(s.now(), s.currentAttempt, dispatch.Upstream, s.fingerprint)
	s.runner.record(eventAttemptStarted, s.request.ID, s.currentAttempt, dispatch.Upstream, "")
	go s.readAttempt(ctx, dispatch)
}

// endAttempt cancels the attempt in progress, if any, and reports to the quarantine whether its
// upstream died.
func (s *stream) endAttempt(died bool) {
	if s.cancelAttempt == nil {
		return
	}
	s.cancelAttempt()
	s.cancelAttempt = nil
	s.runner.quarantine.End(s.now(), s.currentAttempt, died)
}

func (s *stream) finish(refusal *spoke.Refusal) {
	s.endAttempt(false)
	s.done = true
	s.refusal = refusal
	detail := "complete"
	if refusal != nil {
		detail = refusal.Error()
	}
	s.runner.record(eventRequestFinished, s.request.ID, "", "", detail)
	s.runner.quarantine.Leave(s.request.ID, s.fingerprint)
	s.cancel()
	s.disarm()
}

// readAttempt dispatches the attempt and sends the messages of its stream, which it closes.
func (s *stream) readAttempt(ctx context.Context, dispatch spoke.Dispatch) {
	attempt := dispatch.Spec.Attempt
	run, err := s.runner.deps.Dispatcher.Dispatch(ctx, dispatch)
	if err != nil {
		s.send(ctx, StreamEnded{Attempt: attempt, Err: err})
		return
	}
	defer func() { _ = run.Close() }()
	for {
		piece, err := run.Next(ctx)
		if err != nil {
			s.send(ctx, StreamEnded{Attempt: attempt, Err: err})
			return
		}
		if !s.send(ctx, PieceReceived{Attempt: attempt, Piece: piece}) {
			return
		}
	}
}

func (s *stream) send(ctx context.Context, message Message) bool {
	select {
	case s.messages <- message:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *stream) now() time.Time { return s.runner.deps.Timer.Now() }

// arm ensures that the timer fires no later than the machine's next tick. A timer
// that fires early is harmless, so it is not reset for each piece.
func (s *stream) arm() {
	at := s.machine.WakeAt()
	if at.IsZero() || (s.tickTimer != nil && !at.Before(s.tickAt)) {
		return
	}
	s.disarm()
	s.tickAt = at
	s.tickTimer = s.runner.deps.Timer.After(max(at.Sub(s.now()), 0))
}

func (s *stream) disarm() {
	if s.tickTimer != nil {
		s.tickTimer.Stop()
		s.tickTimer = nil
	}
}

func (s *stream) ticks() <-chan time.Time {
	if s.tickTimer == nil {
		return nil
	}
	return s.tickTimer.C()
}
