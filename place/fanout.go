package place

import (
	"slices"

	"magnoliaspoke.example/spoke"
)

// contentFanOut is the number of hosts that get large values of the directory from one host while all are well.
const contentFanOut = 3

// ContentSources returns the hosts from which a host gets large values of the directory, in the order in which it
// asks them; none if it watches the directory itself. The hosts of a group form a tree below its watchers, so that
// the bytes that one of them sends do not grow with the number of hosts, and the way to the last one grows with its
// logarithm.
func ContentSources(peers []spoke.ListedPeer, self spoke.ListedPeer) []spoke.HostID {
	group := watchGroup(peers, self)
	rank := slices.Index(group, self.ID)
	if rank < watchersPerGroup {
		return nil
	}
	parent := (rank - watchersPerGroup) / contentFanOut
	// A host whose parent is silent asks one beside it, then a watcher. All of them precede it in the order, so
	// that no two hosts wait for each other.
	beside := parent - 1
	if parent == 0 {
		beside = 1
	}
	sources := []spoke.HostID{group[parent], group[beside]}
	if watcher := rank % watchersPerGroup; watcher != parent && watcher != beside {
		sources = append(sources, group[watcher])
	}
	return sources
}
