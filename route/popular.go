package route

import "magnoliaspoke.example/spoke"

const (
	// Counts are halved after this many requests per upstream, which forgets old traffic.
	halvingPeriod = 250
	// Shares of fewer requests per upstream are noise.
	minRequests = 20
	// A prefix with more than this part of an upstream's mean traffic is split. In trials with
	// shared catalogues of four pieces, 0.5 recomputed up to half as much again as 0.1,
	// and with 0.1 the counts of one halving period are too small to be stable.
	hotPart = 0.15
)

// popular counts which leading prefixes carry much of the traffic of a service.
type popular struct {
	counts   map[spoke.BlockKey]float64
	total    float64
	requests int
}

func newPopular() *popular {
	return &popular{counts: make(map[spoke.BlockKey]float64)}
}

// affinityKey counts a prompt and returns its first key that is not hot, the last one if all
// are. Prompts that share a long prefix meet there unless the prefix is too popular for one
// upstream, and a prompt keeps its key while it grows.
func (p *popular) affinityKey(keys []spoke.BlockKey, upstreams int) spoke.BlockKey {
	p.age(upstreams)
	p.total++
	for _, key := range keys[:len(keys)-1] {
		p.counts[key]++
		if p.total < float64(minRequests*upstreams) || p.counts[key] < hotPart*p.total/float64(upstreams) {
			return key
		}
	}
	return keys[len(keys)-1]
}

// age halves the counts and drops small ones, which bounds the memory.
func (p *popular) age(upstreams int) {
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
