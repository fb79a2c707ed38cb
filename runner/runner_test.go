package runner_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/runner"
)

// readAll makes the request and returns the text of its answer, up to an error.
func readAll(ctx context.Context, r *runner.Runner, request spoke.Request) (string, error) {
	stream, err := r.Complete(ctx, request)
	if err != nil {
		return "", err
	}
	defer func() { _ = stream.Close() }()
	var all string
	for {
		piece, err := stream.Next(ctx)
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return all, err
		}
		all += piece.Text
	}
}

// Guards against answers that mix attempts, lose or repeat tokens or are truncated
// without an error, and against the outcome "not run" after an attempt has run.
func TestAnswersAreCompleteOrErrors(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawDispatcher(rt)
		prompt := rapid.StringN(0, 8, -1).Draw(rt, "prompt")
		var got string
		var err error
		synctest.Test(t, func(*testing.T) {
			got, err = readAll(context.Background(), newRunner(s), request(prompt))
		})
		want := text(prompt, "v1", 0, answerTokens)
		if err == nil {
			assert.Equal(rt, got, want)
			return
		}
		assert.Assert(rt, len(got) <= len(want) && want[:len(got)] == got, "got %q, want a prefix of %q", got, want)
		var refusal *spoke.Refusal
		assert.Assert(rt, errors.As(err, &refusal), "%v", err)
		assert.Equal(rt, refusal.Request, spoke.RequestID("r1"))
		if refusal.Outcome == spoke.OutcomeNotRun {
			assert.Equal(rt, s.ran, 0)
		}
		assert.Assert(rt, s.refused > 0 || s.failed >= 4, "gave up after %d failures: %v", s.failed, err)
	})
}

// Guards against further attempts after a round of refusals, which would bypass the
// retry budget, and against a wait before the refusal although nothing has run.
func TestRefusedRoundEndsWithoutDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedDispatcher{attempts: []attemptScript{{end: "overloaded"}, {end: "overloaded"}, {end: "overloaded"}, {end: "overloaded"}}}
		began := time.Now()
		_, err := readAll(context.Background(), newRunner(s), request("p"))
		var refusal *spoke.Refusal
		assert.Assert(t, errors.As(err, &refusal))
		assert.Equal(t, refusal.Code, spoke.CodeOverloaded)
		assert.Equal(t, refusal.Outcome, spoke.OutcomeNotRun)
		assert.Equal(t, refusal.RetryAfter, 100*time.Millisecond)
		assert.Equal(t, s.started, 3)
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}

// Guards against an idle stream that never times out, and against a resume at
// the wrong token offset.
func TestIdleStreamResumesAtItsOffset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedDispatcher{attempts: []attemptScript{{end: "silent", stopAt: 5, delay: 40 * time.Millisecond}}}
		began := time.Now()
		got, err := readAll(context.Background(), newRunner(s), request("p"))
		assert.NilError(t, err)
		assert.Equal(t, got, text("p", "v1", 0, answerTokens))
		assert.Equal(t, s.dispatches[1].Spec.ResumeFrom, spoke.TokenCount(5))
		assert.Equal(t, s.dispatches[1].Spec.Delivered, text("p", "v1", 0, 5))
		assert.Equal(t, s.dispatches[1].Upstream, s.dispatches[0].Upstream)
		assert.Assert(t, s.dispatches[1].Spec.Attempt != s.dispatches[0].Spec.Attempt)
		assert.Assert(t, time.Since(began) >= 2*time.Second && time.Since(began) < 3*time.Second, "%s", time.Since(began))
	})
}

// Guards against an answer that is cut because its engine was silent beyond the idle limit and no engine takes the rest
// for most of a second.
func TestIdleStreamSurvivesRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedDispatcher{attempts: []attemptScript{{end: "silent", stopAt: 5, delay: 40 * time.Millisecond}}}
		for range 6 {
			s.attempts = append(s.attempts, attemptScript{end: "overloaded"})
		}
		began := time.Now()
		got, err := readAll(context.Background(), newRunner(s), request("p"))
		assert.NilError(t, err)
		assert.Equal(t, got, text("p", "v1", 0, answerTokens))
		assert.Assert(t, time.Since(began) > 2500*time.Millisecond, "%s", time.Since(began))
	})
}

