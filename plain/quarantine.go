package plain

import (
	"errors"

	"magnoliaspoke.example/spoke"
)

// quarantined refuses a call that has crashed upstreams, or whose twin runs alone.
func (j *job) quarantined() *spoke.Refusal {
	if j.quarantine == nil {
		return nil
	}
	now := j.parts.Timer.Now()
	verdict := j.quarantine.Admit(now, j.call.ID, j.content)
	switch {
	case verdict.Until.After(now):
		refusal := spoke.RefuseNotRun(spoke.CodeQuarantined, "the call crashed the upstreams that ran it")
		refusal.RetryAfter = verdict.Until.Sub(now)
		return refusal
	case verdict.MustWait:
		return hinted(spoke.RefuseNotRun(spoke.CodeOverloaded, "the same call is being run alone"))
	}
	return nil
}

func (j *job) begin(dispatch spoke.CallDispatch) {
	if j.quarantine != nil {
		j.quarantine.Begin(j.parts.Timer.Now(), dispatch.Call.Attempt, dispatch.Upstream, j.content)
	}
}

func (j *job) end(dispatch spoke.CallDispatch, err error) {
	if j.quarantine != nil {
		died := errors.Is(err, spoke.ErrUpstreamDied) && notRun(spoke.PlainAnswer{}, err) == nil
		j.quarantine.End(j.parts.Timer.Now(), dispatch.Call.Attempt, died)
	}
}

func (j *job) leave() {
	if j.quarantine != nil {
		j.quarantine.Leave(j.call.ID, j.content)
	}
}
