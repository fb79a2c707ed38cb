package place

import (
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

// refusalReason returns why a call cannot be served in time, empty if it can.
func (s *Scheduler) refusalReason(now time.Time, w *waitingCall) Reason {
	m := w.request
	if !now.Before(m.Deadline) {
		return RefusedDeadline
	}
	if reason := s.absenceReason(m); reason != "" {
		return reason
	}
	if reason := s.unavailableReason(now, m, len(s.queues[m.Service])); reason != "" {
		return reason
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

// IsTemporary reports whether an upstream may take a call a little later that none takes now.
func (r Reason) IsTemporary() bool {
	switch r {
	case RefusedOverload, RefusedBudget, RefusedPaused, RefusedLimited, RefusedEvacuated, RefusedCold:
		return true
	}
	return false
}

// hasLeft reports whether the caller disconnects by the given time unless it receives an event.
func (m Request) hasLeft(at time.Time) bool { return !m.LeavesAt.IsZero() && !at.Before(m.LeavesAt) }

// excludes reports whether the call must not be sent to the upstream.
func (m Request) excludes(id spoke.UpstreamID) bool {
	if len(m.Only) > 0 {
		return !slices.Contains(m.Only, id)
	}
	return slices.Contains(m.Tried, id)
}

// takesSoftware reports whether the call may be served at a software version.
func (m Request) takesSoftware(version spoke.SoftwareVersion) bool {
	return (m.Software == "" || m.Software == version) && !slices.Contains(m.NotSoftware, version)
}

// absenceReason returns why no upstream may take the call now or later, empty if one may.
func (s *Scheduler) absenceReason(m Request) Reason {
	switch {
	case s.hasUpstream(m):
		return ""
	case m.Homes.IsEmpty():
		return RefusedNoHome
	case s.isEvacuated(m):
		return RefusedEvacuated
	case m.Software != "":
		return RefusedSoftware
	}
	return RefusedNoUpstream
}

// hasUpstream reports whether an upstream may take the call now or later.
func (s *Scheduler) hasUpstream(m Request) bool {
	for _, n := range s.byService[m.Service] {
		if n.mayServe(m) {
			return true
		}
	}
	return false
}

// hasWeights reports whether an engine serves weights that may be used, or is loading weights.
func (s *Scheduler) hasWeights(now time.Time, m Request) bool {
	for _, n := range s.byService[m.Service] {
		if !n.suits(m) {
			continue
		}
		if now.Before(n.loadingUntil) {
			return true
		}
		var c candidate
		if _, ok := s.checkWeights(now, m.Prompt.Model, n, &c); ok {
			return true
		}
	}
	return false
}

// backlog is the expected time until the service has done the work that precedes the call.
func (s *Scheduler) backlog(now time.Time, m Request) time.Duration {
	if m.Prompt == nil {
		return s.plainBacklog(now, m)
	}
	var ahead spoke.TokenCount
	for _, w := range s.queues[m.Service] {
		if w.request.Urgency <= m.Urgency && w.request.Prompt != nil && w.request.Homes.Covers(m.Homes) {
			ahead += w.request.Prompt.Input
		}
	}
	isDivided := s.isDivided(m)
	if !isDivided {
		ahead += s.waitingElsewhere(m).Tokens
	}
	rate := 0.0
	isAny := isAnyUsable(now, s.cellNodes[m.Service], m)
	for _, n := range s.cellNodes[m.Service] {
		// Engines that are not usable add no capacity, unless none is usable.
		if n.isLeaving() || !m.Homes.Allows(n.region) || (isAny && !n.isUsable(now)) {
			continue
		}
		part := s.ownPart(n, m)
		rate += part * n.prefillRate()
		ahead += spoke.TokenCount(part * float64(n.backlog(now)))
	}
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / rate * float64(time.Millisecond))
}

// waitingElsewhere sums up the waiting work of other hosts that precedes the call.
func (s *Scheduler) waitingElsewhere(m Request) spoke.WaitingWork {
	ahead := spoke.WaitingWork{Service: m.Service, Urgency: m.Urgency}
	for _, other := range s.peers {
		for _, work := range other.waiting {
			if work.Service == m.Service && work.Urgency <= m.Urgency {
				ahead.Calls += work.Calls
				ahead.Tokens += work.Tokens
			}
		}
	}
	return ahead
}

// plainBacklog is backlog for calls without a prompt, before which each call counts as one, whatever its prompt.
func (s *Scheduler) plainBacklog(now time.Time, m Request) time.Duration {
	waiting := len(s.queues[m.Service])
	if !s.isDivided(m) {
		waiting += s.waitingElsewhere(m).Calls
	}
	rate := 0.0
	for _, n := range s.cellNodes[m.Service] {
		if !n.isLeaving() && m.Homes.Allows(n.region) && n.limit.Allows(now) && !n.isCold(now) {
			rate += s.ownPart(n, m) * float64(n.takes()) / float64(s.plainService(n))
		}
	}
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(waiting) / rate)
}

// refuse rejects a call with the expected backlog and the time after which to retry.
func (s *Scheduler) refuse(now time.Time, m Request, reason Reason) {
	backlog := s.backlog(now, m)
	retryAfter := min(max(backlog, shortestRetry), longestRetry)
	switch reason {
	case RefusedPaused:
		retryAfter = s.availabilityOf(now, m).wait
	case RefusedEvacuated:
		retryAfter = evacuatedRetry
	case RefusedLimited, RefusedCold:
		// Other hosts may have room for the call sooner than this one.
		wait := s.availabilityOf(now, m).waitBehind(len(s.queues[m.Service]))
		retryAfter = min(max(wait, shortestRetry), longestRetry)
	}
	s.actions = append(s.actions, Refuse{Call: m.Call, Reason: reason, Backlog: backlog, RetryAfter: retryAfter})
}
