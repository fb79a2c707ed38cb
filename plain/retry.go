package plain

import (
	"context"

	"magnoliaspoke.example/spoke"
)

// callWithRetries makes attempts at different upstreams until one is answered. Refusals by
// upstreams are bounded by maxRefusals, failures by maxAttempts and the retry budget.
func (j *job) callWithRetries(ctx context.Context) (spoke.PlainAnswer, *spoke.Refusal) {
	if j.budget != nil {
		j.budget.Deposit(j.call.Workspace)
	}
	exclude := make(map[spoke.UpstreamID]bool)
	var refusals []*spoke.Refusal
	for failures := 0; ; {
		upstreams := j.route(exclude)
		if len(upstreams) == 0 || len(refusals) >= maxRefusals {
			return spoke.PlainAnswer{}, j.earliestRetry(refusals)
		}
		// Retries use a fresh connection, because a pooled one may no longer respond.
		answer, err := j.attempt(ctx, j.nextDispatch(upstreams[0], failures > 0))
		exclude[upstreams[0]] = true
		if refusal := notRunRefusal(answer, err); refusal != nil {
			if !allowsOtherUpstream(refusal) {
				return spoke.PlainAnswer{}, refusal
			}
			refusals = append(refusals, refusal)
			continue
		}
		if err == nil {
			return answer, nil
		}
		j.mayHaveRun = true
		failures++
		if ctx.Err() != nil {
			return spoke.PlainAnswer{}, contextRefusal(ctx)
		}
		if refusal := j.quarantineRefusal(); refusal != nil {
			return spoke.PlainAnswer{}, refusal
		}
		if failures >= maxAttempts || !j.withdraw() {
			return spoke.PlainAnswer{}, withRetryAfter(failureRefusal(err))
		}
	}
}

func (j *job) attempt(ctx context.Context, dispatch spoke.CallDispatch) (spoke.PlainAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, j.repeatableTimeout)
	defer cancel()
	return j.send(ctx, dispatch)
}

func (j *job) withdraw() bool {
	return j.budget == nil || j.budget.Withdraw(j.call.Workspace)
}

// earliestRetry returns the refusal with the shortest retry delay. If the list is empty, it
// returns the refusal for a service without reachable upstreams.
func (j *job) earliestRetry(refusals []*spoke.Refusal) *spoke.Refusal {
	if len(refusals) == 0 {
		return j.noUpstream()
	}
	best := refusals[0]
	for _, refusal := range refusals[1:] {
		if refusal.RetryAfter > 0 && refusal.RetryAfter < best.RetryAfter {
			best = refusal
		}
	}
	return withRetryAfter(best)
}

// allowsOtherUpstream reports whether another upstream may accept the refused call.
func allowsOtherUpstream(refusal *spoke.Refusal) bool {
	switch refusal.Code {
	case spoke.CodeOverloaded, spoke.CodeNoUpstream, spoke.CodeNotReady, spoke.CodeUpstreamFailed:
		return true
	}
	return false
}

// withRetryAfter returns the refusal with a retry delay, defaultRetryAfter if it has none.
// It is used only where a repeat of the call by the caller is safe.
func withRetryAfter(refusal *spoke.Refusal) *spoke.Refusal {
	if refusal.RetryAfter > 0 {
		return refusal
	}
	copied := *refusal
	copied.RetryAfter = defaultRetryAfter
	return &copied
}
