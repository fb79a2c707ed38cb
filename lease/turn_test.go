package lease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/lease"
)

const (
	turnHosts = 77
	askEvery  = 20 * time.Millisecond
	seenAfter = 50 * time.Millisecond
	// longestWaited is the number of hosts for which one waits in full.
	longestWaited = 15
)

// Replays the loss of the lease in an installation of 77 hosts, which all asked for it at once.
// Guards against that, and against a lease that stays free while the first hosts are gone.
func TestHostsAskInTurn(t *testing.T) {
	for _, gone := range []int{0, 3, turnHosts - 1} {
		turns := make([]lease.Stagger, turnHosts)
		now := time.Unix(1000, 0)
		lost, taken := now, time.Time{}
		asked := make(map[int]bool)
		for now.Sub(lost) < 2*time.Second {
			for rank := gone; rank < turnHosts; rank++ {
				if !taken.IsZero() && now.Sub(taken) >= seenAfter {
					turns[rank].ObserveHeld()
					continue
				}
				if turns[rank].MayAcquire(now, rank) && !asked[rank] {
					asked[rank] = true
					if taken.IsZero() {
						taken = now
					}
				}
			}
			now = now.Add(askEvery)
		}
		assert.Assert(t, len(asked) >= 1, "nobody asked with %d hosts gone", gone)
		if gone < longestWaited {
			assert.Assert(t, len(asked) <= 2, "%d hosts asked with %d gone", len(asked), gone)
		}
	}
}
