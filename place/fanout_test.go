package place_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// fanOut simulates how a large value reaches the hosts of one data centre: it returns after how many steps the last
// of those that can be reached has it, and how often the busiest host sends it.
func fanOut(t *testing.T, hostCount int, isSilent func(spoke.HostID) bool) (steps, most int) {
	t.Helper()
	peers := make([]spoke.ListedPeer, hostCount)
	for i := range peers {
		peers[i] = spoke.ListedPeer{ID: spoke.HostID(fmt.Sprint("host-", i)), DataCentre: "a"}
	}
	depths, sent := make(map[spoke.HostID]int), make(map[spoke.HostID]int)
	for range hostCount {
		for i, self := range peers {
			if _, hasIt := depths[self.ID]; hasIt || isSilent(self.ID) {
				continue
			}
			others := append(append([]spoke.ListedPeer{}, peers[:i]...), peers[i+1:]...)
			sources := place.ContentSources(others, self)
			if len(sources) == 0 {
				depths[self.ID] = 0
				continue
			}
			for _, source := range sources {
				if depth, hasIt := depths[source]; hasIt {
					depths[self.ID] = depth + 1
					sent[source]++
					steps = max(steps, depth+1)
					most = max(most, sent[source])
					break
				}
				if !isSilent(source) {
					break
				}
			}
		}
	}
	for _, self := range peers {
		if _, hasIt := depths[self.ID]; !hasIt && !isSilent(self.ID) {
			t.Errorf("%s of %d hosts has no source that can be reached", self.ID, hostCount)
		}
	}
	return steps, most
}

// Guards against a host that sends a large value to ever more hosts as an installation grows, and against a way to
// the last host that grows faster than the logarithm of the number of hosts.
func TestLargeValuesFanOut(t *testing.T) {
	for hostCount, wantedSteps := range map[int]int{3: 1, 8: 1, 9: 2, 22: 2, 60: 3, 80: 3, 420: 5} {
		steps, most := fanOut(t, hostCount, func(spoke.HostID) bool { return false })
		assert.Check(t, steps <= wantedSteps, "%d hosts: %d steps", hostCount, steps)
		assert.Check(t, most <= 3, "%d hosts: one sends %d copies", hostCount, most)
	}
}

// Guards against hosts that get no large value, or all ask the same one, while some hosts are silent.
func TestLargeValuesPassSilentHosts(t *testing.T) {
	for silent := range 60 {
		_, most := fanOut(t, 60, func(id spoke.HostID) bool { return id == spoke.HostID(fmt.Sprint("host-", silent)) })
		assert.Check(t, most <= 6, "without host %d one sends %d copies", silent, most)
	}
}
