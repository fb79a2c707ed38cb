package place

import (
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

func (s *Scheduler) ask(now time.Time, m Request) {
	budget := s.budget(m.Service)
	if m.IsRetry {
		if !budget.allows(now, s.settings.RetryShare*safeRetries, s.ownReserve()) {
			s.refuse(now, m, RefusedBudget)
			return
		}
	} else {
		budget.calls.add(now)
	}
	w := &waiting{ask: m, prefixes: make(map[spoke.WeightVersion][]spoke.PromptPrefix)}
	if reason := s.hopeless(now, w); reason != "" {
		s.refuse(now, m, reason)
		return
	}
	s.enter(now, w)
}

// ownReserve is this host's part of the repeats that need no calls.
func (s *Scheduler) ownReserve() float64 {
	return safeRetries * s.settings.RetryReserve / float64(len(s.peers)+1)
}

func (s *Scheduler) leave(ticket spoke.CallNumber) {
	for service, queue := range s.queues {
		s.queues[service] = slices.DeleteFunc(queue, func(w *waiting) bool { return w.ask.Call == ticket })
	}
}

func (s *Scheduler) began(now time.Time, m Began) {
	run := s.running[m.Call]
	if run == nil || run.hasBegun {
		return
	}
	run.hasBegun = true
	s.hears(now, run.node, m.Load)
	run.node.progressed(now)
	run.node.pause = 0
	if run.ask.Prompt != nil {
		run.node.observeFirst(now, run)
		s.copied(now, run, true)
	}
	if m.IsLeaving {
		s.hearLeaving(now, run.node)
	}
	s.report.changed(run.node)
	s.learn(run, m.Weights)
	s.offer(now, run.node)
}

func (s *Scheduler) ended(now time.Time, m Ended) {
	run := s.running[m.Call]
	if run == nil {
		return
	}
	delete(s.running, m.Call)
	delete(run.node.runs, m.Call)
	run.node.observe(now, run, m.Ending)
	if !run.hasBegun {
		s.copied(now, run, false)
	}
	switch m.Ending {
	case EndUnreachable, EndBroken, EndCancelled:
		// The end says nothing of the upstream's progress.
	default:
		run.node.progressed(now)
	}
	if run.node.pausedUntil.After(now) {
		s.report.paused(run.node.listed.ID, run.node.pausedUntil.Sub(now))
	}
	s.hears(now, run.node, m.Load)
	run.node.wantsPause(now, m.Pause)
	if m.IsLeaving {
		s.hearLeaving(now, run.node)
	}
	s.report.changed(run.node)
	s.learn(run, m.Weights)
	switch {
	case m.Ending == EndAddressReused:
		run.node.isGone = true
		s.report.paused(run.node.listed.ID, goneTime)
	case m.Ending == EndWrongVersion && m.Weights == 0:
		run.node.pausedUntil = now.Add(firstPause)
	}
	s.offer(now, run.node)
}

func (s *Scheduler) learn(run *running, version spoke.WeightVersion) {
	if version != 0 && run.ask.Prompt != nil {
		s.see(run.node.listed.ID, spoke.ListedWeights{Model: run.ask.Prompt.Model, Version: version})
	}
}

func (s *Scheduler) see(id spoke.UpstreamID, seen spoke.ListedWeights) {
	n := s.nodes[id]
	if n == nil || seen.Version <= n.weights[seen.Model] {
		return
	}
	n.seeWeights(seen.Model, seen.Version)
	s.report.saw(id, seen)
}

func (s *Scheduler) pause(now time.Time, m Pause) {
	if n := s.nodes[m.Upstream]; n != nil {
		n.hold(now, m.For)
		s.report.paused(m.Upstream, m.For)
	}
}

// setWeights takes weights that were named, or a better account of when known ones were.
func (s *Scheduler) setWeights(now time.Time, m SetWantedWeights) {
	heard := named{version: m.Wanted.Version, since: now.Add(-m.Age), isGuess: m.IsEstimate}
	known := s.named[m.Wanted.Model].take(heard)
	s.named[m.Wanted.Model] = known.forget(now.Add(-s.settings.WeightsApply))
}
