package place

import (
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/quota"
)

const (
	// limitWindow is the span in which the calls of all hosts to a limited upstream are counted.
	limitWindow = 4 * time.Second
	// limitWindowFactor and limitWindowReserve bound the calls of all hosts within limitWindow: the factor
	// applies to what the limit allows, the reserve is a number of calls. Upstreams tolerate one and a half
	// times their limit and five calls; the rest is for calls that hosts send before they receive each
	// other's reports.
	limitWindowFactor  = 1.25
	limitWindowReserve = 3.0
	// limitBurst is the time for which a host's share accumulates, if that is more than one call.
	limitBurst = time.Second
	// limitProbeInterval is the time after which an upstream whose limit no answer has confirmed gets a call,
	// since only an answer shows that a limit has ended.
	limitProbeInterval = 5 * time.Second
	// limitNotice is how much later than this host others may learn of a limit whose reports are lost, since
	// they learn of it by answers of their own.
	limitNotice = 500 * time.Millisecond
	// limitRetention is how long the limit of an upstream is kept that is not listed.
	limitRetention = time.Minute
)

type (
	// limit is the rate of calls that one start of an upstream accepts from all hosts together.
	limit struct {
		*quota.Quota
		start  spoke.UpstreamStart
		usedAt time.Time
	}
)

// limitOf returns the limit of a start of an upstream, which outlives its directory entry.
func (s *Scheduler) limitOf(now time.Time, start spoke.UpstreamStart) *limit {
	l := s.limits[start]
	if l == nil {
		l = &limit{start: start, Quota: quota.New(
			quota.WithBurst(limitBurst), quota.WithWindow(limitWindow, limitWindowFactor, limitWindowReserve),
			quota.WithNotice(limitNotice), quota.WithProbe(limitProbeInterval),
		)}
		s.limits[start] = l
	}
	l.usedAt = now
	return l
}

// limitNamed applies a limit that an upstream names in an answer.
func (s *Scheduler) limitNamed(now time.Time, m LimitNamed) {
	run := s.running[m.Call]
	if run == nil {
		return
	}
	run.hasNamedLimit = true
	s.setLimit(now, run.node.limit, m.Limit, now, s.settings.Host)
}

// noLimitNamed applies an answer without a limit. It ends a limit only if its request was sent after the last
// answer that named one, since answers overtake each other.
func (s *Scheduler) noLimitNamed(now time.Time, run *runningCall) {
	if !run.hasNamedLimit {
		s.endLimit(now, run.node.limit, run.sent, s.settings.Host)
	}
}

// setLimit sets the rate that an upstream named at a time, as found by a host.
func (s *Scheduler) setLimit(now time.Time, l *limit, rate spoke.RequestRate, statedAt time.Time, by spoke.HostID) {
	if l.Set(now, rate, statedAt) {
		s.updateShare(l)
		s.reportLimitChange(l, by)
	}
}

// endLimit ends a limit, if the answer that named none followed the last one that named it.
func (s *Scheduler) endLimit(now time.Time, l *limit, statedAt time.Time, by spoke.HostID) {
	if l.End(now, statedAt) {
		s.reportLimitChange(l, by)
	}
}

// takeLimit counts a call that is sent to an upstream and adds it to the next load report if the upstream is
// limited.
func (s *Scheduler) takeLimit(now time.Time, n *node) {
	n.limit.Take(now)
	n.limit.usedAt = now
	if n.limit.IsActive() {
		s.report.limits[n.limit] = true
	}
}

// dropLimits drops the limits of upstreams that have not been listed for limitRetention.
func (s *Scheduler) dropLimits(now time.Time) {
	for _, n := range s.nodes {
		n.limit.usedAt = now
	}
	for start, l := range s.limits {
		if now.Sub(l.usedAt) > limitRetention {
			delete(s.limits, start)
		}
	}
}
