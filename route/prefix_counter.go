package route

import "magnoliaspoke.example/spoke"

const (
	// halvingPeriod is the number of requests per upstream after which counts are halved, so that
	// the weight of old traffic decays.
	halvingPeriod = 250
	// minRequests is the number of requests per upstream below which traffic shares are noise.
	minRequests = 20
	// hotShare is the share of an upstream's mean traffic above which a prefix is split over several
	// upstreams. In simulations with shared prefixes of four pieces, 0.5 caused up to 50 % more
	// recomputation than 0.1, but with 0.1 the counts of one halving period are too small to be stable.
	hotShare = 0.15
)

// prefixCounter counts the traffic of a service by prompt prefix to find popular prefixes.
type prefixCounter struct {
	counts   map[spoke.BlockKey]float64
	total    float64
	requests int
}

func newPrefixCounter() *prefixCounter {
	return &prefixCounter{counts: make(map[spoke.BlockKey]float64)}
}

// affinityKey counts a prompt and returns the key of its shortest prefix that is not hot, or the last
// key if all are hot. Prompts with a long common prefix get the same key unless the prefix is too
// popular for one upstream, and a prompt keeps its key while it grows.
func (p *prefixCounter) affinityKey(keys []spoke.BlockKey, upstreams int) spoke.BlockKey {
	p.decay(upstreams)
	p.total++
	for _, key := range keys[:len(keys)-1] {
		p.counts[key]++
		if p.total < float64(minRequests*upstreams) || p.counts[key] < hotShare*p.total/float64(upstreams) {
			return key
		}
	}
	return keys[len(keys)-1]
}

// decay halves the counts once per halving period and deletes small ones, which bounds the memory.
func (p *prefixCounter) decay(upstreams int) {
	p.requests++
	if p.requests < halvingPeriod*upstreams {
		return
	}
	p.requests = 0
	p.total /= 2
	for key, count := range p.counts {
		if count < 2 {
			delete(p.counts, key)
		} else {
			p.counts[key] = count / 2
		}
	}
}
