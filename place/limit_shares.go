package place

import (
	"slices"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/quota"
)

// extraSenders is the number of hosts beyond one for each call a second that share a limit. With few hosts,
// the calls that each may send at once add up to less than upstreams tolerate.
const extraSenders = 2

// updateShares updates the shares of all limits after a change of the hosts or upstreams.
func (s *Scheduler) updateShares() {
	for _, l := range s.limits {
		if l.IsActive() {
			s.updateShare(l)
		}
	}
}

// updateShare computes this host's share of a limit.
func (s *Scheduler) updateShare(l *limit) {
	group := s.hostsOf(l.start.ID)
	senders := int(min(float64(l.Rate())+extraSenders, float64(len(group))))
	share := quota.Divide(l.Rate(), senders, group, s.settings.Host, l.start.ID)
	share.Reporting = min(len(group), len(s.cell.Members))
	l.SetShare(share)
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
