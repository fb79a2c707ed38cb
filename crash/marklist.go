package crash

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliaspoke.example/spoke"
)

// rotationStep is the distance on the circle of hashes between the marks that two calls return first. Steps of the golden
// section visit all parts of the circle equally often, also if every second call is for other recipients.
const rotationStep = 0x9E3779B97F4A7C15

// listedMark is an entry to report, with its place among those of equal weight.
type listedMark struct {
	fingerprint spoke.Fingerprint
	known       *entry
	order       uint64
}

// rotate returns up to limit marks to report: the heaviest, of equal ones those of this host, and of these other ones with
// each call. A crash makes all requests that the upstream ran suspects, which are more than a report holds, and other hosts
// have to learn of the one that caused it.
func (r *Registry) rotate(now time.Time, limit int) []spoke.QuarantineMark {
	r.lists++
	var listed []listedMark
	for fingerprint := range r.entries {
		if known := r.live(now, fingerprint); known != nil && r.isReported(now, known) {
			order := xxhash.Sum64String(string(fingerprint)) - r.lists*rotationStep
			listed = append(listed, listedMark{fingerprint, known, order})
		}
	}
	slices.SortFunc(listed, compareListed)
	var marks []spoke.QuarantineMark
	for _, next := range listed[:min(len(listed), max(limit, 0))] {
		marks = append(marks, r.reported(now, next.fingerprint, next.known))
	}
	return marks
}

func compareListed(a, b listedMark) int {
	return cmp.Or(
		// An answer takes falls back, so that reports of it are worth as much as those of a fall.
		cmp.Compare(max(b.known.weight(), 1), max(a.known.weight(), 1)),
		compareOwn(a.known, b.known),
		cmp.Compare(a.order, b.order),
	)
}

// compareOwn orders entries that this host has observed before those that it only knows from reports.
func compareOwn(a, b *entry) int {
	switch {
	case a.isOwn == b.isOwn:
		return 0
	case a.isOwn:
		return -1
	}
	return 1
}
