package plain

import (
	"context"

	"magnoliaspoke.example/spoke"
)

// repeatable makes attempts until one is answered, within the retry budget.
func (j *job) repeatable(ctx context.Context) (spoke.PlainAnswer, *spoke.Refusal) {
	if j.budget != nil {
		j.budget.Deposit(j.call.Workspace)
	}
	exclude := make(map[spoke.UpstreamID]bool)
	var refusals []*spoke.Refusal
	for failures := 0; ; {
		upstreams := j.route(exclude)
		if len(upstreams) == 0 || len(refusals) >= maxRefusals {
			return spoke.PlainAnswer{}, j.shortest(refusals)
		}
		// A repeat takes a fresh connection, because a pooled one may have gone silent.
		answer, err := j.attempt(ctx, j.dispatch(upstreams[0], failures > 0))
		exclude[upstreams[0]] = true
		if refusal := notRun(answer, err); refusal != nil {
			if !isElsewhere(refusal) {
				return spoke.PlainAnswer{}, refusal
			}
			refusals = append(refusals, refusal)
			continue
		}
		if err == nil {
			return answer, nil
		}
		j.ran = true
		failures++
		if ctx.Err() != nil {
			return spoke.PlainAnswer{}, interrupted(ctx)
		}
		if refusal := j.quarantined(); refusal != nil {
			return spoke.PlainAnswer{}, refusal
		}
		if failures >= maxAttempts || !j.withdraw() {
			return spoke.PlainAnswer{}, hinted(failed(err))
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

// shortest sums up refusals by all upstreams; the shortest hint stands.
func (j *job) shortest(refusals []*spoke.Refusal) *spoke.Refusal {
	if len(refusals) == 0 {
		return j.noUpstream()
	}
	best := refusals[0]
	for _, refusal := range refusals[1:] {
		if refusal.RetryAfter > 0 && refusal.RetryAfter < best.RetryAfter {
			best = refusal
		}
	}
	return hinted(best)
}

// isElsewhere reports whether another upstream may answer otherwise.
func isElsewhere(refusal *spoke.Refusal) bool {
	switch refusal.Code {
	case spoke.CodeOverloaded, spoke.CodeNoUpstream, spoke.CodeNotReady, spoke.CodeUpstreamFailed:
		return true
	}
	return false
}

// hinted returns the refusal with a retry hint, since a repeat of the call does no harm.
func hinted(refusal *spoke.Refusal) *spoke.Refusal {
	if refusal.RetryAfter > 0 {
		return refusal
	}
	copied := *refusal
	copied.RetryAfter = defaultHint
	return &copied
}
