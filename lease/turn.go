package lease

import "time"

const (
	// turnStep is the time in which a host that asks for a free lease gets it and the others see that.
	turnStep = 100 * time.Millisecond
	// longestTurn bounds the wait for the hosts before this one, since they may be gone.
	longestTurn = 1500 * time.Millisecond
)

// Turn lets hosts ask for a lease that has become free one after the other, since of many that ask
// at once all but one fail; the zero value has not seen it free.
type Stagger struct{ free time.Time }

// Held notes that a host holds the lease.
func (t *Stagger) ObserveHeld() { t.free = time.Time{} }

// Has reports whether the hosts of lower rank have had the time to take the free lease.
func (t *Stagger) MayAcquire(now time.Time, rank int) bool {
	if t.free.IsZero() {
		t.free = now
	}
	return now.Sub(t.free) >= min(time.Duration(rank)*turnStep, longestTurn)
}
