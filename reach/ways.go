package reach

import (
	"cmp"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/least"
)

const (
	// hostSilence is the time without a byte from any upstream after which a host with unanswered requests probes
	// some of its ways.
	hostSilence = 400 * time.Millisecond
	// upstreamSilence is the same for one upstream while others send bytes.
	upstreamSilence = 800 * time.Millisecond
	// minProbePause is the least time between two probes of one way, samplePause that between two samples.
	minProbePause = time.Second
	samplePause   = time.Second
	// sampleSize is the number of ways that have to fail together for a host to count as cut off, verifiedSize the number
	// that are tried before the failure of one way counts as that of its upstream.
	sampleSize   = 5
	verifiedSize = 16
	// maxSilentSampled bounds the silent upstreams in a sample: these may have failed themselves.
	maxSilentSampled = 2
	// cutOffCheckInterval is the time between two checks of a host that is cut off, checksAtOnce the ways checked.
	cutOffCheckInterval = 300 * time.Millisecond
	checksAtOnce        = 2
	// waysToReturn is the number of ways that have to work for a host to count as no longer cut off.
	waysToReturn = 2
	// minCheckPause and maxCheckPause bound the time between two checks of one lost way.
	minCheckPause = 500 * time.Millisecond
	maxCheckPause = 4 * time.Second
	// maxObservationGap is the time between two observations beyond which this host was suspended.
	maxObservationGap = time.Second
)

type (
	// Activity is what happened on the direct connections to an upstream.
	Activity struct {
		Upstream spoke.UpstreamID
		// UnansweredSince is when the first request was sent since the last byte was received, zero if none was.
		UnansweredSince time.Time
		// HeardAt is when the last byte was received.
		HeardAt time.Time
	}

	// way is the direct way to one upstream.
	way struct {
		isLost bool
		// isBypassed is set while this host does not connect directly and another one was the last to be tried and did.
		isBypassed bool
		checkAt    time.Time
		checkPause time.Duration
		probedAt   time.Time
		// probePause doubles with each probe that works while the upstream sends nothing, since it is only slow then.
		probePause time.Duration
	}

	// Ways is the state of the direct ways from one host to its upstreams.
	Ways struct {
		ways map[spoke.UpstreamID]*way
		// order holds the upstreams by id, next is the position from which probes are taken.
		order    []spoke.UpstreamID
		next     int
		isCutOff bool
		// sample holds the ways that are probed together and have not failed yet, nil if none are.
		sample     map[spoke.UpstreamID]bool
		sampledAt  time.Time
		checkedAt  time.Time
		observedAt time.Time
		// awakeSince is when this host was first observed after its start or its last suspension.
		awakeSince time.Time
		// reached holds the ways that have worked since the host counts as cut off.
		reached map[spoke.UpstreamID]bool
	}
)

// NewWays returns the state of a host that lists no upstreams.
func NewWays() *Ways { return &Ways{ways: make(map[spoke.UpstreamID]*way)} }

// SetUpstreams sets the listed upstreams and forgets all others.
func (w *Ways) SetUpstreams(ids []spoke.UpstreamID) {
	known := w.ways
	w.ways, w.order = make(map[spoke.UpstreamID]*way, len(ids)), slices.Sorted(slices.Values(ids))
	for _, id := range ids {
		if w.ways[id] = known[id]; known[id] == nil {
			w.ways[id] = &way{}
		}
	}
}

// IsCutOff reports whether this host reaches no upstream directly, as far as it knows.
func (w *Ways) IsCutOff() bool { return w.isCutOff }

// IsLost reports whether connections to an upstream have to be made through another host.
func (w *Ways) IsLost(id spoke.UpstreamID) bool {
	return w.isCutOff || (w.ways[id] != nil && w.ways[id].isLost)
}

// Connected records that a direct connection to an upstream was made.
func (w *Ways) Connected(id spoke.UpstreamID) {
	w.sample = nil
	if known := w.ways[id]; known != nil {
		known.isLost, known.isBypassed, known.checkPause = false, false, 0
	}
	if !w.isCutOff {
		return
	}
	w.reached[id] = true
	if len(w.reached) < min(waysToReturn, len(w.order)) {
		return
	}
	w.isCutOff = false
	for _, known := range w.ways {
		known.isLost, known.checkPause = false, 0
	}
}

// Bypassed records that another host has reached an upstream to which no direct connection could be made, so that it is
// the way that failed. It returns the upstreams to probe.
func (w *Ways) Bypassed(now time.Time, id spoke.UpstreamID) []spoke.UpstreamID {
	known := w.ways[id]
	if known == nil {
		return nil
	}
	known.lose(now)
	if w.failInSample(id) || w.isCutOff {
		return nil
	}
	return w.sampleNow(now, nil)
}

// Verify returns the upstreams to probe before the failure of one of them counts as its own and not as that of this host.
// It returns none if there are too few to compare.
func (w *Ways) Verify(now time.Time) []spoke.UpstreamID {
	if len(w.order) <= waysToReturn {
		return nil
	}
	return w.beginSample(now, nil, verifiedSize)
}

// Suspect returns the upstreams to probe after a failure that may be that of this host.
func (w *Ways) Suspect(now time.Time) []spoke.UpstreamID {
	if w.isCutOff {
		return nil
	}
	return w.sampleNow(now, nil)
}

// ProbeFailed records that a probe has failed. The upstream itself may have, which the next connection through another
// host shows.
func (w *Ways) ProbeFailed(now time.Time, id spoke.UpstreamID) {
	if known := w.ways[id]; known != nil {
		known.lose(now)
		w.failInSample(id)
	}
}

