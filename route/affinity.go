package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// defaultBound is the multiple of the mean load above which an upstream spills requests to others.
	defaultBound = 1.25
	// defaultMinSpillLoad is the load up to which an upstream spills only if its wait exceeds the
	// target: it has free slots, and spilling would only cost cache hits.
	defaultMinSpillLoad = 0.9
)

type (
	// Affinity routes prompts with a common prefix to one upstream, subject to a load bound.
	Affinity struct {
		// depth is the number of leading pieces that form the affinity key; zero means that the
		// number depends on the popularity of the prefixes.
		depth               int
		counters            map[spoke.ServiceName]*prefixCounter
		bound, minSpillLoad float64
		random              *rand.Rand
	}

	// Option changes a setting of an Affinity.
	Option func(*Affinity)
)

var _ spoke.Router = (*Affinity)(nil)

// WithDepth makes a fixed number of leading pieces the affinity key of a prompt.
func WithDepth(pieces int) Option {
	return func(a *Affinity) { a.depth = max(pieces, 1) }
}

// WithBound sets the multiple of the mean load above which an upstream spills, and the load up to
// which it spills only if its wait exceeds the target of the rank.
func WithBound(bound, minSpillLoad float64) Option {
	return func(a *Affinity) { a.bound, a.minSpillLoad = bound, minSpillLoad }
}

// WithSeed sets the seed of the random choice for prompts shorter than one piece.
func WithSeed(seed uint64) Option {
	return func(a *Affinity) { a.random = newRandom(seed) }
}

// NewAffinity returns a router with prefix affinity; it is not safe for concurrent use.
func NewAffinity(options ...Option) *Affinity {
	a := &Affinity{counters: make(map[spoke.ServiceName]*prefixCounter), bound: defaultBound, minSpillLoad: defaultMinSpillLoad, random: newRandom(1)}
	for _, option := range options {
		option(a)
	}
	return a
}

// Choose returns usable upstreams, the best first.
func (a *Affinity) Choose(_ time.Time, query spoke.RouteQuery, views []spoke.UpstreamView) []spoke.UpstreamID {
	found := usable(&query, views)
	n := len(found.known) + len(found.unknown)
	if n == 0 {
		return nil
	}
	if len(query.Keys) == 0 {
		rank := query.Rank.Name
		return ids(twoChoices(a.random, rank, found.known), twoChoices(a.random, rank, found.unknown))
	}
	key, limit := a.key(query, n), max(a.minSpillLoad, a.bound*meanLoad(found))
	return ids(a.order(query.Rank, key, found.known, limit), a.order(query.Rank, key, found.unknown, limit))
}

func (a *Affinity) key(query spoke.RouteQuery, upstreams int) spoke.BlockKey {
	if a.depth > 0 {
		return query.Keys[min(a.depth, len(query.Keys))-1]
	}
	if a.counters[query.Service] == nil {
		a.counters[query.Service] = newPrefixCounter()
	}
	return a.counters[query.Service].affinityKey(query.Keys, upstreams)
}

// order returns the upstreams within the load limit and the rank's target, sorted by rendezvous
// weight, followed by the others, sorted by predicted wait and load.
func (a *Affinity) order(rank spoke.Rank, key spoke.BlockKey, views []*spoke.UpstreamView, limit float64) []*spoke.UpstreamView {
	within, above := make([]*spoke.UpstreamView, 0, len(views)), []*spoke.UpstreamView(nil)
	for _, view := range byHash(key, views) {
		if load(view) <= limit && meetsTarget(rank, view) {
			within = append(within, view)
		} else {
			above = append(above, view)
		}
	}
	slices.SortStableFunc(above, func(x, y *spoke.UpstreamView) int {
		return compareLoad(rank.Name, x, y)
	})
	return append(within, above...)
}

func meetsTarget(rank spoke.Rank, view *spoke.UpstreamView) bool {
	return rank.FirstTokenTarget == 0 || wait(rank.Name, view) <= rank.FirstTokenTarget
}

func meanLoad(found candidates) float64 {
	var sum float64
	for _, group := range [][]*spoke.UpstreamView{found.known, found.unknown} {
		for _, view := range group {
			sum += load(view)
		}
	}
	return sum / float64(len(found.known)+len(found.unknown))
}
