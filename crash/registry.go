package crash

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// deathsToMark is the number of upstreams that one fingerprint may cost.
	deathsToMark = 2
	// defaultExpiry is the time for which suspects and marks are kept.
	defaultExpiry = 10 * time.Minute
	// defaultLimit bounds the fingerprints kept; at about 300 bytes each they
	// take some 3 MB of the host's memory.
	defaultLimit = 10_000
)

type (
	// Registry is the quarantine of one host; it implements spoke.Quarantine. It
	// reads no clock and starts no goroutine; a lock makes it safe for concurrent use.
	Registry struct {
		expiry   time.Duration
		limit    int
		announce func(spoke.QuarantineMark)

		mu      sync.Mutex
		entries map[spoke.Fingerprint]*entry
		running map[spoke.AttemptID]run
	}

	// Option changes a Registry.
	Option func(*Registry)

	entry struct {
		deaths  int
		expires time.Time
		// diedAt is the time of the last death on each upstream: reports of runs
		// that began before it belong to the same death.
		diedAt map[spoke.UpstreamID]time.Time
		// alone is the request that holds the fingerprint's only place.
		alone spoke.RequestID
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
		expiry:   defaultExpiry,
		limit:    defaultLimit,
		announce: func(spoke.QuarantineMark) {},
		entries:  make(map[spoke.Fingerprint]*entry),
		running:  make(map[spoke.AttemptID]run),
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
	return func(r *Registry) { r.limit = limit }
}

// WithAnnounce sets what is called for each new suspect and mark of this host.
// The call returns before the request is run again or gets its final answer,
// so that a repeat at another host meets the mark there.
func WithAnnounce(announce func(spoke.QuarantineMark)) Option {
	return func(r *Registry) { r.announce = announce }
}

// Admit says how the request may run now.
func (r *Registry) Admit(now time.Time, request spoke.RequestID, fingerprint spoke.Fingerprint) spoke.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	suspect := r.live(now, fingerprint)
	switch {
	case suspect == nil:
		return spoke.Verdict{}
	case suspect.deaths >= deathsToMark:
		return spoke.Verdict{Until: suspect.expires}
	case suspect.alone != "" && suspect.alone != request:
		return spoke.Verdict{MustWait: true}
	}
	suspect.alone = request
	return spoke.Verdict{Solo: true}
}

// Begin reports that an attempt is handed to its upstream.
func (r *Registry) Begin(now time.Time, attempt spoke.AttemptID, upstream spoke.UpstreamID, fingerprint spoke.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[attempt] = run{upstream: upstream, fingerprint: fingerprint, began: now}
}

// End reports the end of an attempt and whether its upstream died while it ran.
func (r *Registry) End(now time.Time, attempt spoke.AttemptID, died bool) {
	if mark, ok := r.end(now, attempt, died); ok {
		r.announce(mark)
	}
}

// Leave reports the end of the request.
func (r *Registry) Leave(request spoke.RequestID, fingerprint spoke.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if suspect := r.entries[fingerprint]; suspect != nil && suspect.alone == request {
		suspect.alone = ""
	}
}

// Merge takes the suspects and marks of another host's digest.
func (r *Registry) Merge(now time.Time, marks []spoke.QuarantineMark) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, mark := range marks {
		// A peer whose clock is ahead must not prolong a mark beyond its usual time.
		expires := mark.Expires
		if latest := now.Add(r.expiry); expires.After(latest) {
			expires = latest
		}
		if mark.Deaths < 1 || !expires.After(now) {
			continue
		}
		known := r.obtain(now, mark.Fingerprint)
		known.deaths = max(known.deaths, min(mark.Deaths, deathsToMark))
		if expires.After(known.expires) {
			known.expires = expires
		}
		r.trim(now, mark.Fingerprint)
	}
}

// Marks returns up to limit entries for the digest: marks before suspects, and
// the ones that last longest first.
func (r *Registry) Marks(now time.Time, limit int) []spoke.QuarantineMark {
	r.mu.Lock()
	defer r.mu.Unlock()
	var marks []spoke.QuarantineMark
	for fingerprint := range r.entries {
		if known := r.live(now, fingerprint); known != nil {
			marks = append(marks, spoke.QuarantineMark{Fingerprint: fingerprint, Deaths: known.deaths, Expires: known.expires})
		}
	}
	slices.SortFunc(marks, func(a, b spoke.QuarantineMark) int { return compare(b, a) })
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
	suspect := r.obtain(now, ended.fingerprint)
	if last, seen := suspect.diedAt[ended.upstream]; seen && !ended.began.After(last) {
		return spoke.QuarantineMark{}, false
	}
	suspect.diedAt[ended.upstream] = now
	suspect.deaths = min(suspect.deaths+1, deathsToMark)
	suspect.expires = now.Add(r.expiry)
	r.trim(now, ended.fingerprint)
	return spoke.QuarantineMark{Fingerprint: ended.fingerprint, Deaths: suspect.deaths, Expires: suspect.expires}, true
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

func (r *Registry) obtain(now time.Time, fingerprint spoke.Fingerprint) *entry {
	known := r.live(now, fingerprint)
	if known == nil {
		known = &entry{diedAt: make(map[spoke.UpstreamID]time.Time)}
		r.entries[fingerprint] = known
	}
	return known
}

// trim drops expired entries and then the least important ones above the limit.
// It drops a tenth of the limit at once, so that a flood does not sort each time.
func (r *Registry) trim(now time.Time, keep spoke.Fingerprint) {
	if len(r.entries) <= r.limit {
		return
	}
	var others []spoke.QuarantineMark
	for fingerprint := range r.entries {
		if known := r.live(now, fingerprint); known != nil && fingerprint != keep {
			others = append(others, spoke.QuarantineMark{Fingerprint: fingerprint, Deaths: known.deaths, Expires: known.expires})
		}
	}
	excess := len(r.entries) - r.limit
	if excess <= 0 {
		return
	}
	slices.SortFunc(others, compare)
	for _, mark := range others[:min(len(others), excess+r.limit/10)] {
		delete(r.entries, mark.Fingerprint)
	}
}

// compare orders entries by how much is lost without them.
func compare(a, b spoke.QuarantineMark) int {
	return cmp.Or(
		cmp.Compare(a.Deaths, b.Deaths),
		a.Expires.Compare(b.Expires),
		cmp.Compare(a.Fingerprint, b.Fingerprint),
	)
}
