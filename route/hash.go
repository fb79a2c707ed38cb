package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"magnoliaspoke.example/spoke"
)

// score returns the rendezvous weight of a node for a key; the highest weight is chosen.
func score(key []byte, node string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(key)
	// The separator keeps the boundary between key and node unambiguous.
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(node)
	return digest.Sum64()
}

// Owner returns the host that queues for an upstream, empty if there are no hosts.
func Owner(upstream spoke.UpstreamID, hosts []spoke.HostID) spoke.HostID {
	var owner spoke.HostID
	var best uint64
	for _, host := range hosts {
		s := score([]byte(upstream), string(host))
		// The lower name breaks ties so that all hosts choose the same owner.
		if owner == "" || s > best || (s == best && host < owner) {
			owner, best = host, s
		}
	}
	return owner
}

// Order returns the hosts in the order in which they take a task over from each other, the one that Owner returns first.
func Order(task spoke.UpstreamID, hosts []spoke.HostID) []spoke.HostID {
	return byScore([]byte(task), hosts, func(host spoke.HostID) string { return string(host) })
}

// byHash sorts views by rendezvous weight for a key, the highest first.
func byHash(key spoke.BlockKey, views []*spoke.UpstreamView) []*spoke.UpstreamView {
	return byScore(key[:], views, func(view *spoke.UpstreamView) string { return string(view.Upstream.ID) })
}

// byScore returns nodes in the order of their scores for a key, the highest first; the lower name breaks ties.
func byScore[T any](key []byte, nodes []T, name func(T) string) []T {
	type scored struct {
		node  T
		score uint64
	}
	list := make([]scored, len(nodes))
	for i, node := range nodes {
		list[i] = scored{node, score(key, name(node))}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(name(a.node), name(b.node)))
	})
	sorted := make([]T, len(list))
	for i, s := range list {
		sorted[i] = s.node
	}
	return sorted
}
