package host_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/host"
	"magnoliaspoke.example/spoke/timer"
)

type (
	// preemptingAdmission grants each item and preempts the first one at the next tick.
	preemptingAdmission struct {
		submitted []spoke.WorkItem
		withdrawn int
		delivered int
	}

	// stallingEngine is an engine whose first run sends no token.
	stallingEngine struct {
		spoke.Engine
		runs     int
		attempts []spoke.AttemptID
	}

	stalledStream struct{ ctx context.Context }

	pieceStream struct{ pieces []spoke.Piece }

	fixedManifest struct{ manifest *spoke.Manifest }
)

func (p *preemptingAdmission) Handle(_ time.Time, message spoke.AdmissionMessage) []spoke.AdmissionAction {
	switch m := message.(type) {
	case spoke.SubmitWork:
		p.submitted = append(p.submitted, m.Item)
		return []spoke.AdmissionAction{spoke.GrantWork{Attempt: m.Item.Attempt}}
	case spoke.WithdrawWork:
		p.withdrawn++
	case spoke.ReportFirstToken:
		p.delivered++
	case spoke.AdmissionTick:
		if len(p.submitted) == 1 && p.withdrawn == 0 {
			return []spoke.AdmissionAction{spoke.PreemptWork{Attempt: p.submitted[0].Attempt}}
		}
	}
	return nil
}

func (p *preemptingAdmission) Summary(time.Time, spoke.UpstreamID) spoke.LoadSummary {
	return spoke.LoadSummary{}
}

func (e *stallingEngine) Run(ctx context.Context, _ spoke.Address, spec spoke.RunSpec) (spoke.RunStream, error) {
	e.runs++
	e.attempts = append(e.attempts, spec.Attempt)
	if e.runs == 1 {
		return stalledStream{ctx}, nil
	}
	return &pieceStream{[]spoke.Piece{{Attempt: spec.Attempt, Tokens: 1, Text: "tok ", Finish: spoke.FinishLength}}}, nil
}

func (s stalledStream) Next(context.Context) (spoke.Piece, error) {
	<-s.ctx.Done()
	return spoke.Piece{}, context.Cause(s.ctx)
}

func (stalledStream) Close() error { return nil }

func (s *pieceStream) Next(context.Context) (spoke.Piece, error) {
	if len(s.pieces) == 0 {
		return spoke.Piece{}, io.EOF
	}
	next := s.pieces[0]
	s.pieces = s.pieces[1:]
	return next, nil
}

func (*pieceStream) Close() error { return nil }

func (f fixedManifest) Current() *spoke.Manifest { return f.manifest }

// Guards against a run that is preempted before its first token and then refused for its wait
// or answered twice. It must be requeued at the owner and continue in the same stream.
func TestPreemptedRunIsRequeuedAtOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var none *spoke.Manifest
		manifest := none.Apply(spoke.Ticket{Number: 1, Objects: []spoke.Object{spoke.Upstream{ID: "u", Address: "engine"}}})
		policy, clock, engine := &preemptingAdmission{}, timer.NewSystem(), &stallingEngine{}
		owner := host.NewOwner(ctx, fixedManifest{manifest}, policy, engine, clock, noEvents{})
		stream, err := owner.Run(ctx, spoke.Dispatch{Upstream: "u", Spec: spoke.RunSpec{Attempt: "a-1"}, Preemptible: true})
		assert.NilError(t, err)
		piece, err := stream.Next(ctx)
		assert.NilError(t, err)
		assert.Equal(t, piece.Text, "tok ")
		assert.Equal(t, piece.Attempt, spoke.AttemptID("a-1"))
		// A late cancellation of the first try must not end the second one.
		assert.DeepEqual(t, engine.attempts, []spoke.AttemptID{"a-1", "a-1/2"})
		_, err = stream.Next(ctx)
		assert.ErrorIs(t, err, io.EOF)
		synctest.Wait()
		assert.Equal(t, len(policy.submitted), 2)
		assert.Assert(t, !policy.submitted[0].Resumed && policy.submitted[1].Resumed)
		assert.Equal(t, policy.withdrawn, 1)
		assert.Equal(t, policy.delivered, 1)
	})
}
