package place

import (
	"maps"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

// evacuatedRetry is the retry-after time of a refusal for evacuated upstreams, which stay so for some time.
const evacuatedRetry = time.Second

// setEvacuated applies the evacuated data centres, whose upstreams get no calls.
func (s *Scheduler) setEvacuated(now time.Time, m SetEvacuated) {
	s.evacuated = make(map[spoke.DataCentreID]bool, len(m.DataCentres))
	for _, id := range m.DataCentres {
		s.evacuated[id] = true
	}
	s.reindex(now)
	for _, id := range m.Ended {
		// Upstreams may have become cold meanwhile. None gets a call before this.
		s.coolDown(now, id)
	}
	s.recallEvacuated(now)
}

// isEvacuated reports whether an upstream that might take the call otherwise is in an evacuated data centre.
func (s *Scheduler) isEvacuated(m Request) bool {
	return len(s.evacuated) > 0 && slices.ContainsFunc(s.byService[m.Service], func(n *node) bool {
		return n.isEvacuated && !n.listed.IsLeaving && !n.isDeparting && m.takesSoftware(n.listed.Software) && m.Homes.Allows(n.region)
	})
}

// recallEvacuated cancels attempts at evacuated upstreams that have not begun and may be repeated, as far as the retry
// budget and the other upstreams have room for them. The rest of the budget is left to calls whose upstream has failed.
func (s *Scheduler) recallEvacuated(now time.Time) {
	if len(s.evacuated) == 0 {
		return
	}
	recalled := make(map[spoke.ServiceName]int)
	for _, call := range slices.Sorted(maps.Keys(s.running)) {
		run := s.running[call]
		if !run.node.isEvacuated || run.hasBegun || run.isRecalled || !run.request.MayMove || !s.mayMove(now, run, recalled[run.request.Service]) {
			continue
		}
		recalled[run.request.Service]++
		run.isRecalled = true
		s.actions = append(s.actions, Recall{Call: call, IsEvacuated: true})
	}
}

// mayMove reports whether another upstream takes a call that is recalled beside others, within the retry budget.
func (s *Scheduler) mayMove(now time.Time, run *runningCall, others int) bool {
	share := retrySafetyFactor * runningRetryShare
	if !s.budget(run.request.Service).allows(now, s.settings.RetryShare*share, s.ownReserve()*runningRetryShare-float64(others)) {
		return false
	}
	next := run.request
	next.Tried = append(slices.Clone(next.Tried), run.node.listed.ID)
	w := &waitingCall{request: next, prefixes: make(map[spoke.WeightVersion][]spoke.PromptPrefix)}
	if s.refusalReason(now, w) != "" {
		return false
	}
	_, isTaken := s.choose(now, w)
	return isTaken
}
