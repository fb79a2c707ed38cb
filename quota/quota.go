package quota

import (
	"time"

	"magnoliaspoke.example/spoke"
)

type (
	// Quota is a rate of requests to an upstream that all hosts share, what they have recently sent, and since when the rate
	// is stated. Each host takes its share of the rate without asking the others.
	Quota struct {
		bucket        bucket
		window        window
		notice        time.Duration
		probeInterval time.Duration
		silence       time.Duration
		rate          spoke.RequestRate
		isActive      bool
		// isNew says that the rate applies and that no share of it is known yet.
		isNew bool
		// changedAt is when this host learned of the rate, or of its end.
		changedAt time.Time
		// statedAt is the time of the newest statement of the rate, or of its end.
		statedAt time.Time
		// heldUntil is when the first request may be sent.
		heldUntil time.Time
		share     Share
		probedAt  time.Time
		own       Counter
		// before is the sum of own at the time at which this host learned of the rate.
		before int
		peers  map[spoke.HostID]reported
	}

	// reported is the number of requests that another host reported to have sent within the window.
	reported struct {
		count      int
		receivedAt time.Time
		// isOutside says that the host is not one of those that have to report.
		isOutside bool
	}
)

// New returns a quota that does not apply.
func New(opts ...Option) *Quota {
	q := &Quota{
		window: window{span: defaultWindow, factor: defaultFactor}, own: newWholeCounter(defaultWindow),
		peers: make(map[spoke.HostID]reported),
	}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// Set applies a rate that was stated at a time, unless a newer statement is known, and reports whether that changes it.
func (q *Quota) Set(now time.Time, rate spoke.RequestRate, statedAt time.Time) bool {
	if !statedAt.After(q.statedAt) {
		return false
	}
	q.statedAt = statedAt
	return q.Start(now, rate)
}

// Start applies a rate and reports whether that changes it.
func (q *Quota) Start(now time.Time, rate spoke.RequestRate) bool {
	if q.isActive && q.rate == rate {
		return false
	}
	if !q.isActive {
		q.changedAt, q.isNew, q.before = now, true, q.own.Sum(now)
	}
	q.rate, q.isActive = rate, true
	return true
}

// End ends the rate, if a statement at a time followed the newest one of the rate, and reports whether it applied.
func (q *Quota) End(now, statedAt time.Time) bool {
	if !statedAt.After(q.statedAt) || q.statedAt.IsZero() {
		return false
	}
	q.statedAt = statedAt
	return q.Stop(now)
}

// Stop ends the rate and reports whether it applied.
func (q *Quota) Stop(now time.Time) bool {
	if !q.isActive {
		return false
	}
	q.isActive, q.changedAt = false, now
	return true
}

// SetShare sets this host's part of the rate.
func (q *Quota) SetShare(share Share) {
	q.share = share
	if q.isNew {
		q.isNew = false
		q.bucket.set(q.changedAt, share.firstTokens())
	}
}

// Hold lets this host send nothing before a time.
func (q *Quota) Hold(until time.Time) { q.heldUntil = until }

// IsActive reports whether the rate applies.
func (q *Quota) IsActive() bool { return q.isActive }

// Rate returns the newest rate in requests per second.
func (q *Quota) Rate() spoke.RequestRate { return q.rate }

// Share returns this host's part of the rate.
func (q *Quota) Share() Share { return q.share }

// ChangedAt returns when this host learned of the rate or of its end, zero if there has been none.
func (q *Quota) ChangedAt() time.Time { return q.changedAt }

// Age returns the time since the newest statement.
func (q *Quota) Age(now time.Time) time.Duration { return now.Sub(q.statedAt) }

// Sent returns the number of requests that this host has sent within the window.
func (q *Quota) Sent(now time.Time) int { return q.own.Sum(now) }

// Receive records the number of requests that another host reports to have sent within the window.
func (q *Quota) Receive(now time.Time, host spoke.HostID, sent int) {
	q.peers[host] = reported{count: sent, receivedAt: now}
}

// ReceiveOutside is Receive for a host that is not one of those that report all that they send.
func (q *Quota) ReceiveOutside(now time.Time, host spoke.HostID, sent int) {
	q.peers[host] = reported{count: sent, receivedAt: now, isOutside: true}
}

// Count counts a request that the share does not bound.
func (q *Quota) Count(now time.Time) { q.own.Add(now) }

// Take counts a request that is sent to the upstream.
func (q *Quota) Take(now time.Time) {
	q.own.Add(now)
	if !q.isActive {
		return
	}
	if q.bucket.wait(now, q.share.Rate) > 0 {
		q.probedAt = now
	}
	q.bucket.take(now, q.share.Rate)
}

// Allows reports whether this host may send the upstream a request now.
func (q *Quota) Allows(now time.Time) bool { return q.Wait(now) <= 0 }

// Wait estimates the time until this host may send the upstream a request.
func (q *Quota) Wait(now time.Time) time.Duration {
	if !q.isActive {
		return 0
	}
	wait := min(q.bucket.wait(now, q.share.Rate), q.probeWait(now))
	return max(wait, q.windowWait(now), q.heldUntil.Sub(now))
}

// probeWait is the time until this host checks whether the rate has ended. Hosts do so one after the other while no
// statement confirms the rate.
func (q *Quota) probeWait(now time.Time) time.Duration {
	if q.probeInterval == 0 || q.share.Rank < 0 {
		return UnknownWait
	}
	since := q.statedAt
	if q.probedAt.After(since) {
		since = q.probedAt
	}
	return since.Add(time.Duration(q.share.Rank+1) * q.probeInterval).Sub(now)
}

// windowWait is the time until the requests that all hosts have recently sent leave room for one more. They include those
// sent before the rate was stated.
func (q *Quota) windowWait(now time.Time) time.Duration {
	count := q.recent(now)
	excess := count + 1 - (q.window.factor*float64(q.rate)*q.window.span.Seconds() + q.window.reserve)
	if excess <= 0 {
		return 0
	}
	return max(time.Duration(excess/count*float64(q.window.span)), time.Millisecond)
}

// recent is the number of requests that all hosts have recently sent. While the rate is new, hosts that report nothing
// are assumed to have sent as many as the others.
func (q *Quota) recent(now time.Time) float64 {
	own, reported, known := q.own.Sum(now), 0, 1
	for _, calls := range q.peers {
		age := now.Sub(calls.receivedAt)
		if age <= wholeWindow(q.window.span) {
			reported += calls.count
		}
		if age <= max(wholeWindow(q.window.span), q.silence) && !calls.isOutside {
			known++
		}
	}
	if q.silence > 0 {
		return float64(own + reported + max(q.share.Reporting-known, 0)*q.before)
	}
	age, isSilent := now.Sub(q.changedAt), known < q.share.Reporting
	switch {
	case isSilent && age <= q.window.span+q.notice:
		own = max(own, q.before)
	case age > q.window.span || known >= q.share.Hosts:
		return float64(own + reported)
	}
	return float64(own+reported) * float64(q.share.Hosts) / float64(known)
}
