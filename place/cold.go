package place

import (
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/quota"
	"magnoliaspoke.example/spoke/warm"
)

const (
	// rampWindow is the span in which the calls of all hosts to a cold upstream are bounded.
	rampWindow = time.Second
	// rampPause is how long a host sends nothing to an upstream that has turned cold while hosts may have been sending to it.
	// The calls of the second before leave the window meanwhile, and other hosts learn of it up to half a second later.
	rampPause = rampWindow + 500*time.Millisecond
	// rampSilence is the time without a report after which a host may not know that an upstream is cold. Hosts report
	// all that they know every second.
	rampSilence = 2500 * time.Millisecond
	// isolationAge is the age of this host's view of the directory from which it knows of no change of an upstream, unless
	// it hears from most hosts of its cell.
	isolationAge = 3 * time.Second
	// healthCost is the number of requests in a second that health requests add.
	healthCost = 1
)

type (
	// ramp is what is known of the coldness of one start of an upstream, and the rate that all hosts share while it lasts.
	ramp struct {
		start   spoke.UpstreamStart
		state   warm.State
		profile spoke.ColdProfile
		// shared is nil if upstreams of the service are never cold.
		shared *quota.Quota
		// isIsolated says that the upstream may be cold without this host's knowledge.
		isIsolated bool
		// most is the number of requests in a second that the upstream may get while it is cold.
		most float64
		// heldUntil is when this host may send the first call.
		heldUntil time.Time
		usedAt    time.Time
	}

	// ColdChanged reports that an upstream counts as cold, or no longer.
	ColdChanged struct {
		Upstream spoke.UpstreamID
		IsCold   bool
		Cause    warm.Cause
		// Left is the remaining time, zero if none is known.
		Left time.Duration
		// Share is the part of the rate that this host uses.
		Share spoke.RequestRate
	}

	// CheckHealth asks for a health request, answered by a HealthChecked.
	CheckHealth struct {
		Upstream spoke.ListedUpstream
		Path     string
	}

	// HealthChecked reports the end of a health request.
	HealthChecked struct {
		Upstream spoke.UpstreamStart
		// Asked is when the request was sent.
		Asked time.Time
		// Left is the remaining cold time that the response states, nil if it states none.
		Left *time.Duration
		// IsUnreachable says that no connection could be established, HasResponse that the upstream responded.
		IsUnreachable, HasResponse bool
	}

	// ConnectionFailed reports a connection that this host could not establish on its own way, whatever becomes of the call.
	ConnectionFailed struct{ Upstream spoke.UpstreamID }

	// DirectorySeen reports the time since this host or one that reports to it has reached the directory.
	DirectorySeen struct{ Age time.Duration }

	// CoolDown reports that the evacuation of a data centre has ended, so that its upstreams count as cold.
	CoolDown struct{ DataCentre spoke.DataCentreID }
)

func (HealthChecked) isMessage() {}
func (CoolDown) isMessage()      {}
func (DirectorySeen) isMessage() {}

func (ConnectionFailed) isMessage() {}
func (ColdChanged) isAction()       {}
func (CheckHealth) isAction()       {}

// isCold reports whether the upstream gets only the calls of its ramp.
func (n *node) isCold(now time.Time) bool { return n.ramp.isCold(now) }

func (r *ramp) isCold(now time.Time) bool {
	return r.shared != nil && (r.isIsolated || r.state.IsCold(now))
}

// wait estimates the time until this host may send a call to a cold upstream.
func (r *ramp) wait(now time.Time) time.Duration {
	wait := r.shared.Wait(now)
	if !r.state.IsOpen && !r.isIsolated {
		wait = min(wait, r.state.Left(now))
	}
	return max(wait, 0)
}

