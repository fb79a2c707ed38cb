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
		// fingerprint is the key of the request in the quarantine.
		fingerprint spoke.Fingerprint
		machine     *Machine
		ctx         context.Context
		cancel      context.CancelFunc
		// inbox carries the messages of the attempt in progress; it is unbuffered,
		// so a slow caller slows the upstream down instead of filling memory.
		inbox chan Message
		// attempt is the attempt in progress and stop its end; both are empty without one.
		attempt spoke.AttemptID
		stop    context.CancelFunc
		ready   []spoke.Piece
		done    bool
		refusal *spoke.Refusal
		wake    spoke.Subscription
		wakeAt  time.Time
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
		inbox:       make(chan Message),
	}
}

// Next returns the next piece, io.EOF after the whole answer, or a *spoke.Refusal.
func (s *stream) Next(ctx context.Context) (spoke.Piece, error) {
	if err := s.settle(ctx); err != nil {
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
	s.apply(s.machine.Handle(s.now(), CallerGone{}))
	s.cancel()
	s.disarm()
	return nil
}

// settle runs the machine until a piece is ready or the request is finished.
func (s *stream) settle(ctx context.Context) error {
	for len(s.ready) == 0 && !s.done {
		s.step(ctx)
	}
	if len(s.ready) == 0 && s.refusal != nil {
		return s.refusal
	}
	return nil
}

// step handles one message, or the timer if no message waits: while the caller
// was slow to read, messages arrived in time although nobody took them.
func (s *stream) step(ctx context.Context) {
	s.arm()
	select {
	case message := <-s.inbox:
		s.handle(message)
		return
	default:
	}
	select {
	case message := <-s.inbox:
		s.handle(message)
	case <-s.ticks():
		s.disarm()
		select {
		case message := <-s.inbox:
			s.handle(message)
		default:
			s.handle(Tick{})
		}
	case <-ctx.Done():
		s.handle(CallerGone{})
	case <-s.ctx.Done():
		s.handle(CallerGone{})
	}
}

func (s *stream) handle(message Message) {
	s.apply(s.machine.Handle(s.now(), message))
}

func (s *stream) apply(actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case Route:
			s.apply(s.machine.Handle(s.now(), s.runner.plan(s.now(), s.request, s.fingerprint, action)))
		case StartAttempt:
			s.start(action.Dispatch)
		case StopAttempt:
			s.end(false)
		case ReportDeath:
			s.runner.record("upstream-death", s.request.ID, action.Attempt, "", "")
			s.end(true)
		case Deliver:
			s.ready = append(s.ready, action.Piece)
		case Finish:
			s.finish(action.Refusal)
		}
	}
}

func (s *stream) start(dispatch spoke.Dispatch) {
	s.end(false)
	ctx, cancel := context.WithCancel(s.ctx)
	s.attempt, s.stop = dispatch.Spec.Attempt, cancel
	s.runner.quarantine.Begin(s.now(), s.attempt, dispatch.Upstream, s.fingerprint)
	s.runner.record("attempt-started", s.request.ID, s.attempt, dispatch.Upstream, "")
	go s.read(ctx, dispatch)
}

// end cancels the attempt in progress, if any, and tells the quarantine how it ended.
func (s *stream) end(died bool) {
	if s.stop == nil {
		return
	}
	s.stop()
	s.stop = nil
	s.runner.quarantine.End(s.now(), s.attempt, died)
}

func (s *stream) finish(refusal *spoke.Refusal) {
	s.end(false)
	s.done = true
	s.refusal = refusal
	detail := "complete"
	if refusal != nil {
		detail = refusal.Error()
	}
	s.runner.record("request-finished", s.request.ID, "", "", detail)
	s.runner.quarantine.Leave(s.request.ID, s.fingerprint)
	s.cancel()
	s.disarm()
}

// read passes the stream of one attempt on to the machine; it owns the stream.
func (s *stream) read(ctx context.Context, dispatch spoke.Dispatch) {
	attempt := dispatch.Spec.Attempt
	run, err := s.runner.parts.Dispatcher.Dispatch(ctx, dispatch)
	if err != nil {
		s.send(ctx, Ended{Stream: attempt, Err: err})
		return
	}
	defer func() { _ = run.Close() }()
	for {
		piece, err := run.Next(ctx)
		if err != nil {
			s.send(ctx, Ended{Stream: attempt, Err: err})
			return
		}
		if !s.send(ctx, Arrived{Stream: attempt, Piece: piece}) {
			return
		}
	}
}

func (s *stream) send(ctx context.Context, message Message) bool {
	select {
	case s.inbox <- message:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *stream) now() time.Time { return s.runner.parts.Timer.Now() }

// arm makes sure that a timer fires no later than the machine's next tick. A
// timer that fires too early is harmless, so it is not moved for each piece.
func (s *stream) arm() {
	at := s.machine.WakeAt()
	if at.IsZero() || (s.wake != nil && !at.Before(s.wakeAt)) {
		return
	}
	s.disarm()
	s.wakeAt = at
	s.wake = s.runner.parts.Timer.After(max(at.Sub(s.now()), 0))
}

func (s *stream) disarm() {
	if s.wake != nil {
		s.wake.Stop()
		s.wake = nil
	}
}

func (s *stream) ticks() <-chan time.Time {
	if s.wake == nil {
		return nil
	}
	return s.wake.C()
}
