package place

import (
	"maps"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/quota"
)

const (
	// membershipInterval is the time between two updates of the hosts that share ramps, for changes that depend on the time
	// alone.
	membershipInterval = time.Second
	// rampJoinDelay is the time after which a host sends calls to a cold upstream that its cell has begun to use, as after its
	// start or a change of the cells. Other hosts in touch have the same list by then.
	rampJoinDelay = 5 * time.Second
	// rampListDelay is the time after which it sends them to a new upstream, if there are several cells: while the directory
	// lists several upstreams one after the other, hosts may take a new one for that of different cells.
	rampListDelay = 1500 * time.Millisecond
	// rampDropDelay is the time for which a host that is no longer listed keeps its share. It may go on with its last list.
	rampDropDelay = time.Minute
)

// membership is which hosts use an upstream. It outlives the upstream's starts.
type membership struct {
	// seenAt holds the hosts that use it, or did within rampDropDelay, with the time at which they last did.
	seenAt map[spoke.HostID]time.Time
	// isMember says that this host is one of them, and joinedAt when it may send calls.
	isMember bool
	joinedAt time.Time
	usedAt   time.Time
}

// updateRampShares updates who shares the ramps after a change of the hosts or upstreams.
func (s *Scheduler) updateRampShares(now time.Time) {
	if !s.hasCold {
		return
	}
	s.rampsUpdatedAt = now
	for _, n := range s.nodes {
		if n.ramp.shared != nil {
			s.updateMembership(now, n.listed.ID)
			s.updateRampShare(n.ramp)
		}
	}
	maps.DeleteFunc(s.memberships, func(_ spoke.UpstreamID, m *membership) bool { return now.Sub(m.usedAt) > rampDropDelay })
}

func (s *Scheduler) updateMembership(now time.Time, id spoke.UpstreamID) {
	m, isKnown := s.memberships[id]
	if !isKnown {
		m = &membership{seenAt: make(map[spoke.HostID]time.Time)}
		s.memberships[id] = m
	}
	m.usedAt = now
	group := s.withUnlisted(s.hostsOf(id))
	isMember := slices.Contains(group, s.settings.Host)
	switch {
	case !isMember:
		m.joinedAt = time.Time{}
	case !m.isMember && isKnown:
		m.joinedAt = now.Add(rampJoinDelay)
	case !m.isMember:
		m.joinedAt = s.usableAt
		if delay := now.Add(rampListDelay); s.cell.Count > 1 && delay.After(m.joinedAt) {
			m.joinedAt = delay
		}
	}
	m.isMember = isMember
	if isMember {
		for _, host := range group {
			m.seenAt[host] = now
		}
	}
	maps.DeleteFunc(m.seenAt, func(_ spoke.HostID, at time.Time) bool { return now.Sub(at) > rampDropDelay })
}

// updateRampShare computes this host's share of a ramp.
func (s *Scheduler) updateRampShare(r *ramp) {
	m := s.memberships[r.start.ID]
	if m == nil {
		// The upstream is being added.
		return
	}
	if !m.isMember {
		r.shared.SetShare(quota.NoShare(0))
		return
	}
	hosts := slices.Collect(maps.Keys(m.seenAt))
	senders, usable := quota.Within(r.profile.Rate, r.most, len(hosts))
	share := quota.Divide(usable, senders, hosts, s.settings.Host, r.start.ID)
	share.Reporting = len(s.cell.Members)
	r.shared.SetShare(share)
	held := r.heldUntil
	if m.joinedAt.After(held) {
		held = m.joinedAt
	}
	r.shared.Hold(held)
}
