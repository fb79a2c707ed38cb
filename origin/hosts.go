package origin

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/least"
)

const (
	// holderCount is the number of hosts that are told of a stream beside the one that began it.
	holderCount = 2
	// askedPerDataCentre allows for membership lists that differ by a host, and for one that has just died.
	askedPerDataCentre = 2
)

// Holders returns the hosts that are told at which software version a stream of this host began: the first one by
// rendezvous hashing in its own data centre, and the first one elsewhere, since a data centre may be cut off. A host
// that is alone in its data centre tells two elsewhere, one without others elsewhere two beside it.
func Holders(request spoke.RequestID, peers []spoke.ListedPeer, self spoke.ListedPeer) []spoke.HostID {
	near := first(request, peers, func(peer spoke.ListedPeer) bool {
		return peer.DataCentre == self.DataCentre && peer.ID != self.ID
	}, holderCount)
	far := first(request, peers, func(peer spoke.ListedPeer) bool { return peer.DataCentre != self.DataCentre }, holderCount)
	near = near[:min(max(holderCount/2, holderCount-len(far)), len(near))]
	return slices.Concat(near, far[:min(holderCount-len(near), len(far))])
}

// Sources returns the other hosts that are asked at which software version a stream began: those that the host that
// began it may have told, whatever data centre it is in.
func Sources(request spoke.RequestID, peers []spoke.ListedPeer, self spoke.ListedPeer) []spoke.HostID {
	dataCentres := map[spoke.DataCentreID]bool{self.DataCentre: true}
	for _, peer := range peers {
		dataCentres[peer.DataCentre] = true
	}
	count := askedPerDataCentre
	if len(dataCentres) == 1 {
		// Both holders are here, beside the host that began the stream.
		count = holderCount + 1
	}
	var asked []spoke.HostID
	for _, dataCentre := range slices.Sorted(maps.Keys(dataCentres)) {
		asked = append(asked, first(request, peers, func(peer spoke.ListedPeer) bool {
			return peer.DataCentre == dataCentre && peer.ID != self.ID
		}, count)...)
	}
	return asked
}

// first returns the first hosts by rendezvous hashing among those that match.
func first(request spoke.RequestID, peers []spoke.ListedPeer, matches func(spoke.ListedPeer) bool, count int) []spoke.HostID {
	type weighted struct {
		id     spoke.HostID
		weight uint64
	}
	best := make([]weighted, 0, count+1)
	for _, peer := range peers {
		if !matches(peer) {
			continue
		}
		added := weighted{peer.ID, xxhash.Sum64String(string(request) + "/" + string(peer.ID))}
		best = least.Insert(best, added, count, func(a, b weighted) int {
			return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.id, b.id))
		})
	}
	ids := make([]spoke.HostID, len(best))
	for i, host := range best {
		ids[i] = host.id
	}
	return ids
}
