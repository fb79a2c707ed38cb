package place

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"magnoliaspoke.example/spoke"
)

const (
	// cellHosts is the number of hosts that tell each other their loads. Accounts grow with the
	// square of the hosts, so larger installations are divided into cells of about this size.
	cellHosts = 9
	// leastUpstreams is the number of upstreams of a service for each cell below which all cells
	// share them.
	leastUpstreams = 3
	// tellers is the number of hosts of a cell that repeat to other cells what all of it know.
	tellers = 2
	// watchers is the number of hosts that watch the directory for a group of hosts.
	watchers = 2
)

// Cells divides hosts into cells and returns the cell of one of them, its members, and the
// number of cells. A host that joins or leaves moves few of the others.
func Cells(hosts []spoke.HostID, self spoke.HostID) (cell int, members []spoke.HostID, count int) {
	ordered := hostsByHash(hosts)
	count = max(len(ordered)/cellHosts, 1)
	cell = cellOf(max(slices.Index(ordered, self), 0), len(ordered), count)
	for rank, id := range ordered {
		if cellOf(rank, len(ordered), count) == cell {
			members = append(members, id)
		}
	}
	return cell, members, count
}

// HasTellers reports whether others of the members of a cell, in the order of Cells, repeat to other
// cells what all of them know.
func HasDelegates(members []spoke.HostID, self spoke.HostID) bool {
	return slices.Index(members, self) >= tellers
}

// Watchers returns the hosts that watch the directory for the others: two of all, or of each data centre
// where there are several cells, since calls to the platform's store are dear.
func Watchers(peers []spoke.ListedPeer, self spoke.ListedPeer) []spoke.HostID {
	isDivided := len(peers)+1 >= 2*cellHosts
	group := []spoke.HostID{self.ID}
	for _, peer := range peers {
		if !isDivided || peer.DataCentre == self.DataCentre {
			group = append(group, peer.ID)
		}
	}
	group = hostsByHash(group)
	return group[:min(watchers, len(group))]
}

// Rank returns the position of a host among all in an order that the hosts agree on.
func Rank(hosts []spoke.HostID, self spoke.HostID) int {
	return slices.Index(hostsByHash(hosts), self)
}

func hostsByHash(hosts []spoke.HostID) []spoke.HostID {
	return byHash(hosts, func(id spoke.HostID) string { return string(id) })
}

func cellOf(rank, total, count int) int { return rank * count / total }

// nearOnes returns the upstreams of a service that this host's cell uses.
func nearOnes(nodes []*node, cell, count int) []*node {
	if len(nodes) < leastUpstreams*count {
		return nodes
	}
	var near []*node
	for rank, n := range byHash(nodes, func(n *node) string { return string(n.listed.ID) }) {
		if cellOf(rank, len(nodes), count) == cell {
			near = append(near, n)
		}
	}
	return near
}

func byHash[T any](items []T, name func(T) string) []T {
	return slices.SortedFunc(slices.Values(items), func(a, b T) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(name(a)), xxhash.Sum64String(name(b))), cmp.Compare(name(a), name(b)))
	})
}
