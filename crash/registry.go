package crash

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// deathsToMark is the number of upstream deaths after which a fingerprint is marked.
	deathsToMark = 2
	// fallsPerDeath is the number of deaths explained by rejections that count as one without an explanation. The fall
	// of a brittle upstream ends all that it runs, so that sound requests are hit by some.
	fallsPerDeath = 2
	// defaultExpiry is the time for which suspects and marks are kept after the last death.
	defaultExpiry = 10 * time.Minute
	// defaultMaxEntries bounds the fingerprints kept; at about 300 bytes each they
	// take some 3 MB of the host's memory.
	defaultMaxEntries = 10_000
)

type (
	// Registry is the quarantine of one host; it implements spoke.Quarantine. It
	// reads no clock, starts no goroutine and is safe for concurrent use.
	Registry struct {
		expiry     time.Duration
		maxEntries int
		announce   func(spoke.QuarantineMark)
		// firstTerm and longestTerm are set by WithTerms, otherwise zero.
		firstTerm   time.Duration
		longestTerm time.Duration

		mu      sync.Mutex
		entries map[spoke.Fingerprint]*entry
		running map[spoke.AttemptID]run
		brittle map[spoke.UpstreamID]*brittleUpstream
		self    spoke.HostID
		hosts   []spoke.HostID
		// lists is the number of lists of marks with terms.
		lists uint64
	}

	// Option changes a Registry.
	Option func(*Registry)

	entry struct {
		deaths  int
		expires time.Time
		// diedAt is the time of the last death of each upstream: failures of attempts
		// that began before it are caused by the same death.
		diedAt map[spoke.UpstreamID]time.Time
		// falls are deaths that rejections explain, the latest last; they are not among deaths.
		falls []spoke.QuarantineFall
		// soloRequest is the only request with the fingerprint that may run now, empty
		// if none has been admitted.
		soloRequest spoke.RequestID
		lastDeath   time.Time
		// term and until are the length and the end of the current term of a mark, with WithTerms.
		term  time.Duration
		until time.Time
		// isOwn reports whether attempts of this host are among those that died.
		isOwn bool
		// isAdopted reports whether another host has marked the fingerprint.
		isAdopted bool
		// hasFailedProbe reports whether a probe of this host has crashed its upstream.
		hasFailedProbe bool
		// clearedUntil is until when reports of others do not mark the fingerprint, since it was served.
		clearedUntil time.Time
		// clearedAt is the time of the last answer; falls before it do not count. hadFalls reports whether there were any.
		clearedAt time.Time
		hadFalls  bool
	}

	run struct {
		upstream    spoke.UpstreamID
		fingerprint spoke.Fingerprint
		began       time.Time
	}
)

// New returns an empty registry.
func New(opts ...Option) *Registry {
	r := &Registry{
		expiry:     defaultExpiry,
		maxEntries: defaultMaxEntries,
		announce:   func(spoke.QuarantineMark) {},
		entries:    make(map[spoke.Fingerprint]*entry),
		running:    make(map[spoke.AttemptID]run),
		brittle:    make(map[spoke.UpstreamID]*brittleUpstream),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// WithExpiry sets how long suspects and marks are kept after the last death.
func WithExpiry(expiry time.Duration) Option {
	return func(r *Registry) { r.expiry = expiry }
}

// WithLimit bounds the number of fingerprints.
func WithLimit(limit int) Option {
	return func(r *Registry) { r.maxEntries = limit }
}

// WithAnnounce sets the function that is called for each new suspect and mark of
// this host. End returns only after the call, so the request is neither retried
// nor given its final answer before it: a retry at another host finds the mark there.
func WithAnnounce(announce func(spoke.QuarantineMark)) Option {
	return func(r *Registry) { r.announce = announce }
}

// Admit returns how the request may run now. After a Solo verdict no other request
// with the fingerprint may run until Leave.
func (r *Registry) Admit(now time.Time, request spoke.RequestID, fingerprint spoke.Fingerprint) spoke.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	suspect := r.live(now, fingerprint)
	switch {
	case suspect == nil || suspect.weight() == 0:
		return spoke.Verdict{}
	case suspect.isMarked():
		return r.admitMarked(now, request, fingerprint, suspect)
	case suspect.soloRequest != "" && suspect.soloRequest != request:
		return spoke.Verdict{MustWait: true}
	}
	suspect.soloRequest = request
	return spoke.Verdict{Solo: true}
}

// Begin records that an attempt is dispatched to its upstream.
func (r *Registry) Begin(now time.Time, attempt spoke.AttemptID, upstream spoke.UpstreamID, fingerprint spoke.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[attempt] = run{upstream: upstream, fingerprint: fingerprint, began: now}
}

// End records the end of an attempt and whether its upstream died while it ran.
func (r *Registry) End(now time.Time, attempt spoke.AttemptID, died bool) {
	if mark, ok := r.end(now, attempt, died); ok {
		r.announce(mark)
	}
}

// Leave records the end of the request.
func (r *Registry) Leave(request spoke.RequestID, fingerprint spoke.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if suspect := r.entries[fingerprint]; suspect != nil && suspect.soloRequest == request {
		suspect.soloRequest = ""
	}
}

// Merge adopts the suspects and marks of another host's digest.
func (r *Registry) Merge(now time.Time, marks []spoke.QuarantineMark) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, mark := range marks {
		// A peer whose clock is ahead must not extend a mark beyond the expiry of this host.
		expires := mark.Expires
		if latest := now.Add(max(r.expiry, r.longestTerm)); expires.After(latest) {
			expires = latest
		}
		known := r.live(now, mark.Fingerprint)
		if known != nil && !mark.Served.IsZero() {
			r.clearFalls(mark.Served, known)
		}
		if mark.Deaths < 1 && mark.Falls[0].Upstream == "" || !expires.After(now) {
			continue
		}
		known = r.getOrCreate(now, mark.Fingerprint)
		if now.Before(known.clearedUntil) {
			continue
		}
		if r.hasTerms() {
			r.addDeaths(now, known, mark)
		}
		if !r.hasTerms() || mark.Deaths >= deathsToMark || mark.Upstreams[0] == "" {
			known.deaths = max(known.deaths, min(mark.Deaths, deathsToMark))
			known.isAdopted = known.isAdopted || known.deaths >= deathsToMark
		}
		if expires.After(known.expires) {
			known.expires = expires
		}
		if r.hasTerms() && known.isMarked() {
			r.adoptTerm(now, expires, known)
		}
		r.evict(now, mark.Fingerprint)
	}
}

