package place

import (
	"maps"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

// NeedsTick reports whether decisions may become due that only a Tick triggers.
func (s *Scheduler) NeedsTick(now time.Time) bool {
	return s.HasWaitingCalls() || s.IsRollingOut(now) || s.mustAskHealth(now)
}

// IsRollingOut reports whether running calls may be on weights that are about to become outdated.
func (s *Scheduler) IsRollingOut(now time.Time) bool {
	for _, versions := range s.wanted {
		if len(versions) > 0 && now.Sub(versions[len(versions)-1].since) <= 2*s.settings.WeightsApply {
			return true
		}
	}
	return false
}

// addSuspension makes the ages of wanted weights and the times of reports count a time that the clock has left out.
func (s *Scheduler) addSuspension(now time.Time, length time.Duration) {
	s.clock.suspended += length
	for _, versions := range s.wanted {
		for i := range versions {
			versions[i].addSuspension(length)
		}
	}
	s.recallOutdated(now)
}

// recallOutdated cancels attempts that wait inside engines on outdated weights.
func (s *Scheduler) recallOutdated(now time.Time) {
	for _, call := range slices.Sorted(maps.Keys(s.running)) {
		if run := s.running[call]; s.isOutdated(now, run) {
			run.isRecalled = true
			s.actions = append(s.actions, Recall{Call: call})
		}
	}
}

// isOutdated reports whether a call must be recalled: it has not begun, and WeightsApply has almost passed
// since its weights were replaced.
func (s *Scheduler) isOutdated(now time.Time, run *runningCall) bool {
	if run.hasBegun || run.isRecalled || run.request.Prompt == nil {
		return false
	}
	replaced, isReplaced := s.wanted[run.request.Prompt.Model].replacedAt(run.weights)
	return isReplaced && now.Sub(replaced) >= s.weightsLimit()-recallMargin
}

// SilenceOf returns the time since the upstream of a call last answered or made progress, or since the call was sent if
// it has not; zero if the call is not under way.
func (s *Scheduler) SilenceOf(now time.Time, call spoke.CallNumber) time.Duration {
	run, ok := s.running[call]
	if !ok {
		return 0
	}
	if run.node.progressAt.IsZero() {
		return now.Sub(run.sent)
	}
	return now.Sub(run.node.progressAt)
}

// weightsLimit returns the time for which replaced weights are used: an engine that then falls silent still begins its
// calls within Settings.WeightsApply.
func (s *Scheduler) weightsLimit() time.Duration {
	limit := s.settings.WeightsApply
	return limit - min(engineSilence, limit/silenceDivisor)
}
