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

// Guards against a booking that runs twice, a call wrongly reported as not run, and a
// replayed answer that belongs to a call with other content.
func TestBookingsRunAtMostOnce(t *testing.T) {
	callBehaviours := []string{"", "refused", "unreachable", "not-run", "cut", "silent"}
	claimBehaviours := []string{"", "", "", "outage", "lost"}
	rapid.Check(t, func(rt *rapid.T) {
		u := newFakeUpstreams(rapid.SliceOfN(rapid.SampledFrom(callBehaviours), 0, 10).Draw(rt, "calls")...)
		table := newFakeClaims(rapid.SliceOfN(rapid.SampledFrom(claimBehaviours), 0, 20).Draw(rt, "claims")...)
		var calls []spoke.ServiceCall
		for i := range rapid.IntRange(1, 10).Draw(rt, "count") {
			key := spoke.IdempotencyKey(rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "key"))
			call := booking(spoke.RequestID(fmt.Sprintf("r%d", i)), key, rapid.SampledFrom([]string{"x", "x", "x", "y"}).Draw(rt, "body"))
			calls = append(calls, call)
		}
		deadline := time.Duration(rapid.SampledFrom([]int{0, 200, 3000}).Draw(rt, "deadline")) * time.Millisecond
		concurrent := rapid.Bool().Draw(rt, "concurrent")
		if concurrent {
			u.delay = 120 * time.Millisecond
		}
		var results []result
		synctest.Test(t, func(*testing.T) { results = makeCalls(newExecutor(u, table), calls, deadline, concurrent) })
		checkBookings(rt, u, results)
	})
}

func makeCalls(e *plain.Executor, calls []spoke.ServiceCall, deadline time.Duration, concurrent bool) []result {
	results := make([]result, len(calls))
	var group sync.WaitGroup
	for i, call := range calls {
		group.Go(func() {
			if concurrent {
				// Calls overlap and start in a fixed order, so that failures are reproducible.
				<-time.After(time.Duration(i) * 50 * time.Millisecond)
			}
			if deadline > 0 {
				call.Deadline = time.Now().Add(deadline)
			}
			answer, err := e.Call(context.Background(), call)
			results[i] = result{call.ID, call, answer, err}
		})
		if !concurrent {
			group.Wait()
		}
	}
	group.Wait()
	e.Wait()
	return results
}

func checkBookings(t *rapid.T, u *fakeUpstreams, results []result) {
	for key, runs := range u.runs {
		assert.Assert(t, runs <= 1, "key %s ran %d times", key, runs)
	}
	callsByAttempt := make(map[string]spoke.ServiceCall)
	for _, r := range results {
		callsByAttempt[string(r.id)+"-1"] = r.call
	}
	for _, r := range results {
		if r.err == nil {
			first := callsByAttempt[string(r.answer.Body)]
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

// Guards against wrong answers to repeats of an idempotency key: a completed call is
// replayed, other content, a missing answer and a call in progress are refused.
func TestRepeatedIdempotencyKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u, table := newFakeUpstreams(), newFakeClaims()
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

// Guards against a claim that stays held after a call that did not run, and against an
// answer that is not recorded because the caller disconnected before it arrived.
func TestClaimFollowsOutcomeOfRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u, table := newFakeUpstreams("unreachable"), newFakeClaims()
		e := newExecutor(u, table)
		_, err := e.Call(context.Background(), booking("r1", "a", "x"))
		assert.Equal(t, refusalIn(err).Outcome, spoke.OutcomeNotRun)
		assert.Equal(t, len(table.records), 0)
		assert.Assert(t, u.dispatches[0].Call.FreshConnection)

		callerCtx, disconnect := context.WithCancel(context.Background())
		disconnecting := &disconnectingCaller{fakeUpstreams: u, disconnect: disconnect}
		e = newExecutor(disconnecting, table)
		_, err = e.Call(callerCtx, booking("r2", "a", "x"))
		assert.Equal(t, refusalIn(err).Outcome, spoke.OutcomeUnknown)
		e.Wait()
		again, err := e.Call(context.Background(), booking("r3", "a", "x"))
		assert.NilError(t, err)
		assert.Equal(t, string(again.Body), "r2-1")
	})
}

// disconnectingCaller cancels the caller's context while its call runs.
type disconnectingCaller struct {
	*fakeUpstreams
	disconnect context.CancelFunc
}

func (d *disconnectingCaller) Call(ctx context.Context, dispatch spoke.CallDispatch) (spoke.PlainAnswer, error) {
	d.disconnect()
	synctest.Wait()
	if ctx.Err() != nil {
		return spoke.PlainAnswer{}, ctx.Err()
	}
	return d.fakeUpstreams.Call(ctx, dispatch)
}

// Guards against retries of a non-repeatable call without a key, and against missing
// retries of a repeatable call.
func TestRetriesWithoutClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newFakeUpstreams("cut")
		_, err := newExecutor(u, newFakeClaims("outage")).Call(context.Background(), booking("r1", "", "x"))
		assert.Equal(t, refusalIn(err).Outcome, spoke.OutcomeUnknown)
		assert.Equal(t, len(u.dispatches), 1)

		u = newFakeUpstreams("silent", "unreachable", "cut", "")
		lookup := booking("r2", "", "")
		lookup.Path = "/stock/7"
		answer, err := newExecutor(u, newFakeClaims("outage")).Call(context.Background(), lookup)
		assert.NilError(t, err)
		assert.Equal(t, string(answer.Body), "r2-4")
		assert.Assert(t, !u.dispatches[0].Call.FreshConnection && u.dispatches[1].Call.FreshConnection)

		u = newFakeUpstreams("not-run", "refused", "not-run")
		_, err = newExecutor(u, newFakeClaims()).Call(context.Background(), lookup)
		assert.Equal(t, refusalIn(err).Outcome, spoke.OutcomeNotRun)
		assert.Equal(t, len(u.dispatches), 3)
	})
}

// Guards against a call that crashes one upstream after another.
func TestCrashingCallIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newFakeUpstreams("died", "died", "died")
		e := newExecutor(u, newFakeClaims(), plain.WithQuarantine(crash.New()))
		lookup := booking("r1", "", "")
		lookup.Path = "/stock/7"
		for range 2 {
			_, err := e.Call(context.Background(), lookup)
			assert.Equal(t, refusalIn(err).Code, spoke.CodeQuarantined)
			assert.Equal(t, len(u.dispatches), 2)
		}
	})
}

// Guards against a booking that waits, or runs without a claim, while the platform is
// unavailable, and against a percent-encoded path that is taken for a repeatable call.
func TestPlatformOutageAndEncodedPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newFakeUpstreams()
		e := newExecutor(u, newFakeClaims("outage"))
		call := booking("r1", "a", "x")
		call.Path = "/b%6Fokings/7"
		_, err := e.Call(context.Background(), call)
		assert.Equal(t, refusalIn(err).Code, spoke.CodePlatformUnavailable)
		assert.Equal(t, refusalIn(err).Outcome, spoke.OutcomeNotRun)
		assert.Assert(t, refusalIn(err).RetryAfter > 0)
		assert.Equal(t, len(u.dispatches), 0)
		e.Wait()
	})
}
