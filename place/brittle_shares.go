package place

import (
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/quota"
)

const (
	// leastOwnSlots is the number of slots of a host without any, since its calls wait for a slot that another host leaves
	// free.
	leastOwnSlots = 0.1
	// ownSlotsDelay is the time after which a host uses more own slots than before. A host that the directory has dropped
	// has reported its load by then, if it still sends calls.
	ownSlotsDelay = 1200 * time.Millisecond
)

// brittleShare is this host's part of a brittle upstream. Hosts know from the list of hosts alone which slots and
// rejections each of them may use.
type brittleShare struct {
	// rank is the position of this host among the hosts that use the upstream, negative if it is not one of them.
	rank, hosts int
	// slots is the number of slots of the upstream, own the number of those that only this host takes without risk.
	slots, own int
	// usable is the part of own that this host may use until growsAt; that is zero until the first call after a change.
	usable  int
	growsAt time.Time
}

// ownSlots returns the number of slots that only this host takes.
func (b *brittleShare) ownSlots(now time.Time) int {
	if b.usable < b.own && b.growsAt.IsZero() {
		b.growsAt = now.Add(ownSlotsDelay)
	}
	if b.usable < b.own && !now.Before(b.growsAt) {
		b.usable = b.own
	}
	return b.usable
}

// of returns this host's part of a number of rejections. The hosts with the fewest slots get the most of them.
func (b brittleShare) of(rejections spoke.RejectionCount) spoke.RejectionCount {
	if b.rank < 0 || rejections <= 0 {
		return 0
	}
	return spoke.RejectionCount(partOf(int(rejections), b.hosts-1-b.rank, b.hosts))
}

// partOf returns the part of a number for the host with a rank; all parts add up to it.
func partOf(number, rank, hosts int) int {
	part := number / hosts
	if rank < number%hosts {
		part++
	}
	return part
}

// isDivided reports whether the slots of all upstreams of a call are divided between the hosts, so that calls which wait
// at other hosts do not precede it.
func (s *Scheduler) isDivided(m Request) bool {
	nodes := s.cellNodes[m.Service]
	return len(nodes) > 0 && !slices.ContainsFunc(nodes, func(n *node) bool { return !n.isLeaving() && !s.isBrittle(n) })
}

func (s *Scheduler) isBrittle(n *node) bool {
	b := s.brittlenessOf(n)
	return b != nil && b.isActive
}

// ownPart returns the fraction of an upstream's slots that calls like one of this host may use, 1 if they are not divided.
// Hosts leave slots to others while they have no calls waiting.
func (s *Scheduler) ownPart(n *node, m Request) float64 {
	if !s.isBrittle(n) {
		return 1
	}
	b := s.brittlenessOf(n)
	slots := b.share.own
	if s.waitingElsewhere(m).Tokens == 0 {
		slots += int(b.share.of(b.most))
	}
	return min(max(float64(slots), leastOwnSlots)/float64(max(b.share.slots, 1)), 1)
}

// updateBrittleShares updates all shares after a change of the hosts or upstreams.
func (s *Scheduler) updateBrittleShares() {
	for _, b := range s.brittle {
		s.updateBrittleShare(b)
	}
}

// withUnlisted adds the hosts that the directory has dropped and that still report their load. They use the upstreams by a
// list that contains them.
func (s *Scheduler) withUnlisted(group []spoke.HostID) []spoke.HostID {
	if s.cell.Count > 1 {
		return group
	}
	all := slices.Clone(group)
	for host := range s.peers {
		if !slices.Contains(group, host) {
			all = append(all, host)
		}
	}
	return all
}

func (s *Scheduler) updateBrittleShare(b *brittleness) {
	group := s.withUnlisted(s.hostsOf(b.start.ID))
	before := b.share
	b.share = brittleShare{rank: -1, hosts: len(group)}
	if !slices.Contains(group, s.settings.Host) {
		return
	}
	b.share.rank = quota.Rank(group, s.settings.Host, b.start.ID)
	b.share.slots = max(s.nodes[b.start.ID].listed.Slots, 1)
	b.share.own = partOf(b.share.slots, b.share.rank, b.share.hosts)
	b.share.usable = b.share.own
	if before.hosts > 0 {
		b.share.usable = min(before.usable, b.share.own)
	}
	if before.own == b.share.own {
		b.share.growsAt = before.growsAt
	}
}