// lose records that the way does not work; its next check comes later each time.
func (y *way) lose(now time.Time) {
	y.isLost = true
	y.checkPause = min(max(2*y.checkPause, minCheckPause), maxCheckPause)
	y.checkAt = now.Add(y.checkPause)
}

// failInSample records the failure of a probe and reports whether it belongs to a sample. A host for which all ways of a
// sample have failed counts as cut off.
func (w *Ways) failInSample(id spoke.UpstreamID) bool {
	if !w.sample[id] {
		return false
	}
	delete(w.sample, id)
	if len(w.sample) == 0 {
		w.isCutOff, w.sample = true, nil
		w.reached = make(map[spoke.UpstreamID]bool)
	}
	return true
}

// Observe returns the upstreams to probe now, from what happened on all direct connections.
func (w *Ways) Observe(now time.Time, activities []Activity) []spoke.UpstreamID {
	if now.Sub(w.observedAt) > maxObservationGap {
		w.awakeSince, w.sample = now, nil
	}
	w.observedAt = now
	if w.isCutOff {
		return w.checksWhileCutOff(now)
	}
	probes := w.lostToCheck(now)
	silent, isAnyHeard := w.silent(now, activities)
	if !isAnyHeard && len(silent) > 0 {
		return append(probes, w.sampleNow(now, silent)...)
	}
	for _, activity := range activities {
		if known := w.ways[activity.Upstream]; known != nil && w.isProbeDue(now, known, activity) {
			probes = append(probes, activity.Upstream)
		}
	}
	return probes
}

// isProbeDue reports whether one silent upstream is to be probed now, and records that it is.
func (w *Ways) isProbeDue(now time.Time, known *way, activity Activity) bool {
	if activity.HeardAt.After(known.probedAt) {
		known.probePause = 0
	}
	if known.isLost || !w.isSilent(now, activity, upstreamSilence) || now.Sub(known.probedAt) < max(known.probePause, minProbePause) {
		return false
	}
	known.probedAt, known.probePause = now, max(2*known.probePause, 2*minProbePause)
	return true
}

// silent returns the upstreams that have not answered for hostSilence, and whether any has sent a byte within it.
func (w *Ways) silent(now time.Time, activities []Activity) (silent []spoke.UpstreamID, isAnyHeard bool) {
	for _, activity := range activities {
		if now.Sub(activity.HeardAt) < hostSilence {
			return nil, true
		}
		if w.ways[activity.Upstream] != nil && w.isSilent(now, activity, hostSilence) {
			silent = append(silent, activity.Upstream)
		}
	}
	return silent, false
}

// isSilent reports whether a request has been unanswered for a time in which this host was running.
func (w *Ways) isSilent(now time.Time, activity Activity, wait time.Duration) bool {
	since := activity.UnansweredSince
	return !since.IsZero() && now.Sub(since) >= wait && now.Sub(w.awakeSince) >= wait
}

// sampleNow returns the ways to probe together, none while another sample is recent.
func (w *Ways) sampleNow(now time.Time, silent []spoke.UpstreamID) []spoke.UpstreamID {
	if now.Sub(w.sampledAt) < samplePause {
		return nil
	}
	return w.beginSample(now, silent, sampleSize)
}

// beginSample returns the ways to probe together: some of the silent ones, and others.
func (w *Ways) beginSample(now time.Time, silent []spoke.UpstreamID, size int) []spoke.UpstreamID {
	w.sampledAt = now
	w.sample = make(map[spoke.UpstreamID]bool)
	for _, id := range silent[:min(len(silent), maxSilentSampled)] {
		w.sample[id] = true
	}
	// Ways that are known as lost come last: all of them may be those to one data centre.
	for _, mayBeLost := range []bool{false, true} {
		for range w.order {
			if len(w.sample) >= size {
				break
			}
			if id := w.takeNext(); mayBeLost || !w.ways[id].isLost {
				w.sample[id] = true
			}
		}
	}
	probes := make([]spoke.UpstreamID, 0, len(w.sample))
	for id := range w.sample {
		w.ways[id].probedAt = now
		probes = append(probes, id)
	}
	return probes
}

// checksWhileCutOff returns the next ways to check of a host that is cut off.
func (w *Ways) checksWhileCutOff(now time.Time) []spoke.UpstreamID {
	if now.Sub(w.checkedAt) < cutOffCheckInterval || len(w.order) == 0 {
		return nil
	}
	w.checkedAt = now
	checks := make([]spoke.UpstreamID, 0, checksAtOnce)
	for range min(checksAtOnce, len(w.order)) {
		checks = append(checks, w.takeNext())
	}
	return checks
}

// lostToCheck returns the lost ways whose check has been due for longest, so that each is checked in turn.
func (w *Ways) lostToCheck(now time.Time) []spoke.UpstreamID {
	var due []spoke.UpstreamID
	for _, id := range w.order {
		if known := w.ways[id]; known.isLost && !now.Before(known.checkAt) {
			due = least.Insert(due, id, checksAtOnce, w.compareChecks)
		}
	}
	for _, id := range due {
		w.ways[id].checkAt = now.Add(max(w.ways[id].checkPause, minCheckPause))
	}
	return due
}

// compareChecks orders upstreams by the time of their next check, then by id.
func (w *Ways) compareChecks(a, b spoke.UpstreamID) int {
	return cmp.Or(w.ways[a].checkAt.Compare(w.ways[b].checkAt), cmp.Compare(a, b))
}

// takeNext returns the upstreams in turn.
func (w *Ways) takeNext() spoke.UpstreamID {
	w.next = (w.next + 1) % len(w.order)
	return w.order[w.next]
}
