package place

import (
	"time"

	"magnoliaspoke.example/spoke"
)

// copyTime is the time in which a copy that was begun on older weights has ended.
const copyTime = 3 * time.Second

type (
	// Outdated says which stored parts no call can use any more, since newer weights replaced those
	// on which they were made.
	Outdated struct {
		// limit is the time after newer weights were named in which calls may begin on older ones.
		limit time.Duration
		// named holds the versions of each model in the order in which they were named.
		named   map[spoke.ModelName][]versionSince
		serving map[spoke.UpstreamID]map[spoke.ModelName]spoke.WeightVersion
		// lowest is the lowest version of each model that an engine serves.
		lowest map[spoke.ModelName]versionSince
	}

	// versionSince is a version and since when it holds.
	versionSince struct {
		version spoke.WeightVersion
		since   time.Time
	}
)

// NewOutdated returns a decision for weights that may be used for a time after newer were named.
func NewOutdated(limit time.Duration) *Outdated {
	return &Outdated{
		limit:   limit,
		named:   make(map[spoke.ModelName][]versionSince),
		serving: make(map[spoke.UpstreamID]map[spoke.ModelName]spoke.WeightVersion),
		lowest:  make(map[spoke.ModelName]versionSince),
	}
}

// Name takes weights that engines should serve.
func (o *Outdated) Name(now time.Time, wanted spoke.WantedWeights) {
	versions := o.named[wanted.Model]
	if len(versions) > 0 && versions[len(versions)-1].version >= wanted.Version {
		return
	}
	o.named[wanted.Model] = append(versions, versionSince{wanted.Version, now})
}

// List takes changes of the list of upstreams.
func (o *Outdated) List(now time.Time, isWhole bool, listed []spoke.ListedUpstream, gone []spoke.UpstreamID) {
	if isWhole {
		clear(o.serving)
	}
	for _, upstream := range listed {
		o.serving[upstream.ID] = upstream.Weights
	}
	for _, id := range gone {
		delete(o.serving, id)
	}
	for model, version := range o.lowestServed() {
		if o.lowest[model].version != version {
			o.lowest[model] = versionSince{version, now}
		}
	}
}

func (o *Outdated) lowestServed() map[spoke.ModelName]spoke.WeightVersion {
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

// Includes reports whether parts of a cache group are of no more use. That is so when calls may not
// begin on their weights any more, or when every engine serves newer ones, and copies have ended.
func (o *Outdated) Includes(now time.Time, group string) bool {
	model, version, ok := GroupWeights(group)
	if !ok {
		return false
	}
	for _, newer := range o.named[model] {
		if newer.version > version && now.Sub(newer.since) > o.limit+copyTime {
			return true
		}
	}
	lowest := o.lowest[model]
	return lowest.version > version && now.Sub(lowest.since) > copyTime
}
