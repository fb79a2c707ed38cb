package place

import (
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// rejectionWindow is the span in which the rejections of brittle upstreams are counted. Upstreams count those of a
	// second; the rest is for rejections that hosts learn of at different delays.
	rejectionWindow = 1100 * time.Millisecond
	// riskTime is the time after which a call that was not rejected is assumed to be accepted, and is contained in
	// the reports that other hosts have received.
	riskTime = 300 * time.Millisecond
	// rejectionPause is how long a host sends nothing after a rejection, until it has the reports of other hosts.
	rejectionPause = 100 * time.Millisecond
	// heldTime is how long a slot is assumed to be held by a call that ended without an answer, since upstreams
	// notice late that a connection is closed.
	heldTime = 500 * time.Millisecond
)

type (
	// brittleness is the state of one start of an upstream that falls over if it rejects too many calls within a second,
	// and what hosts know of these rejections.
	brittleness struct {
		start spoke.UpstreamStart
		// most is the number of rejections from which one more makes the upstream fall over.
		most spoke.RejectionCount
		// isActive is set from the first answer that says that the upstream is brittle until one does not.
		isActive bool
		// changedAt is when this host learned that the upstream is brittle, or that it is not any more.
		changedAt time.Time
		// statedAt is the time of the newest answer that said so; once that has ended, the time at which the request
		// was sent whose answer did not.
		statedAt time.Time
		share    brittleShare
		// risks holds the times at which calls beyond the own slots were sent, held those at which calls ended that may
		// still hold a slot, rejected those of rejections.
		risks, held, rejected []time.Time
		peers                 map[spoke.HostID]peerRejections
		usedAt                time.Time
	}

	// peerRejections is the number of rejections that another host reported.
	peerRejections struct {
		count      int
		receivedAt time.Time
	}

	// BrittleNamed reports, as soon as the head of an answer has been read, that the upstream says that it is brittle.
	BrittleNamed struct {
		Call spoke.CallNumber
		// Most is the number of rejections within a second from which one more makes it fall over.
		Most spoke.RejectionCount
	}

	// BrittleChanged reports that an upstream has become brittle or stands another number of rejections, or that it is
	// not brittle any more.
	BrittleChanged struct {
		Upstream spoke.UpstreamID
		Most     spoke.RejectionCount
		IsEnded  bool
		// Slots is the number of slots that this host may use at any time, Share its part of the rejections.
		Slots int
		Share spoke.RejectionCount
		// Host is the host that received the answer.
		Host spoke.HostID
	}
)

func (BrittleNamed) isMessage()  {}
func (BrittleChanged) isAction() {}

// brittlenessOf returns what is known of a start of an upstream, nil if it has never been brittle.
func (s *Scheduler) brittlenessOf(n *node) *brittleness {
	if len(s.brittle) == 0 {
		return nil
	}
	return s.brittle[startOf(n.listed)]
}

func (s *Scheduler) addBrittleness(now time.Time, start spoke.UpstreamStart) *brittleness {
	b := s.brittle[start]
	if b == nil {
		b = &brittleness{start: start, peers: make(map[spoke.HostID]peerRejections)}
		s.brittle[start] = b
	}
	b.usedAt = now
	return b
}

// brittleNamed applies an answer that says that its upstream is brittle.
func (s *Scheduler) brittleNamed(now time.Time, m BrittleNamed) {
	if run := s.running[m.Call]; run != nil {
		run.isNamedBrittle = true
		s.setBrittle(now, s.addBrittleness(now, startOf(run.node.listed)), m.Most, now, s.settings.Host)
	}
}

// noBrittleNamed applies an answer that does not say that its upstream is brittle. It ends that only if its request was
// sent after the last answer that said so, since answers overtake each other.
func (s *Scheduler) noBrittleNamed(now time.Time, run *runningCall) {
	if b := s.brittlenessOf(run.node); b != nil && !run.isNamedBrittle {
		s.endBrittle(now, b, run.sent, s.settings.Host)
	}
}

// setBrittle sets the rejections that a brittle upstream stands, as stated at a time and found by a host.
func (s *Scheduler) setBrittle(now time.Time, b *brittleness, most spoke.RejectionCount, statedAt time.Time, by spoke.HostID) {
	if !statedAt.After(b.statedAt) {
		return
	}
	b.statedAt = statedAt
	if b.isActive && b.most == most {
		return
	}
	if !b.isActive {
		b.changedAt = now
	}
	b.most, b.isActive = most, true
	s.updateBrittleShare(b)
	s.reportBrittleChange(b, by)
}

