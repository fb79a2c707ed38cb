package host_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/host"
	"magnoliaspoke.example/spoke/timer"
)

var dispatch = spoke.Dispatch{
	Spec:     spoke.RunSpec{Request: "r", Attempt: "r-1"},
	Upstream: "u1",
}

// own runs a test against an owner in virtual time; its tasks end with the test.
func own(t *testing.T, policy *policy, engine *scripted, test func(ctx context.Context, t *testing.T, owner *host.Owner)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		manifest := new(source).apply(spoke.Upstream{ID: "u1", Service: "quotes", Address: "engine"})
		test(ctx, t, host.NewOwner(ctx, manifest, policy, engine, timer.NewSystem(), noEvents{}))
	})
}

func start(ctx context.Context, t *testing.T, owner *host.Owner) spoke.RunStream {
	t.Helper()
	stream, err := owner.Run(ctx, dispatch)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = stream.Close() })
	return stream
}

// assertFreed checks that no place is held and how the last one was given up.
func assertFreed(t *testing.T, policy *policy, want spoke.AdmissionMessage) {
	t.Helper()
	synctest.Wait()
	held, ended := policy.places()
	assert.Equal(t, len(held), 0, "a place is still held")
	assert.Equal(t, len(ended), 1)
	switch last := ended[0].(type) {
	case spoke.FinishWork:
		wanted, ok := want.(spoke.FinishWork)
		assert.Assert(t, ok, "finished, not withdrawn")
		assert.Equal(t, last.Failed, wanted.Failed)
		assert.Equal(t, last.Busy, wanted.Busy)
	case spoke.WithdrawWork:
		_, ok := want.(spoke.WithdrawWork)
		assert.Assert(t, ok, "withdrawn, not finished")
	}
}

// Guards against ends of a run that keep its place at the upstream, or whose error loses
// the class on which the next attempt rests.
func TestRunEndsFreeThePlace(t *testing.T) {
	refused := errors.Join(spoke.ErrNotRun, spoke.ErrBusy)
	dead := func(context.Context, spoke.Address) (spoke.LoadReport, error) {
		return spoke.LoadReport{}, spoke.ErrNotRun
	}
	fails := func(err error) func(context.Context) (spoke.RunStream, error) {
		return func(context.Context) (spoke.RunStream, error) { return nil, err }
	}
	breaks := func(err error) func(context.Context) (spoke.RunStream, error) {
		return func(context.Context) (spoke.RunStream, error) {
			return &answer{pieces: pieces(9)[:8], final: err}, nil
		}
	}
	for _, c := range []struct {
		name   string
		engine scripted
		want   error
		tokens spoke.TokenCount
		ended  spoke.AdmissionMessage
	}{
		{"whole", scripted{run: whole(9)}, io.EOF, 9, spoke.FinishWork{}},
		{"busy", scripted{run: fails(refused)}, spoke.ErrBusy, 0, spoke.FinishWork{Failed: true, Busy: true}},
		{"not run", scripted{run: fails(refused), load: dead}, spoke.ErrNotRun, 0, spoke.FinishWork{Failed: true, Busy: true}},
		{"silent before the status line", scripted{run: func(ctx context.Context) (spoke.RunStream, error) {
			<-ctx.Done()
			return nil, context.Cause(ctx)
		}}, spoke.ErrIdleTimeout, 0, spoke.FinishWork{Failed: true}},
		{"silent before a connection", scripted{run: func(ctx context.Context) (spoke.RunStream, error) {
			<-ctx.Done()
			return nil, errors.Join(spoke.ErrNotRun, context.Cause(ctx))
		}}, spoke.ErrNotRun, 0, spoke.FinishWork{Failed: true}},
		{"silent in the stream", scripted{run: breaks(nil)}, spoke.ErrIdleTimeout, 8, spoke.FinishWork{Failed: true}},
		{"broken", scripted{run: breaks(spoke.ErrIncomplete)}, spoke.ErrIncomplete, 8, spoke.FinishWork{Failed: true}},
		{"dead", scripted{run: breaks(spoke.ErrIncomplete), load: dead}, spoke.ErrUpstreamDied, 8, spoke.FinishWork{Failed: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			policy := &policy{}
			own(t, policy, &c.engine, func(ctx context.Context, t *testing.T, owner *host.Owner) {
				tokens, err := drain(ctx, start(ctx, t, owner))
				assert.ErrorIs(t, err, c.want)
				assert.Equal(t, tokens, c.tokens)
				assertFreed(t, policy, c.ended)
			})
		})
	}
}

