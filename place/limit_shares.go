package place

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"magnoliaspoke.example/spoke"
)

// extraSenders is the number of hosts beyond one for each call a second that share a limit. With few hosts,
// the calls that each may send at once add up to less than upstreams tolerate.
const extraSenders = 2

type (
	// limitShare is this host's part of a limit. Hosts know from the list of hosts alone which of them share
	// it, and in which order.
	limitShare struct {
		// rank is the position of this host among the hosts that use the upstream, negative if it is not one
		// of them.
		rank int
		// hosts is the number of hosts that use the upstream, senders the number of those with a share.
		hosts, senders int
		// reporting is the number of hosts that use the upstream and report all that they send to it to this host.
		reporting int
		// rate is the part of the limit that this host may use, zero if it is not one of the senders.
		rate spoke.RequestRate
	}
)

// firstTokens returns the tokens with which a share starts. They differ by rank, so that the senders do not
// all send at the same moments.
func (l limitShare) firstTokens() float64 {
	if l.rate == 0 {
		return 0
	}
	return float64(l.senders-l.rank) / float64(l.senders)
}

// updateShares updates the shares of all limits after a change of the hosts or upstreams.
func (s *Scheduler) updateShares() {
	for _, l := range s.limits {
		if l.isActive {
			s.updateShare(l)
		}
	}
}

// updateShare computes this host's share of a limit.
func (s *Scheduler) updateShare(l *limit) {
	group := s.hostsOf(l.start.ID)
	l.share = limitShare{rank: -1, hosts: len(group), reporting: min(len(group), len(s.cell.Members))}
	if !slices.Contains(group, s.settings.Host) {
		return
	}
	l.share.rank = rankFor(group, s.settings.Host, l.start.ID)
	l.share.senders = int(min(float64(l.rate)+extraSenders, float64(len(group))))
	if l.share.rank < l.share.senders {
		l.share.rate = l.rate / spoke.RequestRate(l.share.senders)
	}
}

// hostsOf returns the hosts that use a limited upstream: those of its cell, or all if the cells share the
// upstreams of its service.
func (s *Scheduler) hostsOf(id spoke.UpstreamID) []spoke.HostID {
	n := s.nodes[id]
	if n == nil {
		return nil
	}
	used := s.cellNodes[n.listed.Service]
	switch {
	case len(used) == len(s.byService[n.listed.Service]):
		return s.cell.Hosts
	case slices.Contains(used, n):
		return s.cell.Members
	}
	return nil
}

// rankFor returns the position of a host in the order in which hosts share an upstream, by rendezvous hashing.
func rankFor(group []spoke.HostID, self spoke.HostID, id spoke.UpstreamID) int {
	weight := func(host spoke.HostID) uint64 { return xxhash.Sum64String(string(host) + "/" + string(id)) }
	own, rank := weight(self), 0
	for _, host := range group {
		if weight(host) > own {
			rank++
		}
	}
	return rank
}
