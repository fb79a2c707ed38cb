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

var ownedDispatch = spoke.Dispatch{
	Spec:     spoke.RunSpec{Request: "r", Attempt: "r-1"},
	Upstream: "u1",
}

// withOwner runs a test against an owner in virtual time; its tasks end with the test.
func withOwner(t *testing.T, policy *policy, engine *scriptedEngine, test func(ctx context.Context, t *testing.T, owner *host.Owner)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		manifest := new(manifestSource).apply(spoke.Upstream{ID: "u1", Service: "quotes", Address: "engine"})
		test(ctx, t, host.NewOwner(ctx, manifest, policy, engine, timer.NewSystem(), noEvents{}))
	})
}

func startRun(ctx context.Context, t *testing.T, owner *host.Owner) spoke.RunStream {
	t.Helper()
	stream, err := owner.Run(ctx, ownedDispatch)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = stream.Close() })
	return stream
}

// assertSlotFreed checks that no slot is held and which message freed the only one.
func assertSlotFreed(t *testing.T, policy *policy, want spoke.AdmissionMessage) {
	t.Helper()
	synctest.Wait()
	held, ended := policy.slots()
	assert.Equal(t, len(held), 0, "a slot is still held")
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

// Guards against an ended run that keeps its slot at the upstream, and against an error without
// the class that decides on the next attempt.
func TestEndedRunFreesSlot(t *testing.T) {
	refused := errors.Join(spoke.ErrNotRun, spoke.ErrBusy)
	dead := func(context.Context, spoke.Address) (spoke.LoadReport, error) {
		return spoke.LoadReport{}, spoke.ErrNotRun
	}
	fails := func(err error) func(context.Context) (spoke.RunStream, error) {
		return func(context.Context) (spoke.RunStream, error) { return nil, err }
	}
	breaks := func(err error) func(context.Context) (spoke.RunStream, error) {
		return func(context.Context) (spoke.RunStream, error) {
			return &fakeStream{pieces: answerPieces(9)[:8], final: err}, nil
		}
	}
	for _, c := range []struct {
		name   string
		engine scriptedEngine
		want   error
		tokens spoke.TokenCount
		ended  spoke.AdmissionMessage
	}{
		{"whole", scriptedEngine{run: fullAnswer(9)}, io.EOF, 9, spoke.FinishWork{}},
		{"busy", scriptedEngine{run: fails(refused)}, spoke.ErrBusy, 0, spoke.FinishWork{Failed: true, Busy: true}},
		{"not run", scriptedEngine{run: fails(refused), load: dead}, spoke.ErrNotRun, 0, spoke.FinishWork{Failed: true, Busy: true}},
		{"silent before the status line", scriptedEngine{run: func(ctx context.Context) (spoke.RunStream, error) {
			<-ctx.Done()
			return nil, context.Cause(ctx)
		}}, spoke.ErrIdleTimeout, 0, spoke.FinishWork{Failed: true}},
		{"silent before a connection", scriptedEngine{run: func(ctx context.Context) (spoke.RunStream, error) {
			<-ctx.Done()
			return nil, errors.Join(spoke.ErrNotRun, context.Cause(ctx))
		}}, spoke.ErrNotRun, 0, spoke.FinishWork{Failed: true}},
		{"silent in the stream", scriptedEngine{run: breaks(nil)}, spoke.ErrIdleTimeout, 8, spoke.FinishWork{Failed: true}},
		{"broken", scriptedEngine{run: breaks(spoke.ErrIncomplete)}, spoke.ErrIncomplete, 8, spoke.FinishWork{Failed: true}},
		{"dead", scriptedEngine{run: breaks(spoke.ErrIncomplete), load: dead}, spoke.ErrUpstreamDied, 8, spoke.FinishWork{Failed: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			policy := &policy{}
			withOwner(t, policy, &c.engine, func(ctx context.Context, t *testing.T, owner *host.Owner) {
				tokens, err := readTokens(ctx, startRun(ctx, t, owner))
				assert.ErrorIs(t, err, c.want)
				assert.Equal(t, tokens, c.tokens)
				assertSlotFreed(t, policy, c.ended)
			})
		})
	}
}

// Guards against a refusal by the admission whose reason or outcome is lost.
func TestRefusalIsReturned(t *testing.T) {
	refusal := spoke.RefuseNotRun(spoke.CodeOverloaded, "queue is full")
	withOwner(t, &policy{refuse: refusal}, &scriptedEngine{}, func(ctx context.Context, t *testing.T, owner *host.Owner) {
		_, err := readTokens(ctx, startRun(ctx, t, owner))
		var got *spoke.Refusal
		assert.Assert(t, errors.As(err, &got))
		assert.DeepEqual(t, got, refusal)
	})
}

// Guards against a closed stream whose run keeps its slot or its place in the queue.
func TestClosedStreamFreesSlot(t *testing.T) {
	for _, keeps := range []bool{true, false} {
		policy := &policy{keepsQueued: keeps}
		closed := false
		engine := &scriptedEngine{run: func(context.Context) (spoke.RunStream, error) {
			return &fakeStream{pieces: answerPieces(1000), final: io.EOF, closed: &closed}, nil
		}}
		withOwner(t, policy, engine, func(ctx context.Context, t *testing.T, owner *host.Owner) {
			stream := startRun(ctx, t, owner)
			piece, err := stream.Next(ctx)
			assert.NilError(t, err)
			assert.Equal(t, piece.Tokens == 0, keeps, "a queued run sends heartbeats")
			assert.NilError(t, stream.Close())
			assertSlotFreed(t, policy, spoke.WithdrawWork{})
			assert.Equal(t, closed, !keeps, "the engine's stream is closed")
		})
	}
}

// Guards against a preempted run whose slow reader keeps its slot from the urgent run.
func TestSlowReaderDoesNotKeepPreemptedSlot(t *testing.T) {
	policy := &policy{}
	withOwner(t, policy, &scriptedEngine{run: fullAnswer(1000)}, func(ctx context.Context, t *testing.T, owner *host.Owner) {
		stream := startRun(ctx, t, owner)
		synctest.Wait()
		policy.preemptAll()
		sleep(time.Second)
		assertSlotFreed(t, policy, spoke.WithdrawWork{})
		_, err := readTokens(ctx, stream)
		assert.ErrorIs(t, err, spoke.ErrPreempted)
	})
}

// Guards against pauses of the reader that count as gaps of the engine, so that a silent engine
// is detected minutes late.
func TestSlowReaderDoesNotDelayIdleTimeout(t *testing.T) {
	engine := &scriptedEngine{run: func(context.Context) (spoke.RunStream, error) {
		return &fakeStream{pieces: answerPieces(36)[:35]}, nil
	}}
	withOwner(t, &policy{}, engine, func(ctx context.Context, t *testing.T, owner *host.Owner) {
		stream := startRun(ctx, t, owner)
		sleep(5 * time.Minute)
		started := time.Now()
		_, err := readTokens(ctx, stream)
		assert.ErrorIs(t, err, spoke.ErrIdleTimeout)
		assert.Assert(t, time.Since(started) < 3*time.Second, "detected after %s", time.Since(started))
	})
}

// pausingStream pauses before its last pieces.
type pausingStream struct {
	*fakeStream
	left  int
	pause time.Duration
}

func (s *pausingStream) Next(ctx context.Context) (spoke.Piece, error) {
	if len(s.pieces) == s.left {
		s.left = -1
		select {
		case <-timer.NewSystem().After(s.pause).C():
		case <-ctx.Done():
			return spoke.Piece{}, context.Cause(ctx)
		}
	}
	return s.fakeStream.Next(ctx)
}

// Guards against an answer that ends because its engine is silent for up to two seconds, before the first piece or
// between pieces that came fast, and goes on.
func TestShortSilenceEndsNoStream(t *testing.T) {
	for _, left := range []int{36, 4} {
		engine := &scriptedEngine{run: func(context.Context) (spoke.RunStream, error) {
			return &pausingStream{&fakeStream{pieces: answerPieces(36), final: io.EOF}, left, 1900 * time.Millisecond}, nil
		}}
		withOwner(t, &policy{}, engine, func(ctx context.Context, t *testing.T, owner *host.Owner) {
			tokens, err := readTokens(ctx, startRun(ctx, t, owner))
			assert.ErrorIs(t, err, io.EOF)
			assert.Equal(t, tokens, spoke.TokenCount(36))
		})
	}
}

// Guards against a stream that opens as the timeout passes and stays open without a reader.
func TestStreamOpenedAfterTimeoutIsClosed(t *testing.T) {
	closed := false
	engine := &scriptedEngine{run: func(ctx context.Context) (spoke.RunStream, error) {
		<-ctx.Done()
		return &fakeStream{closed: &closed}, nil
	}}
	withOwner(t, &policy{}, engine, func(ctx context.Context, t *testing.T, owner *host.Owner) {
		_, err := readTokens(ctx, startRun(ctx, t, owner))
		assert.ErrorIs(t, err, spoke.ErrIdleTimeout)
		assert.Assert(t, closed)
	})
}
