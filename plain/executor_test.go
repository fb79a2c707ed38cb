package plain_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/crash"
	"magnoliaspoke.example/spoke/plain"
)

type result struct {
	id     spoke.RequestID
	call   spoke.ServiceCall
	answer spoke.PlainAnswer
	err    error
}

func refusalIn(err error) *spoke.Refusal {
	var refusal *spoke.Refusal
	errors.As(err, &refusal)
	return refusal
}

// Guards against a booking that runs twice, a false "not run", and an answer
// that belongs to other content.
func TestBookingsRunAtMostOnce(t *testing.T) {
	callActs := []string{"", "refused", "unreachable", "not-run", "cut", "silent"}
	claimActs := []string{"", "", "", "outage", "lost"}
	rapid.Check(t, func(rt *rapid.T) {
		u := newUpstreams(rapid.SliceOfN(rapid.SampledFrom(callActs), 0, 10).Draw(rt, "calls")...)
		table := newClaims(rapid.SliceOfN(rapid.SampledFrom(claimActs), 0, 20).Draw(rt, "claims")...)
		var calls []spoke.ServiceCall
		for i := range rapid.IntRange(1, 10).Draw(rt, "count") {
			key := spoke.IdempotencyKey(rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "key"))
			call := booking(spoke.RequestID(fmt.Sprintf("r%d", i)), key, rapid.SampledFrom([]string{"x", "x", "x", "y"}).Draw(rt, "body"))
			calls = append(calls, call)
		}
		deadline := time.Duration(rapid.SampledFrom([]int{0, 200, 3000}).Draw(rt, "deadline")) * time.Millisecond
		together := rapid.Bool().Draw(rt, "together")
		if together {
			u.delay = 120 * time.Millisecond
		}
		var results []result
		synctest.Test(t, func(*testing.T) { results = book(newExecutor(u, table), calls, deadline, together) })
		checkBookings(rt, u, results)
	})
}

func book(e *plain.Executor, calls []spoke.ServiceCall, deadline time.Duration, together bool) []result {
	results := make([]result, len(calls))
	var group sync.WaitGroup
	for i, call := range calls {
		group.Go(func() {
			if together {
				// Calls overlap in a fixed order, so that a failure can be reproduced.
				<-time.After(time.Duration(i) * 50 * time.Millisecond)
			}
			if deadline > 0 {
				call.Deadline = time.Now().Add(deadline)
			}
			answer, err := e.Call(context.Background(), call)
			results[i] = result{call.ID, call, answer, err}
		})
		if !together {
			group.Wait()
		}
	}
	group.Wait()
	e.Wait()
	return results
}

func checkBookings(t *rapid.T, u *upstreams, results []result) {
	for key, runs := range u.runs {
		assert.Assert(t, runs <= 1, "key %s ran %d times", key, runs)
	}
	owner := make(map[string]spoke.ServiceCall)
	for _, r := range results {
		owner[string(r.id)+"-1"] = r.call
	}
	for _, r := range results {
		if r.err == nil {
			first := owner[string(r.answer.Body)]
			assert.Equal(t, first.Key, r.call.Key)
			assert.DeepEqual(t, first.Body, r.call.Body)
			assert.Equal(t, r.answer.Header.Get("X-Spoke-Replayed") == "true", first.ID != r.id)
			continue
		}
		refusal := refusalIn(r.err)
		assert.Assert(t, refusal != nil, "%v", r.err)
		if refusal.Outcome == spoke.OutcomeNotRun {
			assert.Equal(t, u.byRequest[r.id], 0)
		}
	}
}

// Guards against answers to repeats of a key that do not tell its state.
func TestRepeatsOfAKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u, table := newUpstreams(), newClaims()
		e := newExecutor(u, table)
		ctx := context.Background()
		first, err := e.Call(ctx, booking("r1", "a", "x"))
		assert.NilError(t, err)
		again, err := e.Call(ctx, booking("r2", "a", "x"))
		assert.NilError(t, err)
		assert.DeepEqual(t, again.Body, first.Body)
		assert.Equal(t, again.Header.Get("X-Spoke-Replayed"), "true")
		_, err = e.Call(ctx, booking("r3", "a", "y"))
		assert.Equal(t, refusalIn(err).Code, spoke.CodeKeyConflict)

		record := table.records[spoke.ClaimID{Workspace: "sialkot", Service: "orders", Key: "a"}]
		record.Answer = nil
		table.records[record.ID] = record
		_, err = e.Call(ctx, booking("r4", "a", "x"))
		assert.Equal(t, refusalIn(err).Code, spoke.CodeAlreadyRun)
		record.State = spoke.ClaimHeld
		table.records[record.ID] = record
		_, err = e.Call(ctx, booking("r5", "a", "x"))
		assert.Equal(t, refusalIn(err).Code, spoke.CodeInProgress)
		assert.Assert(t, refusalIn(err).RetryAfter > 0)
		assert.Equal(t, u.runs["a"], 1)
	})
}

