package place

import (
	"math"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// limitWindow is the span in which the calls of all hosts to a limited upstream are counted.
	limitWindow = 4 * time.Second
	// limitCountWindow is longer than limitWindow by a slot of a counter, of which the newest is partly filled.
	limitCountWindow = limitWindow * budgetSlots / (budgetSlots - 1)
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
	// unknownWait is the wait for an upstream that will not take calls of this host.
	unknownWait = time.Hour
)

type (
	// limit is the rate of calls that one start of an upstream accepts from all hosts together, and what they
	// have recently sent. Each host takes its share of the rate without asking the others.
	limit struct {
		start spoke.UpstreamStart
		rate  spoke.RequestRate
		// isActive is set from the first answer that names a limit until one names none.
		isActive bool
		// changedAt is when this host learned of the limit, or of its end.
		changedAt time.Time
		// statedAt is the time of the newest answer that named the rate; once the limit has ended, the time at
		// which the request was sent whose answer named none.
		statedAt time.Time
		share    limitShare
		// tokens is the number of calls that this host's share had accumulated at tokensAt.
		tokens   float64
		tokensAt time.Time
		probedAt time.Time
		sent     counter
		// sentBefore is the sum of sent at the time at which this host learned of the limit.
		sentBefore int
		peers      map[spoke.HostID]peerCalls
		usedAt     time.Time
	}

	// peerCalls is the number of calls that another host reported to have sent within limitCountWindow.
	peerCalls struct {
		count      int
		receivedAt time.Time
	}
)

// limitOf returns the limit of a start of an upstream, which outlives its directory entry.
func (s *Scheduler) limitOf(now time.Time, start spoke.UpstreamStart) *limit {
	l := s.limits[start]
	if l == nil {
		l = &limit{start: start, sent: counter{width: limitCountWindow / budgetSlots}, peers: make(map[spoke.HostID]peerCalls)}
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
	if !statedAt.After(l.statedAt) {
		return
	}
	l.statedAt = statedAt
	if l.isActive && l.rate == rate {
		return
	}
	wasActive := l.isActive
	l.rate, l.isActive = rate, true
	s.updateShare(l)
	if !wasActive {
		l.changedAt, l.tokensAt, l.tokens = now, now, l.share.firstTokens()
		l.sentBefore = l.sent.sum(now)
	}
	s.reportLimitChange(l, by)
}

// endLimit ends a limit, if the answer that named none followed the last one that named it.
func (s *Scheduler) endLimit(now time.Time, l *limit, statedAt time.Time, by spoke.HostID) {
	if !statedAt.After(l.statedAt) || l.statedAt.IsZero() {
		return
	}
	l.statedAt = statedAt
	if l.isActive {
		l.isActive, l.changedAt = false, now
		s.reportLimitChange(l, by)
	}
}

// allows reports whether this host may send the upstream a call now.
func (l *limit) allows(now time.Time) bool { return l.wait(now) <= 0 }

// wait estimates the time until this host may send the upstream a call.
func (l *limit) wait(now time.Time) time.Duration {
	if !l.isActive {
		return 0
	}
	wait := min(l.tokenWait(now), l.probeWait(now))
	return max(wait, l.windowWait(now))
}

// tokenWait is the time until this host's share of the rate has accumulated a call.
func (l *limit) tokenWait(now time.Time) time.Duration {
	return timeFor(1-l.tokensNow(now), l.share.rate)
}

// probeWait is the time until this host checks whether the limit has ended. Hosts do so one after the other
// while no answer confirms the limit.
func (l *limit) probeWait(now time.Time) time.Duration {
	if l.share.rank < 0 {
		return unknownWait
	}
	since := l.statedAt
	if l.probedAt.After(since) {
		since = l.probedAt
	}
	return since.Add(time.Duration(l.share.rank+1) * limitProbeInterval).Sub(now)
}

// windowWait is the time until the calls that all hosts have recently sent leave room for one more. They
// include those sent before the limit was named.
func (l *limit) windowWait(now time.Time) time.Duration {
	count := l.recentCalls(now)
	excess := count + 1 - (limitWindowFactor*float64(l.rate)*limitWindow.Seconds() + limitWindowReserve)
	if excess <= 0 {
		return 0
	}
	return max(time.Duration(excess/count*float64(limitWindow)), time.Millisecond)
}

// recentCalls is the number of calls that all hosts have recently sent. While the limit is new, hosts that
// report nothing are assumed to have sent as many as the others.
func (l *limit) recentCalls(now time.Time) float64 {
	own, reported, known := l.sent.sum(now), 0, 1
	for _, calls := range l.peers {
		if now.Sub(calls.receivedAt) <= limitCountWindow {
			reported += calls.count
			known++
		}
	}
	age, isSilent := now.Sub(l.changedAt), known < l.share.reporting
	switch {
	case isSilent && age <= limitWindow+limitNotice:
		own = max(own, l.sentBefore)
	case age > limitWindow || known >= l.share.hosts:
		return float64(own + reported)
	}
	return float64(own+reported) * float64(l.share.hosts) / float64(known)
}

// tokensNow returns the number of calls that this host's share has accumulated.
func (l *limit) tokensNow(now time.Time) float64 {
	most := max(limitBurst.Seconds()*float64(l.share.rate), 1)
	return min(l.tokens+now.Sub(l.tokensAt).Seconds()*float64(l.share.rate), most)
}

// take counts a call that is sent to the upstream.
func (l *limit) take(now time.Time) {
	l.sent.add(now)
	l.usedAt = now
	if !l.isActive {
		return
	}
	if l.tokenWait(now) > 0 {
		l.probedAt = now
	}
	l.tokens, l.tokensAt = max(l.tokensNow(now)-1, 0), now
}

// takeLimit counts a call that is sent to an upstream and adds it to the next load report if the upstream is
// limited.
func (s *Scheduler) takeLimit(now time.Time, n *node) {
	n.limit.take(now)
	if n.limit.isActive {
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

// timeFor returns the time in which a rate yields a number of calls, at most unknownWait.
func timeFor(calls float64, rate spoke.RequestRate) time.Duration {
	if calls <= 0 {
		return 0
	}
	if rate <= 0 {
		return unknownWait
	}
	seconds := math.Min(calls/float64(rate), unknownWait.Seconds())
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}
