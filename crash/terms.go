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
	if !ok || known == nil || !r.hasTerms() || !ended.began.After(known.lastDeath) {
		return
	}
	cleared := now.Add(clearedHold)
	r.entries[ended.fingerprint] = &entry{diedAt: make(map[spoke.UpstreamID]time.Time), expires: cleared, clearedUntil: cleared}
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
	if r.hasTerms() && died.deaths >= deathsToMark {
		switch {
		case died.term == 0:
			died.term = r.firstTerm
		case began.After(died.lastDeath):
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
func (e *entry) addDeaths(now time.Time, upstreams [spoke.MarkUpstreams]spoke.UpstreamID) {
	for _, id := range upstreams {
		if _, isKnown := e.diedAt[id]; id != "" && !isKnown {
			e.diedAt[id] = now
			e.deaths = min(e.deaths+1, deathsToMark)
		}
	}
}

// isReported reports whether other hosts should know of the entry at present.
func (r *Registry) isReported(now time.Time, known *entry) bool {
	return known.deaths > 0 && r.reportedUntil(known).After(now)
}

// reportedUntil returns when the term of a mark ends, or when a suspect expires.
func (r *Registry) reportedUntil(known *entry) time.Time {
	if r.hasTerms() && known.deaths >= deathsToMark {
		return known.until
	}
	return known.expires
}

// reported returns the mark to report to other hosts.
func (r *Registry) reported(fingerprint spoke.Fingerprint, known *entry) spoke.QuarantineMark {
	mark := spoke.QuarantineMark{Fingerprint: fingerprint, Deaths: known.deaths, Expires: r.reportedUntil(known)}
	if r.hasTerms() {
		copy(mark.Upstreams[:], slices.Sorted(maps.Keys(known.diedAt)))
	}
	return mark
}
