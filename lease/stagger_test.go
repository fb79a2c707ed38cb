package lease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/lease"
)

const (
	hostCount       = 77
	acquireInterval = 20 * time.Millisecond
	holderSeenAfter = 50 * time.Millisecond
	// staggeredRanks is the number of ranks whose wait is below the maximum; all further ranks
	// try to acquire the lease at the same time.
	staggeredRanks = 15
)

// Guards against hosts that all try to acquire a free lease at once, as in an installation of 77
// hosts, and against a lease that stays free while the hosts of the lowest ranks are down.
func TestHostsAcquireInRankOrder(t *testing.T) {
	for _, missing := range []int{0, 3, hostCount - 1} {
		staggers := make([]lease.Stagger, hostCount)
		now := time.Unix(1000, 0)
		freedAt, acquiredAt := now, time.Time{}
		attempted := make(map[int]bool)
		for now.Sub(freedAt) < 2*time.Second {
			for rank := missing; rank < hostCount; rank++ {
				if !acquiredAt.IsZero() && now.Sub(acquiredAt) >= holderSeenAfter {
					staggers[rank].ObserveHeld()
					continue
				}
				if staggers[rank].MayAcquire(now, rank) && !attempted[rank] {
					attempted[rank] = true
					if acquiredAt.IsZero() {
						acquiredAt = now
					}
				}
			}
			now = now.Add(acquireInterval)
		}
		assert.Assert(t, len(attempted) >= 1, "no host tried to acquire the lease with %d hosts down", missing)
		if missing < staggeredRanks {
			assert.Assert(t, len(attempted) <= 2, "%d hosts tried to acquire the lease with %d down", len(attempted), missing)
		}
	}
}
