package place

import (
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

func (s *Scheduler) admit(now time.Time, m Request) {
	budget := s.budget(m.Service)
	if m.IsRetry {
		share := retrySafetyFactor
		if m.IsRunning {
			share *= runningRetryShare
		}
		if !m.IsRecalled && !budget.allows(now, s.settings.RetryShare*share, s.ownReserve()*share/retrySafetyFactor) {
			s.refuse(now, m, RefusedBudget)
			return
		}
	} else {
		budget.calls.Add(now)
	}
	w := &waitingCall{request: m, prefixes: make(map[spoke.WeightVersion][]spoke.PromptPrefix)}
	if reason := s.refusalReason(now, w); reason != "" {
		s.refuse(now, m, reason)
		return
	}
	if m.IsRunning {
		// Calls of a silent rack all ask at the same moment, and would all wait within the budget.
		budget.retries.Add(now)
	}
	s.placeOrQueue(now, w)
}

// ownReserve returns the number of retries that this host may make regardless of its number of calls. Hosts of
// other cells share the reserve, although they report no load to this one.
func (s *Scheduler) ownReserve() float64 {
	hosts := max(len(s.peers)+1, len(s.cell.Hosts))
	return retrySafetyFactor * s.settings.RetryReserve / float64(hosts)
}

// withdraw removes a waiting call from its queue.
func (s *Scheduler) withdraw(call spoke.CallNumber) {
	for service, queue := range s.queues {
		s.queues[service] = slices.DeleteFunc(queue, func(w *waitingCall) bool { return w.request.Call == call })
	}
}

func (s *Scheduler) began(now time.Time, m Began) {
	run := s.running[m.Call]
	if run == nil || run.hasBegun {
		return
	}
	run.hasBegun, run.isLost = true, false
	s.recordLoad(now, run.node, m.Load)
	s.answered(now, run.node)
	s.respondRamp(now, run)
	run.node.backoff = 0
	if run.request.Prompt != nil {
		s.observeSpeed(now, run, m.IsDetour, EndServed)
		run.node.observeFirstEvent(now, run)
		s.endCopies(now, run, true)
	}
	run.streamBegan(now)
	if m.IsLeaving {
		s.recordLeaving(now, run.node)
	}
	if m.NamesNoLimit {
		s.noLimitNamed(now, run)
	}
	if m.NamesNoBrittleness {
		s.noBrittleNamed(now, run)
	}
	s.report.changed(run.node)
	s.observeServedWeights(run, m.Weights)
	s.offer(now, run.node)
}

func (s *Scheduler) ended(now time.Time, m Ended) {
	run := s.running[m.Call]
	if run == nil {
		return
	}
	delete(s.running, m.Call)
	delete(run.node.runs, m.Call)
	if run.request.Prompt == nil {
		s.observeSpeed(now, run, m.IsDetour, m.Ending)
	}
	run.node.observe(now, run, m.Ending)
	if m.Ending == EndBroken {
		run.node.brokenAt = now
	}
	if id := run.node.listed.ID; len(run.node.runs) == 0 && s.unlisted[id] == run.node {
		delete(s.unlisted, id)
	}
	s.recordFinish(now, run, m)
	if !run.hasBegun {
		s.endCopies(now, run, false)
	}
	switch m.Ending {
	case EndUnreachable, EndBroken, EndCancelled, EndWithheld:
		// These endings do not show progress of the upstream.
		if !run.hasBegun {
			s.report.gaveUp(run.node)
		}
	default:
		s.answered(now, run.node)
		if m.Ending != EndAddressReused {
			s.respondRamp(now, run)
		}
	}
	if m.Ending == EndUnreachable || m.IsDown {
		s.failRamp(now, run.node)
	}
	if (m.Ending == EndUnreachable || m.Ending == EndBroken) && run.node.pausedUntil.After(now) {
		s.report.doubted(run.node.listed.ID, run.node.pausedUntil.Sub(now))
		s.report.broken[run.node.listed.ID] = m.Ending == EndBroken && !m.IsDown
	}
	s.recordLoad(now, run.node, m.Load)
	run.node.requestPause(now, m.Pause)
	if m.NamesNoLimit && !run.hasBegun {
		s.noLimitNamed(now, run)
	}
	if m.NamesNoBrittleness && !run.hasBegun {
		s.noBrittleNamed(now, run)
	}
	s.endBrittleRun(now, run, m)
	if m.IsLeaving {
		s.recordLeaving(now, run.node)
	}
	s.report.changed(run.node)
	s.observeServedWeights(run, m.Weights)
	switch {
	case m.Ending == EndAddressReused:
		run.node.isAddressReused = true
		s.report.paused(now, run.node.listed.ID, addressReusedPause)
	case m.Ending == EndWrongVersion && m.Weights == 0:
		run.node.pausedUntil = now.Add(minBackoff)
	}
	s.offer(now, run.node)
}

func (s *Scheduler) observeServedWeights(run *runningCall, version spoke.WeightVersion) {
	if version != 0 && run.request.Prompt != nil {
		s.observeWeights(run.node.listed.ID, spoke.ServedWeights{Model: run.request.Prompt.Model, Version: version})
	}
}

func (s *Scheduler) observeWeights(id spoke.UpstreamID, seen spoke.ServedWeights) {
	n := s.nodes[id]
	if n == nil || seen.Version <= n.weights[seen.Model] {
		return
	}
	n.observeWeights(seen.Model, seen.Version)
	s.report.served(id, seen)
}

func (s *Scheduler) pause(now time.Time, m Pause) {
	if n := s.nodes[m.Upstream]; n != nil {
		n.pauseForLoading(now, m.For)
		s.report.paused(now, m.Upstream, m.For)
	}
}

// setWantedWeights records when a version became wanted, or a better time for a recorded version from another
// host. The directory may show a recorded version again, which does not mean that it became wanted again.
func (s *Scheduler) setWantedWeights(now time.Time, m SetWantedWeights) {
	since := now.Add(-m.Age)
	if !m.At.IsZero() {
		since = m.At.Add(-m.Age)
	}
	update := wantedVersion{version: m.Wanted.Version, wantedTime: wantedTime{since: since, isEstimate: m.IsEstimate}}
	if m.Host == "" {
		update.isListed, update.own = true, update.wantedTime
	} else {
		update.source = senderClock{m.Host, m.Clock}
		update.fastest = s.senders[update.source].fastest
	}
	before, isKnown := s.wanted[m.Wanted.Model].find(update.version)
	if before.isListed && update.isListed {
		return
	}
	known := s.wanted[m.Wanted.Model].add(update)
	s.wanted[m.Wanted.Model] = known.prune(now.Add(-s.settings.WeightsApply))
	after, _ := known.find(update.version)
	if isKnown && !after.differsFrom(before.wantedTime) {
		return
	}
	if isKnown {
		s.actions = append(s.actions, WantedAgeChanged{
			Wanted: m.Wanted, Before: now.Sub(before.since), Age: m.Age, WasEstimate: before.isEstimate, Host: m.Host,
		})
	}
	s.recallOutdated(now)
}
