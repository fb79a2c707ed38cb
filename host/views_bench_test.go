package host_test

import (
	"fmt"
	"testing"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/host"
)

// BenchmarkViews measures the views of one service, which each request needs, at the design
// size: 420 hosts and 600 upstreams, 21 of which belong to the service.
func BenchmarkViews(b *testing.B) {
	manifest := new(manifestSource)
	var objects []spoke.Object
	for i := range 600 {
		objects = append(objects, spoke.Upstream{
			ID: spoke.UpstreamID(fmt.Sprint("u", i)), Service: spoke.ServiceName(fmt.Sprint("s", i%29)),
			DataCentre: spoke.DataCentreID(fmt.Sprint("dc", i%7)),
		})
	}
	manifest.apply(objects...)
	members := &spoke.Membership{Self: "h0", Peers: make(map[spoke.HostID]spoke.Peer)}
	for i := range 420 {
		id := spoke.HostID(fmt.Sprint("h", i))
		members.Peers[id] = spoke.Peer{
			ID: id, DataCentre: spoke.DataCentreID(fmt.Sprint("dc", i%7)), State: spoke.PeerAlive,
			Digest: spoke.Digest{Leaving: []spoke.UpstreamID{"u1"}},
		}
	}
	views := host.NewViews(manifest, func() *spoke.Membership { return members })
	for b.Loop() {
		if len(views("s0")) != 21 {
			b.Fatal("views are missing")
		}
	}
}
