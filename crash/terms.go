package crash

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliaspoke.example/spoke"
)

// clearedHold is the time for which reports of others do not mark a fingerprint again that was served here.
const clearedHold = probeHold + probeTurn

// WithTerms makes a marked fingerprint refused for a term, after which one host at a time may send it once more as a
// probe. Each probe that crashes its upstream makes the next term longer, up to longest; one that is served ends the mark.
func WithTerms(first, longest time.Duration) Option {
	return func(r *Registry) { r.firstTerm, r.longestTerm = first, longest }
}

func (r *Registry) hasTerms() bool { return r.firstTerm > 0 }

// SetHosts sets the hosts that exchange marks, self included, of which each probe is made by one.
func (r *Registry) SetHosts(self spoke.HostID, hosts []spoke.HostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self, r.hosts = self, hosts
}

// EndServed records the end of an attempt whose upstream has served the request.
func (r *Registry) EndServed(now time.Time, attempt spoke.AttemptID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ended, ok := r.running[attempt]
	delete(r.running, attempt)
	known := r.entries[ended.fingerprint]
	if !ok || known == nil || !r.hasTerms() {
		return
	}
	if !ended.began.After(known.lastDeath) {
		r.clearFalls(now, known)
		return
	}
	cleared := now.Add(clearedHold)
	hadFalls := known.hadFalls || len(known.falls) > 0
	r.entries[ended.fingerprint] = &entry{
		diedAt: make(map[spoke.UpstreamID]time.Time), expires: now.Add(max(clearedHold, r.expiry)), clearedUntil: cleared, clearedAt: now, hadFalls: hadFalls,
	}
}

// admitMarked returns whether a marked request may run as a probe, or as a further attempt of one.
func (r *Registry) admitMarked(now time.Time, request spoke.RequestID, fingerprint spoke.Fingerprint, marked *entry) spoke.Verdict {
	switch {
	case !r.hasTerms():
		return spoke.Verdict{Until: marked.expires}
	case marked.soloRequest == request:
		return spoke.Verdict{Solo: true}
	case now.Before(marked.until):
		return spoke.Verdict{Until: marked.until}
	case !r.isProber(now, fingerprint, marked):
		return spoke.Verdict{Until: now.Add(probeTurn)}
	}
	marked.soloRequest = request
	marked.until = now.Add(probeHold)
	return spoke.Verdict{Solo: true}
}

// isProber reports whether this host may probe: one host at first, and twice as many with each turn in which none has had
// the request.
func (r *Registry) isProber(now time.Time, fingerprint spoke.Fingerprint, marked *entry) bool {
	turns := min(int(now.Sub(marked.until)/probeTurn), 16)
	return rankOf(r.self, r.hosts, xxhash.Sum64String(string(fingerprint))) < 1<<turns
}

// extend sets until when a fingerprint is refused or suspected after a death; began is when the attempt did.
func (r *Registry) extend(now, began time.Time, died *entry) {
	died.expires = now.Add(r.expiry)
	if r.hasTerms() && died.isMarked() {
		switch {
		case died.term == 0:
			died.term = r.newTerm(died)
		case began.After(died.lastDeath):
			died.hasFailedProbe = true
			died.term = min(died.term*termFactor, r.longestTerm)
		}
		died.until = now.Add(died.term)
		died.expires = died.until.Add(r.longestTerm)
		died.soloRequest = ""
	}
	died.lastDeath = now
}

// adoptTerm adopts the mark of another host, which ends at a time.
func (r *Registry) adoptTerm(now, until time.Time, known *entry) {
	if first := r.newTerm(known); known.term == 0 && first > r.firstTerm {
		until = now.Add(max(until.Sub(now), first))
	}
	known.term = max(known.term, r.firstTerm, min(until.Sub(now), r.longestTerm))
	if until.After(known.until) {
		known.until = until
	}
	if known.lastDeath.IsZero() {
		known.lastDeath = now
	}
	known.expires = known.until.Add(r.longestTerm)
}

// addDeaths counts upstreams that the fingerprint crashed while other hosts ran it: each host alone may know of one.
func (r *Registry) addDeaths(now time.Time, known *entry, mark spoke.QuarantineMark) {
	for _, fall := range mark.Falls {
		if fall.Upstream != "" {
			known.addFall(fall)
		}
	}
	for _, id := range mark.Upstreams {
		if _, isKnown := known.diedAt[id]; id != "" && !isKnown && !known.hasFallOf(id) {
			r.addDeath(now, known, id)
		}
	}
}

// isReported reports whether other hosts should know of the entry at present.
func (r *Registry) isReported(now time.Time, known *entry) bool {
	return (known.weight() > 0 || known.isServedReported(now)) && r.reportedUntil(known).After(now)
}

// reportedUntil returns when the term of a mark ends, or when a suspect expires.
func (r *Registry) reportedUntil(known *entry) time.Time {
	if r.hasTerms() && known.isMarked() {
		return known.until
	}
	return known.expires
}

// reported returns the mark to report to other hosts.
func (r *Registry) reported(now time.Time, fingerprint spoke.Fingerprint, known *entry) spoke.QuarantineMark {
	mark := known.summary(fingerprint)
	mark.Expires = r.reportedUntil(known)
	if !r.hasTerms() {
		return mark
	}
	copy(mark.Upstreams[:], slices.Sorted(maps.Keys(known.diedAt)))
	if r.isInDoubt(now, known) {
		mark.Deaths = min(mark.Deaths, deathsToMark-1)
	}
	return mark
}