// setProfiles applies a new routing table to what is known of upstreams.
func (s *Scheduler) setProfiles(now time.Time) {
	s.hasCold = false
	for _, service := range s.services {
		s.hasCold = s.hasCold || service.Cold.IsSet()
	}
	for _, n := range s.nodes {
		s.setProfile(n)
		s.followRamp(now, n.ramp, false)
	}
	s.updateRampShares(now)
}

// setProfile sets how long an upstream is cold after a start and how much it handles meanwhile.
func (s *Scheduler) setProfile(n *node) {
	r, profile := n.ramp, s.services[n.listed.Service].Cold
	if r.profile == profile {
		return
	}
	r.profile, r.shared = profile, nil
	if profile.IsSet() {
		slack := s.settings.ColdSlack - healthCost
		r.most = s.settings.ColdFactor*float64(profile.Rate) + slack
		r.shared = quota.New(quota.WithWindow(rampWindow, s.settings.ColdFactor, slack), quota.WithUnaware(rampSilence))
	}
}

// listRamp applies the directory entry of a node; isOther says that it names another start or address than the one before.
func (s *Scheduler) listRamp(now time.Time, age time.Duration, n *node, isOther bool) {
	start := startOf(n.listed)
	r, isKnown := s.ramps[start]
	if !isKnown {
		r = &ramp{start: start}
		s.ramps[start] = r
	}
	r.usedAt, n.ramp = now, r
	s.setProfile(n)
	isStart := s.hasUpstreams && (!isKnown || isOther)
	r.state.Listed(now, warm.Entry{
		Sequence: n.listed.Sequence, Left: n.listed.WarmUpRemaining, Age: age, IsStart: isStart,
	}, r.profile.For)
	s.followRamp(now, r, isStart)
}

// followRamp applies a change of the state of an upstream to its rate. Hosts have not sent anything to an unused one.
func (s *Scheduler) followRamp(now time.Time, r *ramp, isUnused bool) {
	if r.shared == nil || r.isCold(now) == r.shared.IsActive() {
		return
	}
	if !r.isCold(now) {
		r.shared.Stop(now)
	} else {
		r.shared.Start(now, r.profile.Rate)
		r.heldUntil = time.Time{}
		if !isUnused {
			r.heldUntil = now.Add(rampPause)
		}
		s.updateRampShare(r)
	}
	s.actions = append(s.actions, ColdChanged{
		Upstream: r.start.ID, IsCold: r.isCold(now), Cause: r.state.Cause, Left: r.state.Left(now), Share: r.shared.Share().Rate,
	})
}

// followRamps applies the ends of cold times and asks for the health requests that are due.
func (s *Scheduler) followRamps(now time.Time) {
	if !s.hasCold {
		return
	}
	if now.Sub(s.rampsUpdatedAt) >= membershipInterval {
		s.updateRampShares(now)
	}
	isIsolated := s.isIsolated(now)
	for _, n := range s.nodes {
		n.ramp.isIsolated = isIsolated
		// A host that becomes isolated has no reason to believe that an upstream has just turned cold.
		s.followRamp(now, n.ramp, isIsolated)
		if s.mustAsk(now, n) {
			n.ramp.state.Asked(now)
			n.ramp.shared.Count(now)
			s.report.cold[n.ramp] = true
			s.actions = append(s.actions, CheckHealth{Upstream: n.listed, Path: s.services[n.listed.Service].HealthPath})
		}
	}
}

// isIsolated reports whether this host has reached neither the directory nor most hosts of its cell lately, so that it does
// not know which upstreams have turned cold.
func (s *Scheduler) isIsolated(now time.Time) bool {
	others, heard := len(s.cell.Members)-1, 0
	for _, host := range s.cell.Members {
		if known := s.peers[host]; known != nil && now.Sub(known.receivedAt) < rampSilence {
			heard++
		}
	}
	return others > 0 && 2*heard < others && !s.directorySeenAt.IsZero() && now.Sub(s.directorySeenAt) >= isolationAge
}

