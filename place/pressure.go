package place

import (
	"time"

	"magnoliaspoke.example/spoke"
)

// pressure is how many calls wait for each engine of a service.
type pressure struct {
	at    time.Time
	calls float64
}

// readPressure weighs the time that a prompt is read against the waits of others: each call that waits
// for one of the engines is held up by its part of that time.
func (s *Scheduler) readPressure(now time.Time, m Request) float64 {
	known, ok := s.pressures[m.Service]
	if !ok || !known.at.Equal(now) {
		known = pressure{at: now, calls: s.waitingForEach(m)}
		s.pressures[m.Service] = known
	}
	return known.calls
}

// waitingForEach returns the calls that wait for each engine that this host uses. Accounts of other
// hosts tell the tokens that wait there; their calls are taken to be as long as those here.
func (s *Scheduler) waitingForEach(m Request) float64 {
	engines := len(s.near[m.Service])
	if engines == 0 {
		return 0
	}
	calls, tokens := 0, spoke.TokenCount(0)
	for _, w := range s.queues[m.Service] {
		if w.ask.Prompt != nil {
			calls++
			tokens += w.ask.Prompt.Input
		}
	}
	each := m.Prompt.Input
	if calls > 0 {
		each = tokens / spoke.TokenCount(calls)
	}
	elsewhere := float64(s.waitingTokens(m.Service)) / float64(max(each, 1))
	return (float64(calls) + elsewhere) / float64(engines)
}

// waitingTokens sums up what waits at other hosts.
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