// Marks returns up to limit entries for the digest: marks before suspects, and
// those that expire last first, or with terms other ones of equal weight with each call.
func (r *Registry) Marks(now time.Time, limit int) []spoke.QuarantineMark {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hasTerms() {
		return r.rotate(now, limit)
	}
	var marks []spoke.QuarantineMark
	for fingerprint := range r.entries {
		if known := r.live(now, fingerprint); known != nil && r.isReported(now, known) {
			marks = append(marks, r.reported(now, fingerprint, known))
		}
	}
	slices.SortFunc(marks, func(a, b spoke.QuarantineMark) int { return compareImportance(b, a) })
	return marks[:min(len(marks), max(limit, 0))]
}

func (r *Registry) end(now time.Time, attempt spoke.AttemptID, died bool) (spoke.QuarantineMark, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ended, ok := r.running[attempt]
	delete(r.running, attempt)
	if !ok || !died {
		return spoke.QuarantineMark{}, false
	}
	suspect := r.getOrCreate(now, ended.fingerprint)
	if suspect.isKnownDeath(ended) {
		return spoke.QuarantineMark{}, false
	}
	suspect.isOwn = true
	r.addDeath(now, suspect, ended.upstream)
	r.extend(now, ended.began, suspect)
	r.evict(now, ended.fingerprint)
	return r.reported(now, ended.fingerprint, suspect), true
}

// live returns the entry of the fingerprint unless it has expired.
func (r *Registry) live(now time.Time, fingerprint spoke.Fingerprint) *entry {
	known := r.entries[fingerprint]
	if known == nil {
		return nil
	}
	if !known.expires.After(now) {
		delete(r.entries, fingerprint)
		return nil
	}
	return known
}

func (r *Registry) getOrCreate(now time.Time, fingerprint spoke.Fingerprint) *entry {
	known := r.live(now, fingerprint)
	if known == nil {
		known = &entry{diedAt: make(map[spoke.UpstreamID]time.Time)}
		r.entries[fingerprint] = known
	}
	return known
}

// evict removes expired entries and then, while there are more than maxEntries, the
// least important ones except keep. It removes an extra tenth of maxEntries at once,
// so that a flood of new fingerprints does not sort the entries for each of them.
func (r *Registry) evict(now time.Time, keep spoke.Fingerprint) {
	if len(r.entries) <= r.maxEntries {
		return
	}
	var others []spoke.QuarantineMark
	for fingerprint := range r.entries {
		if known := r.live(now, fingerprint); known != nil && fingerprint != keep {
			others = append(others, known.summary(fingerprint))
		}
	}
	excess := len(r.entries) - r.maxEntries
	if excess <= 0 {
		return
	}
	slices.SortFunc(others, compareImportance)
	for _, mark := range others[:min(len(others), excess+r.maxEntries/10)] {
		delete(r.entries, mark.Fingerprint)
	}
}

// compareImportance orders entries by ascending importance: by deaths, then by falls, then by expiry.
func compareImportance(a, b spoke.QuarantineMark) int {
	return cmp.Or(
		cmp.Compare(a.Deaths, b.Deaths),
		cmp.Compare(countFalls(a), countFalls(b)),
		a.Expires.Compare(b.Expires),
		cmp.Compare(a.Fingerprint, b.Fingerprint),
	)
}
