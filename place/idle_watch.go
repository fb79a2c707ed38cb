package place

import "time"

// IdleWatch decides when a call whose upstream is silent asks for another upstream, and whether it takes it. The
// silent upstream keeps the call until another one is granted, since it may go on at any time.
type IdleWatch struct {
	// period is the time without progress after which the call asks for another upstream.
	period time.Duration
	askAt  time.Time
	// isAsking is set while the call waits for another upstream.
	isAsking bool
}

// NewIdleWatch returns the watch of a call that is sent now.
func NewIdleWatch(now time.Time, period time.Duration) *IdleWatch {
	return &IdleWatch{period: period, askAt: now.Add(period)}
}

// Heard records progress of the upstream, with the period that applies from now on. It reports whether the
// request for another upstream has to be withdrawn.
func (w *IdleWatch) Heard(now time.Time, period time.Duration) bool {
	wasAsking := w.isAsking
	w.period, w.askAt, w.isAsking = period, now.Add(period), false
	return wasAsking
}

// Wait returns the time until the call asks for another upstream unless its own makes progress.
func (w *IdleWatch) Wait(now time.Time) time.Duration { return w.askAt.Sub(now) }

// Ask reports whether the call has to ask for another upstream now.
func (w *IdleWatch) Ask(now time.Time) bool {
	if w.isAsking || now.Before(w.askAt) {
		return false
	}
	w.isAsking = true
	return true
}

// Refused records that there is no other upstream for now.
func (w *IdleWatch) Refused(now time.Time) {
	if w.isAsking {
		w.isAsking, w.askAt = false, now.Add(w.period)
	}
}

// Granted reports whether the call moves to the upstream that it was granted: its own is still silent.
func (w *IdleWatch) Granted() bool { return w.isAsking }
