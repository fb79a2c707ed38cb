package crash

import (
	"maps"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// rejectionTime is the time for which a rejection counts; brittle upstreams count those of a second.
	rejectionTime = 1100 * time.Millisecond
	// statedTime is the time for which a statement of an upstream that stands no rejection explains its crash, since
	// the first rejection may get no answer.
	statedTime = 3 * time.Second
	// lateReport is the time after a crash in which reports of other hosts on rejections before it arrive.
	lateReport = 500 * time.Millisecond
	// sameFall is the time within which hosts that name one upstream have seen one fall of it. It stays down for some
	// seconds, and reports are under way for less.
	sameFall = time.Second
	// maxBrittle bounds the brittle upstreams of which rejections are kept.
	maxBrittle = 1024
)

type (
	// brittleUpstream holds what is known of the rejections of an upstream that falls over if it rejects too many.
	brittleUpstream struct {
		most     spoke.RejectionCount
		statedAt time.Time
		// rejected holds the times of rejections of this host, elsewhere the last reports of others.
		rejected  []time.Time
		elsewhere map[spoke.HostID]rejectionReport
		// nearAt is the last time at which the rejections known were at least half of most.
		nearAt time.Time
	}

	rejectionReport struct {
		count spoke.RejectionCount
		at    time.Time
	}
)

// NoteBrittle records that an answer named its upstream as brittle, and whether it was a rejection for want of room.
func (r *Registry) NoteBrittle(now time.Time, upstream spoke.UpstreamID, most spoke.RejectionCount, isRejection bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.brittleOf(upstream)
	b.most, b.statedAt = most, now
	if isRejection {
		b.rejected = append(b.rejected, now)
	}
	r.reviewDeaths(now, upstream, b)
}

// ReceiveBrittle records what another host reports of the rejections of brittle upstreams.
func (r *Registry) ReceiveBrittle(now time.Time, host spoke.HostID, reports []spoke.UpstreamBrittleness) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, reported := range reports {
		if reported.IsEnded {
			continue
		}
		b := r.brittleOf(reported.Upstream.ID)
		if stated := now.Add(-max(reported.Age, 0)); stated.After(b.statedAt) {
			b.most, b.statedAt = reported.Most, stated
		}
		b.elsewhere[host] = rejectionReport{reported.Rejected, now}
		r.reviewDeaths(now, reported.Upstream.ID, b)
	}
}

func (r *Registry) brittleOf(upstream spoke.UpstreamID) *brittleUpstream {
	b := r.brittle[upstream]
	if b == nil {
		if len(r.brittle) >= maxBrittle {
			clear(r.brittle)
		}
		b = &brittleUpstream{elsewhere: make(map[spoke.HostID]rejectionReport)}
		r.brittle[upstream] = b
	}
	return b
}

// isNear reports whether the rejections known are at least half of those from which one more makes the upstream fall
// over. Some reports are lost, and the last rejection may get no answer.
func (b *brittleUpstream) isNear(now time.Time) bool {
	b.rejected = slices.DeleteFunc(b.rejected, func(at time.Time) bool { return now.Sub(at) >= rejectionTime })
	maps.DeleteFunc(b.elsewhere, func(_ spoke.HostID, other rejectionReport) bool { return now.Sub(other.at) >= rejectionTime })
	if b.most == 0 {
		return now.Sub(b.statedAt) < statedTime
	}
	count := spoke.RejectionCount(len(b.rejected))
	for _, other := range b.elsewhere {
		count += other.count
	}
	return 2*count >= b.most
}

// explainsDeath reports whether a death of the upstream that is observed now may be a fall.
func (b *brittleUpstream) explainsDeath(now time.Time) bool {
	return b != nil && (b.isNear(now) || b.wasNear(now))
}

// wasNear reports whether deaths of the upstream are taken for falls already.
func (b *brittleUpstream) wasNear(now time.Time) bool {
	return !b.nearAt.IsZero() && now.Sub(b.nearAt) < rejectionTime
}

// reviewDeaths takes recent deaths of the upstream for falls if the rejections that are known by now explain them.
func (r *Registry) reviewDeaths(now time.Time, upstream spoke.UpstreamID, b *brittleUpstream) {
	if !b.isNear(now) {
		return
	}
	wasNear := b.wasNear(now)
	b.nearAt = now
	if wasNear {
		return
	}
	for _, known := range r.entries {
		at, isKnown := known.diedAt[upstream]
		if !isKnown || now.Sub(at) >= lateReport || known.hasFailedProbe || known.isAdopted {
			continue
		}
		delete(known.diedAt, upstream)
		known.deaths = max(known.deaths-1, min(len(known.diedAt), deathsToMark))
		known.addFall(spoke.QuarantineFall{Upstream: upstream, At: at})
		known.unmark(r.expiry)
	}
}

