package place

import (
	"maps"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// copyTime is the longest time from the placing of a call to the end of its copies from stores.
	copyTime = 3 * time.Second
	// freeAfter is the time after hosts were told not to copy a part any more in which it may still be
	// copied: what a host knows of a store counts for storeLease, on top of a pause of the host that
	// tells, or of the time in which one that follows the store as well learns that it is isolated.
	freeAfter = storeLease + copyTime + IsolatedAfter + 500*time.Millisecond
	// IsolatedAfter is the time without a word of the directory and of other hosts after which a host
	// must not rely on what it sees of a store, since another may follow it by then.
	IsolatedAfter = 2 * time.Second
	// longestSilence is the pause in telling after which the time counts anew, since a host that was
	// suspended has told nobody meanwhile.
	longestSilence = 2 * time.Second
)

type (
	// Outdated says which weights no call may begin on any more, since newer ones replaced them.
	OutdatedWeights struct {
		// limit is the time after newer weights were named in which calls may begin on older ones.
		limit   time.Duration
		named   map[spoke.ModelName]naming
		serving map[spoke.UpstreamID]map[spoke.ModelName]spoke.WeightVersion
	}

	// Freeing says which parts of one store may be freed: those that the host which follows the store
	// has told all others not to copy, long enough ago that no copy can be under way. A host that did
	// not hear of it does not use the store any more, and late copies are thrown away by their engine.
	Reclaimer struct {
		// told holds the oldest usable versions and since when the other hosts were told of them.
		told map[spoke.ModelName]naming
		last time.Time
	}
)

// NewOutdated returns a decision for weights that may be used for a time after newer were named.
func NewOutdatedWeights(limit time.Duration) *OutdatedWeights {
	return &OutdatedWeights{
		limit:   limit,
		named:   make(map[spoke.ModelName]naming),
		serving: make(map[spoke.UpstreamID]map[spoke.ModelName]spoke.WeightVersion),
	}
}

// Name takes weights that engines should serve.
func (o *OutdatedWeights) SetWanted(now time.Time, wanted spoke.WantedWeights) {
	known := o.named[wanted.Model].take(named{version: wanted.Version, since: now})
	o.named[wanted.Model] = known.forget(now.Add(-o.limit))
}

// List takes changes of the list of upstreams.
func (o *OutdatedWeights) SetUpstreams(isWhole bool, listed []spoke.ListedUpstream, gone []spoke.UpstreamID) {
	if isWhole {
		clear(o.serving)
	}
	for _, upstream := range listed {
		o.serving[upstream.ID] = upstream.Weights
	}
	for _, id := range gone {
		delete(o.serving, id)
	}
}

// Oldest returns the oldest version of each model that may be used: calls may not begin on older
// ones any more, or every engine serves newer ones.
func (o *OutdatedWeights) OldestUsable(now time.Time) []spoke.ListedWeights {
	oldest := o.lowestServed()
	for model, versions := range o.named {
		for _, known := range versions {
			if now.Sub(known.since) > o.limit {
				oldest[model] = max(oldest[model], known.version)
			}
		}
	}
	return listWeights(oldest)
}

// listWeights returns the versions of models in the order of their names.
func listWeights(versions map[spoke.ModelName]spoke.WeightVersion) []spoke.ListedWeights {
	var listed []spoke.ListedWeights
	for _, model := range slices.Sorted(maps.Keys(versions)) {
		listed = append(listed, spoke.ListedWeights{Model: model, Version: versions[model]})
	}
	return listed
}

func (o *OutdatedWeights) lowestServed() map[spoke.ModelName]spoke.WeightVersion {
	lowest := make(map[spoke.ModelName]spoke.WeightVersion)
	for _, weights := range o.serving {
		for model, version := range weights {
			if known, ok := lowest[model]; !ok || version < known {
				lowest[model] = version
			}
		}
	}
	return lowest
}

// NewFreeing returns a decision for a store of which nothing was told yet.
func NewReclaimer() *Reclaimer { return &Reclaimer{told: make(map[spoke.ModelName]naming)} }

// Tell notes that the other hosts are told of the oldest usable weights from now on.
func (f *Reclaimer) Publish(now time.Time, oldest []spoke.ListedWeights) {
	if f.isSilent(now) {
		f.Reset()
	}
	f.last = now
	for _, usable := range oldest {
		known := f.told[usable.Model].take(named{version: usable.Version, since: now})
		f.told[usable.Model] = known.forget(now.Add(-freeAfter))
	}
}

func (f *Reclaimer) isSilent(now time.Time) bool { return now.Sub(f.last) > longestSilence }

// Restart counts the time anew, since another host has told of the store as well.
func (f *Reclaimer) Reset() { clear(f.told) }

// Includes reports whether no host can copy parts of a cache group any more.
func (f *Reclaimer) MayFree(now time.Time, group string) bool {
	model, version, ok := GroupWeights(group)
	if !ok || f.isSilent(now) {
		return false
	}
	told, isOld := f.told[model].replacedAt(version)
	return isOld && now.Sub(told) > freeAfter
}
