package plain

import (
	"errors"

	"magnoliaspoke.example/spoke"
)

// quarantineRefusal returns the refusal of a call that has crashed upstreams, or of one
// with the same fingerprint as a call that is being run in isolation. It returns nil if the
// call may run.
func (j *job) quarantineRefusal() *spoke.Refusal {
	if j.quarantine == nil {
		return nil
	}
	now := j.deps.Timer.Now()
	verdict := j.quarantine.Admit(now, j.call.ID, j.fingerprint)
	switch {
	case verdict.Until.After(now):
		refusal := spoke.RefuseNotRun(spoke.CodeQuarantined, "the call crashed the upstreams that ran it")
		refusal.RetryAfter = verdict.Until.Sub(now)
		return refusal
	case verdict.MustWait:
		return withRetryAfter(spoke.RefuseNotRun(spoke.CodeOverloaded, "the same call is being run alone"))
	}
	return nil
}

func (j *job) beginAttempt(dispatch spoke.CallDispatch) {
	if j.quarantine != nil {
		j.quarantine.Begin(j.deps.Timer.Now(), dispatch.Call.Attempt, dispatch.Upstream, j.fingerprint)
	}
}

func (j *job) endAttempt(dispatch spoke.CallDispatch, err error) {
	if j.quarantine != nil {
		upstreamDied := errors.Is(err, spoke.ErrUpstreamDied) && notRunRefusal(spoke.PlainAnswer{}, err) == nil
		j.quarantine.End(j.deps.Timer.Now(), dispatch.Call.Attempt, upstreamDied)
	}
}

func (j *job) leaveQuarantine() {
	if j.quarantine != nil {
		j.quarantine.Leave(j.call.ID, j.fingerprint)
	}
}