// Guards against attempts that continue after the caller cancelled or the deadline passed.
func TestCancellationAndDeadlineStopWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		s := &scriptedDispatcher{attempts: []attemptScript{{end: "silent", stopAt: 3}}}
		_, err := readAll(ctx, newRunner(s), request("p"))
		var refusal *spoke.Refusal
		assert.Assert(t, errors.As(err, &refusal))
		assert.Equal(t, refusal.Code, spoke.CodeCancelled)

		limited := request("p")
		limited.Deadline = time.Now().Add(time.Second)
		s = &scriptedDispatcher{attempts: []attemptScript{{end: "silent", stopAt: 3}}}
		_, err = readAll(context.Background(), newRunner(s), limited)
		assert.Assert(t, errors.As(err, &refusal))
		assert.Equal(t, refusal.Code, spoke.CodeDeadline)
		assert.Equal(t, refusal.Outcome, spoke.OutcomeUnknown)
		assert.Equal(t, s.started, 1)
	})
}

type emptyBudget struct{ deposits, withdrawals int }

func (b *emptyBudget) Deposit(spoke.WorkspaceID) { b.deposits++ }

func (b *emptyBudget) Withdraw(spoke.WorkspaceID) bool {
	b.withdrawals++
	return false
}

// Guards against retries that multiply the load: without budget no second attempt starts
// after a failure. A preempted attempt is not a failure and needs no budget.
func TestRetriesNeedBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := &emptyBudget{}
		s := &scriptedDispatcher{attempts: []attemptScript{{end: "cut", stopAt: 3}}}
		got, err := readAll(context.Background(), newRunner(s, runner.WithBudget(budget)), request("p"))
		assert.ErrorContains(t, err, "no retry budget")
		assert.Equal(t, got, text("p", "v1", 0, 3))
		assert.Equal(t, s.started, 1)
		assert.Equal(t, budget.deposits, 1)
		assert.Assert(t, budget.withdrawals > 1)

		s = &scriptedDispatcher{attempts: []attemptScript{{end: "preempted", stopAt: 3}, {end: "busy"}}}
		got, err = readAll(context.Background(), newRunner(s, runner.WithBudget(&emptyBudget{})), request("p"))
		assert.NilError(t, err)
		assert.Equal(t, got, text("p", "v1", 0, answerTokens))
	})
}

// Guards against requests that fail in the seconds until a dead owner is replaced.
func TestRetriesUntilLostOwnerIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedDispatcher{}
		for range 25 {
			s.attempts = append(s.attempts, attemptScript{end: "owner-lost"})
		}
		got, err := readAll(context.Background(), newRunner(s), request("p"))
		assert.NilError(t, err)
		assert.Equal(t, got, text("p", "v1", 0, answerTokens))
		assert.Equal(t, s.started, 26)
	})
}

// Guards against an answer that mixes model versions while upstreams swap models, and
// against refusals while upstreams serve only the old version.
func TestAnswersKeepTheirVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old := map[spoke.UpstreamID]spoke.ModelVersion{
			"engine-0": "v0", "engine-1": "v0", "engine-2": "v0", "engine-3": "v0", "engine-4": "v0",
		}
		got, err := readAll(context.Background(), newRunner(&scriptedDispatcher{versions: old}), request("p"))
		assert.NilError(t, err)
		assert.Equal(t, got, text("p", "v0", 0, answerTokens))

		s := &scriptedDispatcher{attempts: []attemptScript{{end: "cut", stopAt: 5}, {end: "cut", stopAt: 7}}}
		s.versions = map[spoke.UpstreamID]spoke.ModelVersion{"engine-1": "v0", "engine-2": "v0", "engine-3": "v0"}
		got, err = readAll(context.Background(), newRunner(s), request("p"))
		assert.NilError(t, err)
		assert.Equal(t, got, text("p", "v1", 0, answerTokens))
		assert.Equal(t, s.dispatches[2].Upstream, spoke.UpstreamID("engine-4"))

		s = &scriptedDispatcher{attempts: []attemptScript{{end: "cut", stopAt: 5}, {end: "cut", stopAt: 7}, {end: "died", stopAt: 8}}}
		s.versions = map[spoke.UpstreamID]spoke.ModelVersion{"engine-1": "v0", "engine-2": "v0", "engine-3": "v0", "engine-4": "v0"}
		got, err = readAll(context.Background(), newRunner(s), request("p"))
		assert.NilError(t, err)
		assert.Equal(t, got, text("p", "v1", 0, answerTokens))
	})
}
