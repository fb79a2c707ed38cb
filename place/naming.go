package place

import (
	"cmp"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

type (
	// naming holds the versions of a model's weights in their order and when each was named.
	naming []named

	named struct {
		version spoke.WeightVersion
		since   time.Time
		// isGuess says that the time is not known; what another host knows replaces it.
		isGuess bool
	}
)

// take returns the naming with a version, or with a better account of when it was named.
func (n naming) take(heard named) naming {
	position, isKnown := slices.BinarySearchFunc(n, heard.version, func(known named, version spoke.WeightVersion) int {
		return cmp.Compare(known.version, version)
	})
	if !isKnown {
		return slices.Insert(n, position, heard)
	}
	known := n[position]
	if !heard.isGuess && (known.isGuess || heard.since.Before(known.since)) {
		n[position] = heard
	}
	return n
}

// replacedAt returns when the first version after the given one was named. Two names shortly after
// each other replace older weights with the first of them.
func (n naming) replacedAt(version spoke.WeightVersion) (time.Time, bool) {
	var first time.Time
	isReplaced := false
	for _, known := range n {
		if known.version > version && (!isReplaced || known.since.Before(first)) {
			first, isReplaced = known.since, true
		}
	}
	return first, isReplaced
}

// forget returns the naming without versions that say nothing more, since a later one was named
// before the given time. A guess may turn out to be too early.
func (n naming) forget(before time.Time) naming {
	for len(n) > 1 && !n[1].isGuess && n[1].since.Before(before) {
		n = n[1:]
	}
	return n
}
