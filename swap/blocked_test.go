package swap_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/swap"
)

// Guards against a host that keeps the orders although it may order no engine, and against hosts that leave orders which
// they may give.
func TestSwapsAreBlockedByUpstreamsOutOfReach(t *testing.T) {
	for _, c := range []struct {
		name string
		// services holds for each upstream its service, toSwap and lost an x for those that are to be swapped and out of reach.
		services, toSwap, lost string
		isBlocked              bool
	}{
		{"all reached", "aaaaaa", "xxxxxx", "......", false},
		{"two of six lost", "aaaaaa", "xxxxxx", "xx....", false},
		{"half lost", "aaaaaa", "xxxxxx", "xxx...", true},
		{"half lost, which are swapped", "aaaaaa", "...xxx", "xxx...", false},
		{"four of nine lost", "aaaaaaaaa", "xxxxxxxxx", "xxxx.....", true},
		{"only lost ones left", "aaaaaa", "xx....", "xx....", true},
		{"the only one lost", "a", "x", "x", true},
		{"the only one reached", "ab", "xx", ".x", false},
		{"one of two lost", "aa", "xx", "x.", true},
		{"most of a small service lost", "aaaaaabbb", "......xxx", ".......xx", true},
		{"a large service lost, a small one not", "aaaaaabbb", "xxxxxxxxx", "xxxxxx...", false},
		{"no upstreams", "", "", "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var upstreams []spoke.Upstream
			isToSwap, isOutOfReach := make(map[spoke.UpstreamID]bool), make(map[spoke.UpstreamID]bool)
			for i, service := range c.services {
				id := spoke.UpstreamID(fmt.Sprintf("i-%d", i))
				upstreams = append(upstreams, spoke.Upstream{ID: id, Service: spoke.ServiceName(service), State: spoke.UpstreamServing})
				isToSwap[id], isOutOfReach[id] = c.toSwap[i] == 'x', c.lost[i] == 'x'
			}
			assert.Equal(t, swap.AreAllBlocked(upstreams, isToSwap, isOutOfReach), c.isBlocked)
		})
	}
}
