package place

import "time"

// SignalTime bounds the time at which a signal was sent. A host that gets no processor time for a while learns of the
// signal late, and the kernel does not say when it was sent.
type SignalTime struct {
	// last and before are the last two looks that have found no signal.
	last, before time.Time
}

// NoneAt records that no signal has arrived.
func (s *SignalTime) NoneAt(now time.Time) { s.before, s.last = s.last, now }

// Earliest returns the earliest time at which a signal that has arrived now was sent. A signal may arrive a moment after
// it was sent, and after the last look, which may be the first one after a pause of the host.
func (s *SignalTime) Earliest(now time.Time) time.Time {
	switch {
	case !s.before.IsZero():
		return s.before
	case !s.last.IsZero():
		return s.last
	}
	return now
}
