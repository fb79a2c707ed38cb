package quota

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"magnoliaspoke.example/spoke"
)

// Share is a host's part of a rate. Hosts know from the list of hosts alone which of them share it, and in which order.
type Share struct {
	// Rank is the position of the host among the hosts that use the upstream, negative if it is not one of them.
	Rank int
	// Hosts is the number of hosts that use the upstream, Senders the number of those with a part.
	Hosts, Senders int
	// Reporting is the number of hosts that use the upstream and report all that they send to it to this host.
	Reporting int
	// Rate is the part that this host may use, zero if it is not one of the senders.
	Rate spoke.RequestRate
}

// NoShare returns the share of a host that does not use the upstream.
func NoShare(hosts int) Share { return Share{Rank: -1, Hosts: hosts, Reporting: hosts} }

// Divide returns the share of a host in a rate that the first senders of a group divide evenly.
func Divide(rate spoke.RequestRate, senders int, group []spoke.HostID, self spoke.HostID, id spoke.UpstreamID) Share {
	share := NoShare(len(group))
	if !slices.Contains(group, self) {
		return share
	}
	share.Rank, share.Senders = Rank(group, self, id), min(senders, len(group))
	if share.Rank < share.Senders {
		share.Rate = rate / spoke.RequestRate(share.Senders)
	}
	return share
}

// Within returns how many of a number of hosts share a rate, and the part of the rate that they use, such that one host
// more than these sends no more than most requests in a second together with them. Each may send one request in addition
// to its part of the rate.
func Within(rate spoke.RequestRate, most float64, hosts int) (senders int, usable spoke.RequestRate) {
	for n := 1; n <= hosts; n++ {
		each := min(float64(rate)/float64(n), most/float64(n+1)-1)
		if total := min(spoke.RequestRate(each*float64(n)), rate); total > 0 && total >= usable {
			senders, usable = n, total
		}
	}
	return senders, usable
}

// Rank returns the position of a host in the order in which hosts share an upstream, by rendezvous hashing.
func Rank(group []spoke.HostID, self spoke.HostID, id spoke.UpstreamID) int {
	weight := func(host spoke.HostID) uint64 { return xxhash.Sum64String(string(host) + "/" + string(id)) }
	own, rank := weight(self), 0
	for _, host := range group {
		if weight(host) > own {
			rank++
		}
	}
	return rank
}

// firstTokens returns the tokens with which a share starts. They differ by rank, so that the senders do not all send at
// the same moments.
func (s Share) firstTokens() float64 {
	if s.Rate == 0 {
		return 0
	}
	return float64(s.Senders-s.Rank) / float64(s.Senders)
}