// Guards against a refusal of the queue that loses its reason or outcome.
func TestRefusedRun(t *testing.T) {
	refusal := spoke.RefuseNotRun(spoke.CodeOverloaded, "queue is full")
	own(t, &policy{refuse: refusal}, &scripted{}, func(ctx context.Context, t *testing.T, owner *host.Owner) {
		_, err := drain(ctx, start(ctx, t, owner))
		var got *spoke.Refusal
		assert.Assert(t, errors.As(err, &got))
		assert.DeepEqual(t, got, refusal)
	})
}

// Guards against a reader that goes away and leaves its place taken, in the queue or in the stream.
func TestReaderGoesAway(t *testing.T) {
	for _, keeps := range []bool{true, false} {
		policy := &policy{keeps: keeps}
		closed := false
		engine := &scripted{run: func(context.Context) (spoke.RunStream, error) {
			return &answer{pieces: pieces(1000), final: io.EOF, closed: &closed}, nil
		}}
		own(t, policy, engine, func(ctx context.Context, t *testing.T, owner *host.Owner) {
			stream := start(ctx, t, owner)
			piece, err := stream.Next(ctx)
			assert.NilError(t, err)
			assert.Equal(t, piece.Tokens == 0, keeps, "a queued run sends heartbeats")
			assert.NilError(t, stream.Close())
			assertFreed(t, policy, spoke.WithdrawWork{})
			assert.Equal(t, closed, !keeps, "the engine's stream is closed")
		})
	}
}

// Guards against a preempted run whose slow reader keeps the place from the urgent run.
func TestPreemptedRunWithSlowReader(t *testing.T) {
	policy := &policy{}
	own(t, policy, &scripted{run: whole(1000)}, func(ctx context.Context, t *testing.T, owner *host.Owner) {
		stream := start(ctx, t, owner)
		synctest.Wait()
		policy.preemptAll()
		pass(time.Second)
		assertFreed(t, policy, spoke.WithdrawWork{})
		_, err := drain(ctx, stream)
		assert.ErrorIs(t, err, spoke.ErrPreempted)
	})
}

// Guards against a reader's pauses that count as the engine's pace, so that a silent
// engine is noticed minutes late.
func TestSlowReaderDoesNotHideSilence(t *testing.T) {
	engine := &scripted{run: func(context.Context) (spoke.RunStream, error) {
		return &answer{pieces: pieces(36)[:35]}, nil
	}}
	own(t, &policy{}, engine, func(ctx context.Context, t *testing.T, owner *host.Owner) {
		stream := start(ctx, t, owner)
		pass(5 * time.Minute)
		began := time.Now()
		_, err := drain(ctx, stream)
		assert.ErrorIs(t, err, spoke.ErrIdleTimeout)
		assert.Assert(t, time.Since(began) < 3*time.Second, "noticed after %s", time.Since(began))
	})
}

// Guards against a stream that opens as the limit passes and stays open without a reader.
func TestLateStreamIsClosed(t *testing.T) {
	closed := false
	engine := &scripted{run: func(ctx context.Context) (spoke.RunStream, error) {
		<-ctx.Done()
		return &answer{closed: &closed}, nil
	}}
	own(t, &policy{}, engine, func(ctx context.Context, t *testing.T, owner *host.Owner) {
		_, err := drain(ctx, start(ctx, t, owner))
		assert.ErrorIs(t, err, spoke.ErrIdleTimeout)
		assert.Assert(t, closed)
	})
}
