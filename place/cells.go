package place

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"magnoliaspoke.example/spoke"
)

const (
	// hostsPerCell is the approximate number of hosts in a cell. Hosts report their load only within their
	// cell, since the number of reports grows with the square of the hosts.
	hostsPerCell = 9
	// minUpstreamsPerCell is the number of upstreams of a service per cell below which all cells share
	// the upstreams.
	minUpstreamsPerCell = 3
	// delegatesPerCell is the number of hosts of a cell that report the state shared by all its hosts to
	// other cells.
	delegatesPerCell = 2
	// watchersPerGroup is the number of hosts that watch the directory for a group of hosts.
	watchersPerGroup = 2
)

// Cells divides hosts into cells and returns the cell of self, its members, and the number of cells. When a
// host joins or leaves, few others change their cell.
func Cells(hosts []spoke.HostID, self spoke.HostID) (cell int, members []spoke.HostID, count int) {
	ordered := hostsByHash(hosts)
	count = cellCount(len(ordered))
	cell = cellOf(max(slices.Index(ordered, self), 0), len(ordered), count)
	for rank, id := range ordered {
		if cellOf(rank, len(ordered), count) == cell {
			members = append(members, id)
		}
	}
	return cell, members, count
}

// CellsOf returns the cell of each host.
func CellsOf(hosts []spoke.HostID) map[spoke.HostID]int {
	ordered := hostsByHash(hosts)
	count := cellCount(len(ordered))
	cells := make(map[spoke.HostID]int, len(ordered))
	for rank, id := range ordered {
		cells[id] = cellOf(rank, len(ordered), count)
	}
	return cells
}

// HasDelegates reports whether other members of a cell, in the order returned by Cells, report the shared
// state of the cell to other cells, so that self need not.
func HasDelegates(members []spoke.HostID, self spoke.HostID) bool {
	return slices.Index(members, self) >= delegatesPerCell
}

// Watchers returns the hosts that watch the directory for the group of self, since calls to the platform's
// store are expensive. The group is all hosts, or those of one data centre if there are several cells.
func Watchers(peers []spoke.ListedPeer, self spoke.ListedPeer) []spoke.HostID {
	group := watchGroup(peers, self)
	return group[:min(watchersPerGroup, len(group))]
}

// watchGroup returns the hosts that follow the directory through the same watchers as self, the watchers first.
func watchGroup(peers []spoke.ListedPeer, self spoke.ListedPeer) []spoke.HostID {
	isDivided := len(peers)+1 >= 2*hostsPerCell
	group := []spoke.HostID{self.ID}
	for _, peer := range peers {
		if !isDivided || peer.DataCentre == self.DataCentre {
			group = append(group, peer.ID)
		}
	}
	return hostsByHash(group)
}

// Rank returns the position of a host in an order of all hosts that is the same on each of them.
func Rank(hosts []spoke.HostID, self spoke.HostID) int {
	return slices.Index(hostsByHash(hosts), self)
}

func hostsByHash(hosts []spoke.HostID) []spoke.HostID {
	return byHash(hosts, func(id spoke.HostID) string { return string(id) })
}

func cellCount(hosts int) int { return max(hosts/hostsPerCell, 1) }

func cellOf(rank, total, count int) int { return rank * count / total }

// assignCells returns the upstreams of a service that this host's cell uses, and records the cell of each unless all cells
// use them.
func (s *Scheduler) assignCells(nodes []*node) []*node {
	if len(nodes) < minUpstreamsPerCell*s.cell.Count {
		return nodes
	}
	var selected []*node
	for rank, n := range byHash(nodes, func(n *node) string { return string(n.listed.ID) }) {
		cell := cellOf(rank, len(nodes), s.cell.Count)
		s.cellOfUpstream[n.listed.ID] = cell
		if cell == s.cell.Cell {
			selected = append(selected, n)
		}
	}
	return selected
}

func byHash[T any](items []T, name func(T) string) []T {
	return slices.SortedFunc(slices.Values(items), func(a, b T) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(name(a)), xxhash.Sum64String(name(b))), cmp.Compare(name(a), name(b)))
	})
}
