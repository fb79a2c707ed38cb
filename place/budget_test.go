package place_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Upstreams turn most calls away while few are made. Guards against a reserve of retries that the
// hosts of each cell divide among themselves, so that all cells together exceed it.
func TestRetryReserveIsSharedByAllCells(t *testing.T) {
	for _, hosts := range []int{7, 90} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			f := newFleet(t, hosts, 30)
			f.callsPerSecond, f.shedShare = 0.3, 0.9
			for second := 12; second <= 30; second++ {
				f.run(float64(second))
				calls, retries := f.recentCalls(10 * time.Second)
				assert.Assert(t, float64(retries) <= 0.2*float64(calls)+10, "%d s: %d retries, %d calls", second, retries, calls)
			}
		})
	}
}