// endBrittle ends the state, if the answer that did not name it followed the last one that did.
func (s *Scheduler) endBrittle(now time.Time, b *brittleness, statedAt time.Time, by spoke.HostID) {
	if !statedAt.After(b.statedAt) || b.statedAt.IsZero() {
		return
	}
	b.statedAt = statedAt
	if b.isActive {
		b.isActive, b.changedAt = false, now
		s.reportBrittleChange(b, by)
	}
}

// hasBrittleRoom reports whether this host may send a call to an upstream, if that is brittle: to a slot of its own, or
// to one that seems to be free if a rejection would still leave all hosts within what the upstream stands.
func (s *Scheduler) hasBrittleRoom(now time.Time, n *node) bool {
	b := s.brittlenessOf(n)
	if b == nil || !b.isActive {
		return true
	}
	held := countSince(&b.held, now, heldTime)
	total := max(n.totals().Runs, n.reportedCalls(now)) + held
	if b.share.rank < 0 || total >= b.share.slots || b.isPausing(now) {
		return false
	}
	rejected := spoke.RejectionCount(countSince(&b.rejected, now, rejectionWindow))
	rest := b.most - rejected - b.rejectedElsewhere(now)
	if len(n.runs)+held < b.share.ownSlots(now) {
		// Rejections show that hosts divide the slots by different lists of hosts.
		isClear := rest > 0 || rest == b.most || total < b.share.slots-1
		return isClear && rejected < max(b.share.of(b.most), 1)
	}
	if total >= b.share.slots-b.margin() {
		return false
	}
	// Of its own rejections a host always knows; those of others may be more than it has received.
	left := min(b.share.of(b.most)-rejected, b.share.of(rest))
	return spoke.RejectionCount(countSince(&b.risks, now, riskTime)) < left
}

// margin is the number of slots that stay free of calls beyond the own slots of hosts, since several hosts may send such
// calls before they receive each other's reports.
func (b *brittleness) margin() int { return b.share.hosts / (1 + int(b.most)) }

func (b *brittleness) isPausing(now time.Time) bool {
	last := len(b.rejected) - 1
	return last >= 0 && now.Sub(b.rejected[last]) < rejectionPause
}

// rejectedElsewhere is the number of calls of other hosts that the upstream has recently rejected.
func (b *brittleness) rejectedElsewhere(now time.Time) spoke.RejectionCount {
	count := 0
	for _, rejected := range b.peers {
		if now.Sub(rejected.receivedAt) < rejectionWindow {
			count += rejected.count
		}
	}
	return spoke.RejectionCount(count)
}

// takeBrittle records a call that is sent to an upstream. It must be called before the call is added to runs.
func (s *Scheduler) takeBrittle(now time.Time, n *node) {
	if b := s.brittlenessOf(n); b != nil && len(n.runs)+countSince(&b.held, now, heldTime) >= b.share.ownSlots(now) {
		b.risks = append(b.risks, now)
	}
}

// endBrittleRun records the end of a call at a brittle upstream.
func (s *Scheduler) endBrittleRun(now time.Time, run *runningCall, m Ended) {
	b := s.brittlenessOf(run.node)
	if b == nil {
		return
	}
	switch {
	case m.IsRejectedForRoom:
		b.rejected = append(b.rejected, now)
		s.report.brittle[b] = true
	case m.Ending == EndBroken || m.Ending == EndCancelled:
		b.held = append(b.held, now)
	}
}

// dropBrittle drops the state of upstreams that have not been listed for limitRetention.
func (s *Scheduler) dropBrittle(now time.Time) {
	for _, n := range s.nodes {
		if b := s.brittlenessOf(n); b != nil {
			b.usedAt = now
		}
	}
	for start, b := range s.brittle {
		if now.Sub(b.usedAt) > limitRetention {
			delete(s.brittle, start)
		}
	}
}

// countSince drops the times that are older than a period and returns the number of the others.
func countSince(times *[]time.Time, now time.Time, period time.Duration) int {
	*times = slices.DeleteFunc(*times, func(at time.Time) bool { return now.Sub(at) >= period })
	return len(*times)
}
