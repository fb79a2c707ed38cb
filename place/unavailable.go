package place

import (
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/quota"
)

// availability is when an upstream of a call takes calls of this host again.
type availability struct {
	// wait is zero if an upstream takes calls now.
	wait   time.Duration
	reason Reason
	// rate is this host's part of the limits and ramps of the call's upstreams.
	rate spoke.RequestRate
}

// unavailableReason returns why no upstream takes a call within its target, empty if one may. Upstreams that
// have requested a pause take none until its end, limited and cold ones none beyond this host's share, which calls
// that are ahead use first.
func (s *Scheduler) unavailableReason(now time.Time, m Request, ahead int) Reason {
	a := s.availabilityOf(now, m)
	if a.wait > 0 && now.Add(a.waitBehind(ahead)).After(m.Target) {
		return a.reason
	}
	return ""
}

func (s *Scheduler) availabilityOf(now time.Time, m Request) availability {
	var first availability
	var rate spoke.RequestRate
	for _, n := range s.byService[m.Service] {
		if !n.mayServe(m) {
			continue
		}
		a := n.availability(now)
		if a.wait <= 0 {
			return availability{}
		}
		rate += a.rate
		if first.wait == 0 || a.wait < first.wait {
			first = a
		}
	}
	first.rate = rate
	return first
}

func (n *node) availability(now time.Time) availability {
	a := availability{wait: n.requestedPauseUntil.Sub(now), reason: RefusedPaused}
	if wait := n.limit.Wait(now); wait > max(a.wait, 0) {
		a = availability{wait: wait, reason: RefusedLimited, rate: n.limit.Share().Rate}
	}
	if n.isCold(now) {
		if wait := n.ramp.wait(now); wait > max(a.wait, 0) {
			a = availability{wait: wait, reason: RefusedCold, rate: n.ramp.shared.Share().Rate}
		}
	}
	return a
}

// waitBehind returns the wait of a call behind others that wait for the same limits or ramps.
func (a availability) waitBehind(ahead int) time.Duration {
	if a.reason != RefusedLimited && a.reason != RefusedCold {
		return a.wait
	}
	return a.wait + quota.TimeFor(float64(ahead), a.rate)
}
