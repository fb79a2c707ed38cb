package place

import (
	"maps"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// maxCopyTime is the longest time from the placement of a call to the end of its copies from stores.
	maxCopyTime = 3 * time.Second
	// freeAfter is the time for which a part may still be copied after reports have excluded it. It is the
	// sum of storeLease, for which a host uses the last state of a store, maxCopyTime, and a pause of the
	// reporting host or the time in which a second host that follows the store detects its isolation.
	freeAfter = storeLease + maxCopyTime + IsolatedAfter + 500*time.Millisecond
	// IsolatedAfter is the time without contact to the directory and to other hosts after which a host
	// must not act on its view of a store, since another host may follow the store by then.
	IsolatedAfter = 2 * time.Second
	// maxPublishGap is the gap between two calls of Publish above which a Reclaimer is reset, since a host
	// that was suspended has sent no reports meanwhile.
	maxPublishGap = 2 * time.Second
)

type (
	// OutdatedWeights decides which weight versions are outdated: no call may begin on them any more, since
	// newer ones have replaced them.
	OutdatedWeights struct {
		// limit is the time after newer weights became wanted in which calls may begin on older ones.
		limit   time.Duration
		wanted  map[spoke.ModelName]versionHistory
		serving map[spoke.UpstreamID]map[spoke.ModelName]spoke.WeightVersion
	}

	// Reclaimer decides which parts of one store may be freed: those that the host which follows the store
	// has excluded from copying in its reports, long enough ago that no copy can be under way. A host that
	// received no such report has stopped using the store, and engines discard late copies.
	Reclaimer struct {
		// reported holds the oldest usable versions and since when they have been reported.
		reported     map[spoke.ModelName]versionHistory
		lastReported time.Time
	}
)

// NewOutdatedWeights returns an OutdatedWeights that allows the use of replaced weights for limit.
func NewOutdatedWeights(limit time.Duration) *OutdatedWeights {
	return &OutdatedWeights{
		limit:   limit,
		wanted:  make(map[spoke.ModelName]versionHistory),
		serving: make(map[spoke.UpstreamID]map[spoke.ModelName]spoke.WeightVersion),
	}
}

// SetWanted records weights that engines should serve.
func (o *OutdatedWeights) SetWanted(now time.Time, wanted spoke.WantedWeights) {
	known := o.wanted[wanted.Model].add(wantedVersion{version: wanted.Version, wantedTime: wantedTime{since: now}})
	o.wanted[wanted.Model] = known.prune(now.Add(-o.limit))
}

// SetUpstreams applies changes of the list of upstreams.
func (o *OutdatedWeights) SetUpstreams(isSnapshot bool, listed []spoke.ListedUpstream, removed []spoke.UpstreamID) {
	if isSnapshot {
		clear(o.serving)
	}
	for _, upstream := range listed {
		o.serving[upstream.ID] = upstream.Weights
	}
	for _, id := range removed {
		delete(o.serving, id)
	}
}

// OldestUsable returns the oldest version of each model that may be used. Older ones are past the limit, or
// every engine serves newer ones.
func (o *OutdatedWeights) OldestUsable(now time.Time) []spoke.ServedWeights {
	oldest := o.lowestServed()
	for model, versions := range o.wanted {
		for _, known := range versions {
			if now.Sub(known.since) > o.limit {
				oldest[model] = max(oldest[model], known.version)
			}
		}
	}
	return listWeights(oldest)
}

// listWeights returns the versions sorted by model name.
func listWeights(versions map[spoke.ModelName]spoke.WeightVersion) []spoke.ServedWeights {
	var listed []spoke.ServedWeights
	for _, model := range slices.Sorted(maps.Keys(versions)) {
		listed = append(listed, spoke.ServedWeights{Model: model, Version: versions[model]})
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

// NewReclaimer returns a Reclaimer without reported versions.
func NewReclaimer() *Reclaimer { return &Reclaimer{reported: make(map[spoke.ModelName]versionHistory)} }

// Publish records that reports to the other hosts carry the oldest usable weights from now on.
func (r *Reclaimer) Publish(now time.Time, oldest []spoke.ServedWeights) {
	if r.hasPublishGap(now) {
		r.Reset()
	}
	r.lastReported = now
	for _, usable := range oldest {
		known := r.reported[usable.Model].add(wantedVersion{version: usable.Version, wantedTime: wantedTime{since: now}})
		r.reported[usable.Model] = known.prune(now.Add(-freeAfter))
	}
}

func (r *Reclaimer) hasPublishGap(now time.Time) bool { return now.Sub(r.lastReported) > maxPublishGap }

// Reset drops the reported versions, so that the time until parts may be freed starts again. It must be called
// when another host has published the state of the store as well.
func (r *Reclaimer) Reset() { clear(r.reported) }

// MayFree reports whether no host can copy parts of a cache group any more.
func (r *Reclaimer) MayFree(now time.Time, group string) bool {
	model, version, ok := ParseCacheGroup(group)
	if !ok || r.hasPublishGap(now) {
		return false
	}
	since, isOld := r.reported[model].replacedAt(version)
	return isOld && now.Sub(since) > freeAfter
}
