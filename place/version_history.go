package place

import (
	"cmp"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

// minReportedShift is the difference of two times below which a better time is not reported; ages lose
// fractions of milliseconds in reports.
const minReportedShift = 10 * time.Millisecond

type (
	// versionHistory holds the wanted versions of a model's weights in ascending order.
	versionHistory []wantedVersion

	// wantedVersion is a weight version and the best time since which it has been wanted.
	wantedVersion struct {
		version spoke.WeightVersion
		wantedTime
		// isListed says that the directory has shown the version to this host, own is the time according to it.
		isListed bool
		own      wantedTime
	}

	// wantedTime is a time since which a version has been wanted.
	wantedTime struct {
		since time.Time
		// isEstimate says that the time is a bound and may be too early; a known time replaces it.
		isEstimate bool
		// source is the clock of the process that reported the time, zero if the directory shows it; fastest is the
		// transit time of its fastest report by then. The time is too late if a later report is faster.
		source  senderClock
		fastest time.Duration
	}
)

// find returns the entry of a version.
func (h versionHistory) find(version spoke.WeightVersion) (wantedVersion, bool) {
	position, isKnown := h.position(version)
	if !isKnown {
		return wantedVersion{}, false
	}
	return h[position], true
}

func (h versionHistory) position(version spoke.WeightVersion) (int, bool) {
	return slices.BinarySearchFunc(h, version, func(known wantedVersion, version spoke.WeightVersion) int {
		return cmp.Compare(known.version, version)
	})
}

// differsFrom reports whether two times differ in more than the precision of reports.
func (w wantedTime) differsFrom(other wantedTime) bool {
	return w.isEstimate != other.isEstimate || w.since.Sub(other.since).Abs() >= minReportedShift
}

// add returns the history with a version, or with a better time for a version that it contains: a known time
// replaces an estimate, an earlier known time a later one, and a later estimate an earlier one, since each of
// them is a bound.
func (h versionHistory) add(update wantedVersion) versionHistory {
	position, isKnown := h.position(update.version)
	if !isKnown {
		return slices.Insert(h, position, update)
	}
	known := &h[position]
	if update.isListed {
		known.isListed, known.own = true, update.own
	}
	if update.isBetterThan(known.wantedTime) {
		known.wantedTime = update.wantedTime
	}
	return h
}

// correct moves a time that a process has reported if a faster report shows that the ones before were delayed. It is a
// bound then, since the faster report may have been delayed as well.
func (w *wantedVersion) correct(source senderClock, fastest time.Duration) {
	delay := w.fastest - fastest
	if w.source != source || delay <= 0 {
		return
	}
	w.since, w.fastest = w.since.Add(-delay), fastest
	w.isEstimate = w.isEstimate || delay > directoryDelay
	if w.isListed && w.own.isBetterThan(w.wantedTime) {
		w.wantedTime = w.own
	}
}

// addSuspension counts a time that the clock has left out.
func (w *wantedVersion) addSuspension(length time.Duration) {
	w.since, w.own.since = w.since.Add(-length), w.own.since.Add(-length)
}

func (w wantedTime) isBetterThan(known wantedTime) bool {
	switch {
	case w.isEstimate && known.isEstimate:
		return w.since.After(known.since)
	case w.isEstimate || known.isEstimate:
		return known.isEstimate
	}
	return w.since.Before(known.since)
}

// replacedAt returns when the first version above the given one became wanted. If two do so in quick
// succession, older weights count as replaced from the first of them.
func (h versionHistory) replacedAt(version spoke.WeightVersion) (time.Time, bool) {
	var first time.Time
	isReplaced := false
	for _, known := range h {
		if known.version > version && (!isReplaced || known.since.Before(first)) {
			first, isReplaced = known.since, true
		}
	}
	return first, isReplaced
}

// prune returns the history without versions that were replaced before the given time. Estimated times do
// not count, since they may be too early.
func (h versionHistory) prune(before time.Time) versionHistory {
	for len(h) > 1 && !h[1].isEstimate && h[1].since.Before(before) {
		h = h[1:]
	}
	return h
}