// addDeath counts a death of an upstream, as a fall if rejections explain it.
func (r *Registry) addDeath(now time.Time, died *entry, upstream spoke.UpstreamID) {
	if r.brittle[upstream].explainsDeath(now) {
		died.addFall(spoke.QuarantineFall{Upstream: upstream, At: now})
		return
	}
	died.diedAt[upstream] = now
	died.deaths = min(died.deaths+1, deathsToMark)
}

// isInDoubt reports whether reports on rejections that are still under way may explain the last death. Meanwhile other
// hosts count the deaths themselves, since they could not take back a mark that they have adopted.
func (r *Registry) isInDoubt(now time.Time, known *entry) bool {
	if known.hasFailedProbe || known.isAdopted {
		return false
	}
	for id, at := range known.diedAt {
		if r.brittle[id] != nil && now.Sub(at) < lateReport {
			return true
		}
	}
	return false
}

// newTerm is the first term of a mark. The deaths behind one that rests on falls are more, so that its probes come later.
func (r *Registry) newTerm(marked *entry) time.Duration {
	if len(marked.falls) > 0 {
		return min(2*r.firstTerm, r.longestTerm)
	}
	return r.firstTerm
}

// weight is the weight of all deaths in falls.
func (e *entry) weight() int { return fallsPerDeath*e.deaths + len(e.falls) }

func (e *entry) isMarked() bool { return e.weight() >= fallsPerDeath*deathsToMark }

// isKnownDeath reports whether the death that ended an attempt is counted already.
func (e *entry) isKnownDeath(ended run) bool {
	if last, seen := e.diedAt[ended.upstream]; seen && !ended.began.After(last) {
		return true
	}
	return slices.ContainsFunc(e.falls, func(fall spoke.QuarantineFall) bool {
		return fall.Upstream == ended.upstream && !ended.began.After(fall.At)
	})
}

func (e *entry) hasFallOf(upstream spoke.UpstreamID) bool {
	return slices.ContainsFunc(e.falls, func(fall spoke.QuarantineFall) bool { return fall.Upstream == upstream })
}

// addFall adds a fall unless it is known or the request was served after it. Hosts see one fall at about the same time.
func (e *entry) addFall(added spoke.QuarantineFall) {
	isKnown := slices.ContainsFunc(e.falls, func(fall spoke.QuarantineFall) bool {
		return fall.Upstream == added.Upstream && added.At.Sub(fall.At).Abs() < sameFall
	})
	if isKnown || !added.At.After(e.clearedAt) || len(e.falls) == spoke.MarkFalls {
		return
	}
	e.falls = append(e.falls, added)
}

// clearFalls takes back the falls before an answer, which shows that they had another cause than the request.
func (r *Registry) clearFalls(served time.Time, known *entry) {
	if !served.After(known.clearedAt) {
		return
	}
	known.clearedAt, known.hadFalls = served, known.hadFalls || len(known.falls) > 0
	known.falls = slices.DeleteFunc(known.falls, func(fall spoke.QuarantineFall) bool { return !fall.At.After(served) })
	known.unmark(r.expiry)
}

// isServedReported reports whether other hosts should know that this one had an answer.
func (e *entry) isServedReported(now time.Time) bool {
	return e.hadFalls && now.Sub(e.clearedAt) < repeatTime
}

// unmark ends a mark for which the evidence does not suffice any more.
func (e *entry) unmark(expiry time.Duration) {
	if !e.isMarked() && e.term > 0 {
		e.term, e.until, e.soloRequest = 0, time.Time{}, ""
		e.expires = e.lastDeath.Add(expiry)
	}
}

// summary returns the fingerprint with its deaths and falls.
func (e *entry) summary(fingerprint spoke.Fingerprint) spoke.QuarantineMark {
	mark := spoke.QuarantineMark{Fingerprint: fingerprint, Deaths: e.deaths, Expires: e.expires}
	if e.isMarked() {
		mark.Deaths = deathsToMark
	}
	copy(mark.Falls[:], e.falls)
	if e.hadFalls {
		mark.Served = e.clearedAt
	}
	return mark
}

// countFalls returns the number of falls that a mark names.
func countFalls(mark spoke.QuarantineMark) int {
	count := 0
	for _, fall := range mark.Falls {
		if fall.Upstream != "" {
			count++
		}
	}
	return count
}
