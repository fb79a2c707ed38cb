package place

import "time"

// Steps decides the time between two looks of a host at its waiting calls and its news.
type Steps struct {
	// Busy applies while calls wait, Idle while none does.
	Busy time.Duration
	Idle time.Duration

	isBusy bool
}

// Ended returns the length of the step after one that has ended.
func (s *Steps) Ended(isWaiting bool) time.Duration {
	s.isBusy = isWaiting
	return s.length()
}

// Saw returns the length of the present step after a message. A step becomes shorter at once but
// longer only at its end, so that calls that wait for moments do not put its end off again and again.
func (s *Steps) Saw(isWaiting bool) time.Duration {
	s.isBusy = s.isBusy || isWaiting
	return s.length()
}

func (s *Steps) length() time.Duration {
	if s.isBusy {
		return s.Busy
	}
	return s.Idle
}
