package place

import "time"

const (
	// directoryDelay bounds the way of an answer from the directory or from a host that watches it.
	directoryDelay = 50 * time.Millisecond
	// UnknownAge is the age of a change of which nothing is known but that it was made.
	UnknownAge = 24 * time.Hour
)

// ChangeAge bounds how long before its receipt a change of the directory may have been made: a limit that
// counts from the change must not count from a late receipt.
//
// Calls that wait for changes are sent at the time asked and answered at the next change, so that only the time
// before they were sent and the way of the answer count. The process may have been suspended for paused with
// the answer unread.
type ChangeAge struct {
	// completeAt is a time up to which all changes have been received, zero if there is none.
	completeAt time.Time
}

// CompleteAt returns a time up to which all changes have been received, zero if there is none.
func (a *ChangeAge) CompleteAt() time.Time { return a.completeAt }

// OfSnapshot returns the maximum age of a change that a snapshot shows for the first time.
func (a *ChangeAge) OfSnapshot(now time.Time) time.Duration {
	if a.completeAt.IsZero() {
		return UnknownAge
	}
	return now.Sub(a.completeAt)
}

// OfAnswer returns the maximum age of a change in the directory's answer.
func (a *ChangeAge) OfAnswer(asked, now time.Time, paused time.Duration) time.Duration {
	if a.completeAt.IsZero() {
		return UnknownAge
	}
	return max(asked.Sub(a.completeAt), 0) + answerDelay(asked, now, paused)
}

// OfReport returns the maximum age of a change that another host has reported with the given age.
func (a *ChangeAge) OfReport(asked, now time.Time, age, paused time.Duration) time.Duration {
	return age + answerDelay(asked, now, paused)
}

// CompleteSnapshot records that the whole directory was read from the time asked on.
func (a *ChangeAge) CompleteSnapshot(asked time.Time) { a.complete(asked) }

// CompleteAnswer records that the directory has answered.
func (a *ChangeAge) CompleteAnswer(asked, now time.Time, paused time.Duration) {
	a.complete(now.Add(-answerDelay(asked, now, paused)))
}

// CompleteReport records the answer of another host, which was complete for age before it answered.
func (a *ChangeAge) CompleteReport(asked, now time.Time, age, paused time.Duration) {
	a.complete(now.Add(-age - answerDelay(asked, now, paused)))
}

func (a *ChangeAge) complete(at time.Time) {
	if at.After(a.completeAt) {
		a.completeAt = at
	}
}

// answerDelay bounds how long ago an answer was sent.
func answerDelay(asked, now time.Time, paused time.Duration) time.Duration {
	return min(now.Sub(asked), directoryDelay+paused)
}
