package host_test

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/timer"
)

type (
	// manifestSource is a configuration that a test can change.
	manifestSource struct {
		mu       sync.Mutex
		manifest *spoke.Manifest
	}

	// policy is an admission that grants all items at once, refuses them, or keeps them queued.
	policy struct {
		mu          sync.Mutex
		refuse      *spoke.Refusal
		keepsQueued bool
		preempt     []spoke.AttemptID
		held        []spoke.AttemptID
		ended       []spoke.AdmissionMessage
	}

	// scriptedEngine is an engine whose runs and load reports are functions of the test.
	scriptedEngine struct {
		spoke.Engine
		run  func(ctx context.Context) (spoke.RunStream, error)
		load func(ctx context.Context, at spoke.Address) (spoke.LoadReport, error)
	}

	// fakeStream is a stream of pieces that ends with an error; without one it blocks at its end.
	fakeStream struct {
		pieces []spoke.Piece
		final  error
		closed *bool
	}

	noEvents struct{}
)

func (noEvents) Record(spoke.Event) {}

func (s *manifestSource) Current() *spoke.Manifest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.manifest
}

func (s *manifestSource) apply(objects ...spoke.Object) *manifestSource {
	s.mu.Lock()
	defer s.mu.Unlock()
	number := spoke.TicketNumber(1)
	if s.manifest != nil {
		number = s.manifest.Number + 1
	}
	s.manifest = s.manifest.Apply(spoke.Ticket{Number: number, Objects: objects})
	return s
}

func (p *policy) Handle(_ time.Time, message spoke.AdmissionMessage) []spoke.AdmissionAction {
	p.mu.Lock()
	defer p.mu.Unlock()
	var actions []spoke.AdmissionAction
	switch m := message.(type) {
	case spoke.SubmitWork:
		if p.refuse != nil {
			return []spoke.AdmissionAction{spoke.RefuseWork{Attempt: m.Item.Attempt, Refusal: p.refuse}}
		}
		p.held = append(p.held, m.Item.Attempt)
		if !p.keepsQueued {
			actions = append(actions, spoke.GrantWork{Attempt: m.Item.Attempt})
		}
	case spoke.FinishWork:
		p.end(m.Attempt, m)
	case spoke.WithdrawWork:
		p.end(m.Attempt, m)
	case spoke.AdmissionTick:
		for _, attempt := range p.preempt {
			actions = append(actions, spoke.PreemptWork{Attempt: attempt})
		}
		p.preempt = nil
	}
	return actions
}

func (p *policy) end(attempt spoke.AttemptID, message spoke.AdmissionMessage) {
	p.held = slices.DeleteFunc(p.held, func(id spoke.AttemptID) bool { return id == attempt })
	p.ended = append(p.ended, message)
}

func (p *policy) Summary(time.Time, spoke.UpstreamID) spoke.LoadSummary { return spoke.LoadSummary{} }

func (p *policy) preemptAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.preempt = slices.Clone(p.held)
}

// slots returns the attempts that hold or wait for a slot, and the messages that ended others.
func (p *policy) slots() ([]spoke.AttemptID, []spoke.AdmissionMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.held), slices.Clone(p.ended)
}

func (e *scriptedEngine) Run(ctx context.Context, _ spoke.Address, _ spoke.RunSpec) (spoke.RunStream, error) {
	return e.run(ctx)
}

func (e *scriptedEngine) Load(ctx context.Context, at spoke.Address) (spoke.LoadReport, error) {
	if e.load == nil {
		return spoke.LoadReport{}, nil
	}
	return e.load(ctx, at)
}

func (s *fakeStream) Next(ctx context.Context) (spoke.Piece, error) {
	if len(s.pieces) > 0 {
		piece := s.pieces[0]
		s.pieces = s.pieces[1:]
		return piece, ctx.Err()
	}
	if s.final != nil {
		return spoke.Piece{}, s.final
	}
	<-ctx.Done()
	return spoke.Piece{}, context.Cause(ctx)
}

func (s *fakeStream) Close() error {
	if s.closed != nil {
		*s.closed = true
	}
	return nil
}

// answerPieces returns a complete answer of a number of pieces with one token each.
func answerPieces(count int) []spoke.Piece {
	all := make([]spoke.Piece, count)
	for i := range all {
		all[i] = spoke.Piece{Attempt: "r-1", Offset: spoke.TokenCount(i), Tokens: 1, Text: "text"}
	}
	all[count-1].Finish = spoke.FinishStop
	return all
}

// readTokens reads a stream up to its error and counts the tokens.
func readTokens(ctx context.Context, stream spoke.RunStream) (spoke.TokenCount, error) {
	tokens := spoke.TokenCount(0)
	for {
		piece, err := stream.Next(ctx)
		if err != nil {
			return tokens, err
		}
		tokens += piece.Tokens
	}
}

// sleep waits for a duration of virtual time.
func sleep(d time.Duration) { <-timer.NewSystem().After(d).C() }

func fullAnswer(count int) func(context.Context) (spoke.RunStream, error) {
	return func(context.Context) (spoke.RunStream, error) {
		return &fakeStream{pieces: answerPieces(count), final: io.EOF}, nil
	}
}