// Guards against a claim that survives a call which did not run, and against a
// caller whose departure loses the answer for its repeat.
func TestClaimsFollowTheRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u, table := newUpstreams("unreachable"), newClaims()
		e := newExecutor(u, table)
		_, err := e.Call(context.Background(), booking("r1", "a", "x"))
		assert.Equal(t, refusalIn(err).Outcome, spoke.OutcomeNotRun)
		assert.Equal(t, len(table.records), 0)
		assert.Assert(t, u.seen[0].Call.FreshConnection)

		left, leave := context.WithCancel(context.Background())
		leaving := &leavingCaller{upstreams: u, leave: leave}
		e = newExecutor(leaving, table)
		_, err = e.Call(left, booking("r2", "a", "x"))
		assert.Equal(t, refusalIn(err).Outcome, spoke.OutcomeUnknown)
		e.Wait()
		again, err := e.Call(context.Background(), booking("r3", "a", "x"))
		assert.NilError(t, err)
		assert.Equal(t, string(again.Body), "r2-1")
	})
}

// leavingCaller lets the caller leave while its call runs.
type leavingCaller struct {
	*upstreams
	leave context.CancelFunc
}

func (l *leavingCaller) Call(ctx context.Context, dispatch spoke.CallDispatch) (spoke.PlainAnswer, error) {
	l.leave()
	synctest.Wait()
	if ctx.Err() != nil {
		return spoke.PlainAnswer{}, ctx.Err()
	}
	return l.upstreams.Call(ctx, dispatch)
}

// Guards against repeats of a call without a key, and against lost repeats of a
// repeatable one.
func TestRepeatsWithoutClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newUpstreams("cut")
		_, err := newExecutor(u, newClaims("outage")).Call(context.Background(), booking("r1", "", "x"))
		assert.Equal(t, refusalIn(err).Outcome, spoke.OutcomeUnknown)
		assert.Equal(t, len(u.seen), 1)

		u = newUpstreams("silent", "unreachable", "cut", "")
		lookup := booking("r2", "", "")
		lookup.Path = "/stock/7"
		answer, err := newExecutor(u, newClaims("outage")).Call(context.Background(), lookup)
		assert.NilError(t, err)
		assert.Equal(t, string(answer.Body), "r2-4")
		assert.Assert(t, !u.seen[0].Call.FreshConnection && u.seen[1].Call.FreshConnection)

		u = newUpstreams("not-run", "refused", "not-run")
		_, err = newExecutor(u, newClaims()).Call(context.Background(), lookup)
		assert.Equal(t, refusalIn(err).Outcome, spoke.OutcomeNotRun)
		assert.Equal(t, len(u.seen), 3)
	})
}

// Guards against a call that kills upstream after upstream.
func TestCrashingCallIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newUpstreams("died", "died", "died")
		e := newExecutor(u, newClaims(), plain.WithQuarantine(crash.New()))
		lookup := booking("r1", "", "")
		lookup.Path = "/stock/7"
		for range 2 {
			_, err := e.Call(context.Background(), lookup)
			assert.Equal(t, refusalIn(err).Code, spoke.CodeQuarantined)
			assert.Equal(t, len(u.seen), 2)
		}
	})
}

// Guards against a slow platform that holds a booking back, and against an
// encoded path that passes for a repeatable call.
func TestPlatformOutAndEncodedPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newUpstreams()
		e := newExecutor(u, newClaims("outage"))
		call := booking("r1", "a", "x")
		call.Path = "/b%6Fokings/7"
		_, err := e.Call(context.Background(), call)
		assert.Equal(t, refusalIn(err).Code, spoke.CodePlatformUnavailable)
		assert.Equal(t, refusalIn(err).Outcome, spoke.OutcomeNotRun)
		assert.Assert(t, refusalIn(err).RetryAfter > 0)
		assert.Equal(t, len(u.seen), 0)
		e.Wait()
	})
}
