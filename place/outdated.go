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
		limit    time.Duration
		named    map[spoke.ModelName][]namedWeights
		serving  map[spoke.UpstreamID]map[spoke.ModelName]spoke.WeightVersion
		earliest map[spoke.ModelName]namedWeights
	}

	// namedWeights is a version and since when it holds.
	namedWeights struct {
		version spoke.WeightVersion
		since   time.Time
	}
)

// NewOutdated returns a decision for weights that may be used for a time after newer were named.
func NewOutdated(limit time.Duration) *Outdated {
	return &Outdated{
		limit:    limit,
		named:    make(map[spoke.ModelName][]namedWeights),
		serving:  make(map[spoke.UpstreamID]map[spoke.ModelName]spoke.WeightVersion),
		earliest: make(map[spoke.ModelName]namedWeights),
	}
}

// Name takes weights that engines should serve.
func (o *Outdated) Name(now time.Time, wanted spoke.WantedWeights) {
	versions := o.named[wanted.Model]
	if len(versions) > 0 && versions[len(versions)-1].version >= wanted.Version {
		return
	}
	o.named[wanted.Model] = append(versions, namedWeights{wanted.Version, now})
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
	lowest := make(map[spoke.ModelName]spoke.WeightVersion)
	for _, weights := range o.serving {
		for model, version := range weights {
			if known, ok := lowest[model]; !ok || version < known {
				lowest[model] = version
			}
		}
	}
	for model, version := range lowest {
		if o.earliest[model].version != version {
			o.earliest[model] = namedWeights{version, now}
		}
	}
}

// Has reports whether parts of a cache group are of no more use. That is so when calls may not
// begin on their weights any more, or when every engine serves newer ones, and copies have ended.
func (o *Outdated) Has(now time.Time, group string) bool {
	model, version, ok := GroupWeights(group)
	if !ok {
		return false
	}
	for _, newer := range o.named[model] {
		if newer.version > version && now.Sub(newer.since) > o.limit+copyTime {
			return true
		}
	}
	earliest := o.earliest[model]
	return earliest.version > version && now.Sub(earliest.since) > copyTime
}