// mustAsk reports whether this host has to send the upstream a health request.
func (s *Scheduler) mustAsk(now time.Time, n *node) bool {
	r := n.ramp
	return !n.isEvacuated && r.isCold(now) && r.state.MustAsk(now, r.shared.Share().Rank) && s.services[n.listed.Service].HealthPath != ""
}

// mustAskHealth reports whether health requests are due.
func (s *Scheduler) mustAskHealth(now time.Time) bool {
	if s.hasCold {
		for _, n := range s.nodes {
			if s.mustAsk(now, n) {
				return true
			}
		}
	}
	return false
}

// healthChecked applies the end of a health request.
func (s *Scheduler) healthChecked(now time.Time, m HealthChecked) {
	r := s.ramps[m.Upstream]
	if r == nil {
		return
	}
	switch {
	case m.IsUnreachable:
		r.state.Failed(now)
	case m.Left != nil:
		r.state.Answered(now, m.Asked, *m.Left)
	case m.HasResponse:
		r.state.Responded(now, m.Asked, r.profile.For)
	}
	s.changeRamp(now, r)
}

// failRamp applies a failed connection of this host.
func (s *Scheduler) failRamp(now time.Time, n *node) {
	n.ramp.state.Failed(now)
	s.changeRamp(now, n.ramp)
}

// respondRamp applies a response of the upstream of a call.
func (s *Scheduler) respondRamp(now time.Time, run *runningCall) {
	if r := run.node.ramp; r.state.IsOpen {
		r.state.Responded(now, run.sent, r.profile.For)
		s.changeRamp(now, r)
	}
}

// changeRamp follows what this host has found and reports it.
func (s *Scheduler) changeRamp(now time.Time, r *ramp) {
	s.followRamp(now, r, false)
	if r.shared != nil && r.state.IsOwn() {
		s.report.cold[r], s.report.coldChanges[r] = true, true
	}
}

// coolDown makes the upstreams of a data centre count as cold.
func (s *Scheduler) coolDown(now time.Time, dataCentre spoke.DataCentreID) {
	for _, n := range s.nodes {
		if n.listed.DataCentre == dataCentre {
			n.ramp.state.CoolDown(now, n.ramp.profile.For)
			// Hosts have sent nothing there during the evacuation.
			s.followRamp(now, n.ramp, true)
		}
	}
}

// takeRamp counts a call that is sent to an upstream.
func (s *Scheduler) takeRamp(now time.Time, n *node) {
	if n.ramp.shared == nil {
		return
	}
	n.ramp.shared.Take(now)
	if n.isCold(now) {
		s.report.cold[n.ramp] = true
	}
}

// chooseCold returns the cold upstream of this host's cell with the lowest cost whose ramp leaves room for the call, for
// calls that no warm upstream takes now.
func (s *Scheduler) chooseCold(now time.Time, w *waitingCall) (best candidate, found bool) {
	if !s.hasCold {
		return best, false
	}
	for _, n := range s.cellNodes[w.request.Service] {
		if !n.isCold(now) || !n.isUsableOnceWarm(now) || !n.suits(w.request) || !n.ramp.shared.Allows(now) {
			continue
		}
		if c, ok := s.evaluate(now, w, n); ok && (!found || c.cost < best.cost) {
			best, found = c, true
		}
	}
	return best, found
}

// loseRampWays forgets the failed connections of this host.
func (s *Scheduler) loseRampWays(now time.Time) {
	for _, n := range s.nodes {
		n.ramp.state.WaysLost()
		s.followRamp(now, n.ramp, false)
	}
}

// dropRamps drops what is known of upstreams that have not been listed for limitRetention.
func (s *Scheduler) dropRamps(now time.Time) {
	for _, n := range s.nodes {
		n.ramp.usedAt = now
	}
	for start, r := range s.ramps {
		if now.Sub(r.usedAt) > limitRetention {
			delete(s.ramps, start)
		}
	}
}
