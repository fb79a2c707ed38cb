package lease

import "time"

const (
	// staggerStep is the time in which a host can acquire a free lease and the others observe it.
	staggerStep = 100 * time.Millisecond
	// maxStagger bounds the wait for the hosts of lower rank, since they may be down.
	maxStagger = 1500 * time.Millisecond
)

// Stagger spreads the attempts of many hosts to acquire a free lease over time, in the order of
// their ranks, since of simultaneous attempts all but one fail. The zero value has not observed
// the lease free.
type Stagger struct{ freeSince time.Time }

// ObserveHeld records that a host holds the lease.
func (s *Stagger) ObserveHeld() { s.freeSince = time.Time{} }

// MayAcquire reports whether the hosts of lower rank have had the time to acquire the free lease.
// The time runs from the first call after the lease was last observed held.
func (s *Stagger) MayAcquire(now time.Time, rank int) bool {
	if s.freeSince.IsZero() {
		s.freeSince = now
	}
	return now.Sub(s.freeSince) >= min(time.Duration(rank)*staggerStep, maxStagger)
}
