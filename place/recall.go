package place

import (
	"maps"
	"slices"
	"time"
)

// NeedsTime reports whether decisions are due that no other message than a Tick brings.
func (s *Scheduler) NeedsTick(now time.Time) bool {
	return s.HasWaitingCalls() || s.isRollingOut(now)
}

// isRollingOut reports whether calls under way may be on weights whose time ends.
func (s *Scheduler) isRollingOut(now time.Time) bool {
	for _, versions := range s.named {
		if len(versions) > 0 && now.Sub(versions[len(versions)-1].since) <= 2*s.settings.WeightsApply {
			return true
		}
	}
	return false
}

// recallOutdated ends attempts that wait inside engines on weights whose time is over.
func (s *Scheduler) recallOutdated(now time.Time) {
	if !s.isRollingOut(now) {
		return
	}
	for _, call := range slices.Sorted(maps.Keys(s.running)) {
		if run := s.running[call]; s.isOutdated(now, run) {
			run.isRecalled = true
			s.actions = append(s.actions, Recall{Call: call})
		}
	}
}

func (s *Scheduler) isOutdated(now time.Time, run *running) bool {
	if run.hasBegun || run.isRecalled || run.ask.Prompt == nil {
		return false
	}
	replaced, isReplaced := s.named[run.ask.Prompt.Model].replacedAt(run.weights)
	return isReplaced && now.Sub(replaced) >= s.settings.WeightsApply-recallMargin
}
