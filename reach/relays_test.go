package reach_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/reach"
)

// relayCount is the number of hosts of the largest fleet.
const relayCount = 420

func newRelays(count int) *reach.Relays {
	relays := reach.NewRelays("cut")
	peers := make([]spoke.ListedPeer, 0, count)
	for i := range count {
		peers = append(peers, spoke.ListedPeer{ID: spoke.HostID(fmt.Sprint("host-", i))})
	}
	relays.SetPeers(peers)
	return relays
}

// Guards against a choice of few hosts that are not the first ones of the order of all.
func TestFewRelaysAreTheFirstOfAll(t *testing.T) {
	now := time.Unix(0, 0)
	relays := newRelays(relayCount)
	for i := range relayCount / 2 {
		relays.Failed(now, spoke.HostID(fmt.Sprint("host-", 2*i)))
	}
	for i := range 20 {
		upstream := spoke.UpstreamID(fmt.Sprint("engine-", i))
		all := relays.Choose(now, upstream, relayCount+1)
		assert.Equal(t, len(all), relayCount)
		for _, count := range []int{0, 1, 2, relayCount/2 + 1} {
			assert.DeepEqual(t, relays.Choose(now, upstream, count), all[:count])
		}
	}
}

func BenchmarkChooseRelays(b *testing.B) {
	now := time.Unix(0, 0)
	relays := newRelays(relayCount)
	for b.Loop() {
		relays.Choose(now, "engine-1", 2)
	}
}
