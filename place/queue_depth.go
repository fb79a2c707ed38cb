package place

import (
	"time"

	"magnoliaspoke.example/spoke"
)

// queueDepth is the number of waiting calls per engine of a service, as of a time.
type queueDepth struct {
	at    time.Time
	calls float64
}

// queueDepth returns the number of waiting calls per engine, by which the prefill time of a prompt is
// weighted, since it delays each of them. The result is cached while now stays the same.
func (s *Scheduler) queueDepth(now time.Time, m Request) float64 {
	known, ok := s.queueDepths[m.Service]
	if !ok || !known.at.Equal(now) {
		known = queueDepth{at: now, calls: s.waitingPerEngine(m)}
		s.queueDepths[m.Service] = known
	}
	return known.calls
}

// waitingPerEngine returns the number of waiting calls per engine that this host uses. Load reports of other
// hosts carry waiting tokens; their calls are assumed to be as long as those here.
func (s *Scheduler) waitingPerEngine(m Request) float64 {
	engines := len(s.cellNodes[m.Service])
	if engines == 0 {
		return 0
	}
	calls, tokens := 0, spoke.TokenCount(0)
	for _, w := range s.queues[m.Service] {
		if w.request.Prompt != nil {
			calls++
			tokens += w.request.Prompt.Input
		}
	}
	perCall := m.Prompt.Input
	if calls > 0 {
		perCall = tokens / spoke.TokenCount(calls)
	}
	elsewhere := float64(s.waitingTokens(m.Service)) / float64(max(perCall, 1))
	return (float64(calls) + elsewhere) / float64(engines)
}

// waitingTokens sums up the tokens that wait at other hosts.
func (s *Scheduler) waitingTokens(service spoke.ServiceName) spoke.TokenCount {
	var waiting spoke.TokenCount
	for _, other := range s.peers {
		for _, work := range other.waiting {
			if work.Service == service {
				waiting += work.Tokens
			}
		}
	}
	return waiting
}
