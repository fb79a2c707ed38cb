package place

import (
	"time"

	"magnoliaspoke.example/spoke"
)

// hopeless returns why a call cannot be served in time, or nothing.
func (s *Scheduler) hopeless(now time.Time, w *waiting) Reason {
	m := w.ask
	if !now.Before(m.Deadline) {
		return RefusedTime
	}
	if !s.hasUpstream(m) {
		return RefusedNoUpstream
	}
	if s.isPausedTooLong(now, m) {
		return RefusedPaused
	}
	if m.Prompt != nil && !s.hasWeights(now, m) {
		return RefusedWeights
	}
	left := m.Deadline.Sub(now)
	if s.backlog(now, m) > time.Duration(longestWaitShare*float64(left)) {
		return RefusedOverload
	}
	return ""
}

// hasLeft reports whether the caller leaves before a time.
func (m Request) hasLeft(at time.Time) bool { return !m.LeavesAt.IsZero() && !at.Before(m.LeavesAt) }

// hasUpstream reports whether an upstream may take the call now or soon.
func (s *Scheduler) hasUpstream(m Request) bool {
	for _, n := range s.byService[m.Service] {
		if n.mayServe(m) {
			return true
		}
	}
	return false
}

// hasWeights reports whether an engine serves weights that may be used, or is about to.
func (s *Scheduler) hasWeights(now time.Time, m Request) bool {
	for _, n := range s.byService[m.Service] {
		if now.Before(n.heldUntil) {
			return true
		}
		var c candidate
		if _, ok := s.weightsOf(now, m.Prompt.Model, n, &c); ok {
			return true
		}
	}
	return false
}

// backlog is the time until the service has done the work that goes before the call.
func (s *Scheduler) backlog(now time.Time, m Request) time.Duration {
	if m.Prompt == nil {
		return s.plainBacklog(m)
	}
	var ahead spoke.TokenCount
	for _, w := range s.queues[m.Service] {
		if w.ask.Urgency <= m.Urgency && w.ask.Prompt != nil {
			ahead += w.ask.Prompt.Input
		}
	}
	ahead += s.waitingElsewhere(m)
	rate := 0.0
	isAny := isAnyUsable(now, s.near[m.Service], m.Tried)
	for _, n := range s.near[m.Service] {
		// Engines that cannot be reached do none of the work, unless none can be.
		if n.isLeaving() || (isAny && !n.isUsable(now)) {
			continue
		}
		rate += n.readRate()
		ahead += n.backlog(now)
	}
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / rate * float64(time.Millisecond))
}

// waitingElsewhere sums up the work at other hosts that goes before the call.
func (s *Scheduler) waitingElsewhere(m Request) spoke.TokenCount {
	var ahead spoke.TokenCount
	for _, other := range s.peers {
		for _, work := range other.waiting {
			if work.Service == m.Service && work.Urgency <= m.Urgency {
				ahead += work.Tokens
			}
		}
	}
	return ahead
}

func (s *Scheduler) plainBacklog(m Request) time.Duration {
	waiting := spoke.TokenCount(len(s.queues[m.Service])) + s.waitingElsewhere(m)
	rate := 0.0
	for _, n := range s.near[m.Service] {
		if !n.isLeaving() {
			rate += float64(n.listed.Slots) / float64(n.serviceTime)
		}
	}
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(waiting) / rate)
}

func (s *Scheduler) refuse(now time.Time, m Request, reason Reason) {
	behind := s.backlog(now, m)
	back := min(max(behind, shortestRetry), longestRetry)
	if reason == RefusedPaused {
		back = s.askedPause(now, m)
	}
	s.actions = append(s.actions, Refuse{Call: m.Call, Reason: reason, Backlog: behind, RetryAfter: back})
}
