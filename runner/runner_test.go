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

// gather reads an answer to its end.
func gather(ctx context.Context, r *runner.Runner, request spoke.Request) (string, error) {
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

// Guards against answers that mix attempts, lose or repeat tokens, end short
// without an error, or claim "not run" after a run.
func TestAnswersAreWholeOrErrors(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScript(rt)
		prompt := rapid.StringN(0, 8, -1).Draw(rt, "prompt")
		var got string
		var err error
		synctest.Test(t, func(*testing.T) {
			got, err = gather(context.Background(), newRunner(s), request(prompt))
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

// Guards against repeats beside the retry budget, and against a final answer
// that waits although nothing can follow.
func TestRefusalsAreFinalAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{acts: []act{{end: "overloaded"}, {end: "overloaded"}, {end: "overloaded"}, {end: "overloaded"}}}
		began := time.Now()
		_, err := gather(context.Background(), newRunner(s), request("p"))
		var refusal *spoke.Refusal
		assert.Assert(t, errors.As(err, &refusal))
		assert.Equal(t, refusal.Code, spoke.CodeOverloaded)
		assert.Equal(t, refusal.Outcome, spoke.OutcomeNotRun)
		assert.Equal(t, refusal.RetryAfter, 100*time.Millisecond)
		assert.Equal(t, s.started, 3)
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}

// Guards against a silent stream that is never left, and against a resume at
// the wrong place.
func TestSilentStreamResumesAtItsOffset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{acts: []act{{end: "silent", stop: 5, delay: 40 * time.Millisecond}}}
		began := time.Now()
		got, err := gather(context.Background(), newRunner(s), request("p"))
		assert.NilError(t, err)
		assert.Equal(t, got, text("p", "v1", 0, answerTokens))
		assert.Equal(t, s.seen[1].Spec.ResumeFrom, spoke.TokenCount(5))
		assert.Equal(t, s.seen[1].Spec.Delivered, text("p", "v1", 0, 5))
		assert.Equal(t, s.seen[1].Upstream, s.seen[0].Upstream)
		assert.Assert(t, s.seen[1].Spec.Attempt != s.seen[0].Spec.Attempt)
		assert.Assert(t, time.Since(began) >= 2*time.Second && time.Since(began) < 3*time.Second, "%s", time.Since(began))
	})
}

// Guards against work that goes on after the caller left or its deadline passed.
func TestCallerLeavesAndDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, leave := context.WithTimeout(context.Background(), time.Second)
		defer leave()
		s := &script{acts: []act{{end: "silent", stop: 3}}}
		_, err := gather(ctx, newRunner(s), request("p"))
		var refusal *spoke.Refusal
		assert.Assert(t, errors.As(err, &refusal))
		assert.Equal(t, refusal.Code, spoke.CodeCancelled)

		limited := request("p")
		limited.Deadline = time.Now().Add(time.Second)
		s = &script{acts: []act{{end: "silent", stop: 3}}}
		_, err = gather(context.Background(), newRunner(s), limited)
		assert.Assert(t, errors.As(err, &refusal))
		assert.Equal(t, refusal.Code, spoke.CodeDeadline)
		assert.Equal(t, refusal.Outcome, spoke.OutcomeUnknown)
		assert.Equal(t, s.started, 1)
	})
}

type spent struct{ deposits, asked int }

func (s *spent) Deposit(spoke.WorkspaceID) { s.deposits++ }

func (s *spent) Withdraw(spoke.WorkspaceID) bool {
	s.asked++
	return false
}

// Guards against failures that multiply load: without budget no second attempt starts.
func TestRetriesTakeFromTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := &spent{}
		s := &script{acts: []act{{end: "cut", stop: 3}}}
		got, err := gather(context.Background(), newRunner(s, runner.WithBudget(budget)), request("p"))
		assert.ErrorContains(t, err, "no retry budget")
		assert.Equal(t, got, text("p", "v1", 0, 3))
		assert.Equal(t, s.started, 1)
		assert.Equal(t, budget.deposits, 1)
		assert.Assert(t, budget.asked > 1)

		s = &script{acts: []act{{end: "preempted", stop: 3}, {end: "busy"}}}
		got, err = gather(context.Background(), newRunner(s, runner.WithBudget(&spent{})), request("p"))
		assert.NilError(t, err)
		assert.Equal(t, got, text("p", "v1", 0, answerTokens))
	})
}

// Guards against requests given up in the seconds before a dead owner is replaced.
func TestLostOwnersAreOutlasted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{}
		for range 25 {
			s.acts = append(s.acts, act{end: "owner-lost"})
		}
		got, err := gather(context.Background(), newRunner(s), request("p"))
		assert.NilError(t, err)
		assert.Equal(t, got, text("p", "v1", 0, answerTokens))
		assert.Equal(t, s.started, 26)
	})
}

// Guards against an answer that mixes model versions while upstreams swap, and
// against refusals while only the old version serves.
func TestAnswersKeepTheirVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old := map[spoke.UpstreamID]spoke.ModelVersion{
			"engine-0": "v0", "engine-1": "v0", "engine-2": "v0", "engine-3": "v0", "engine-4": "v0",
		}
		got, err := gather(context.Background(), newRunner(&script{versions: old}), request("p"))
		assert.NilError(t, err)
		assert.Equal(t, got, text("p", "v0", 0, answerTokens))

		s := &script{acts: []act{{end: "cut", stop: 5}, {end: "cut", stop: 7}}}
		s.versions = map[spoke.UpstreamID]spoke.ModelVersion{"engine-1": "v0", "engine-2": "v0", "engine-3": "v0"}
		got, err = gather(context.Background(), newRunner(s), request("p"))
		assert.NilError(t, err)
		assert.Equal(t, got, text("p", "v1", 0, answerTokens))
		assert.Equal(t, s.seen[2].Upstream, spoke.UpstreamID("engine-4"))

		s = &script{acts: []act{{end: "cut", stop: 5}, {end: "cut", stop: 7}, {end: "died", stop: 8}}}
		s.versions = map[spoke.UpstreamID]spoke.ModelVersion{"engine-1": "v0", "engine-2": "v0", "engine-3": "v0", "engine-4": "v0"}
		got, err = gather(context.Background(), newRunner(s), request("p"))
		assert.NilError(t, err)
		assert.Equal(t, got, text("p", "v1", 0, answerTokens))
	})
}
