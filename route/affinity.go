package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// An upstream may have this multiple of the mean load before it spills.
	defaultBound = 1.25
	// Below this load an upstream has free places, and spilling only costs cache hits.
	defaultSlack = 0.9
)

type (
	// Affinity routes prompts with a common prefix to one upstream, within a load bound.
	Affinity struct {
		// depth is a fixed number of leading pieces; zero means that popularity decides.
		depth        int
		popular      map[spoke.ServiceName]*popular
		bound, slack float64
		random       *rand.Rand
	}

	// Option changes a setting of an Affinity.
	Option func(*Affinity)
)

var _ spoke.Router = (*Affinity)(nil)

// WithDepth makes prompts meet by a fixed number of leading pieces.
func WithDepth(pieces int) Option {
	return func(a *Affinity) { a.depth = max(pieces, 1) }
}

// WithBound sets the multiple of the mean load above which an upstream spills, and
// the load up to which it never does.
func WithBound(bound, slack float64) Option {
	return func(a *Affinity) { a.bound, a.slack = bound, slack }
}

// WithSeed sets the seed for prompts without a whole piece.
func WithSeed(seed uint64) Option {
	return func(a *Affinity) { a.random = newRandom(seed) }
}

// NewAffinity returns a router with prefix affinity; it belongs to one goroutine.
func NewAffinity(options ...Option) *Affinity {
	a := &Affinity{popular: make(map[spoke.ServiceName]*popular), bound: defaultBound, slack: defaultSlack, random: newRandom(1)}
	for _, option := range options {
		option(a)
	}
	return a
}

// Choose returns usable upstreams, the best first.
func (a *Affinity) Choose(_ time.Time, query spoke.RouteQuery, views []spoke.UpstreamView) []spoke.UpstreamID {
	p := usable(query, views)
	n := len(p.known) + len(p.unknown)
	if n == 0 {
		return nil
	}
	if len(query.Keys) == 0 {
		rank := query.Rank.Name
		return ids(twoChoices(a.random, rank, p.known), twoChoices(a.random, rank, p.unknown))
	}
	key, limit := a.key(query, n), max(a.slack, a.bound*meanLoad(p))
	return ids(a.order(query.Rank, key, p.known, limit), a.order(query.Rank, key, p.unknown, limit))
}

func (a *Affinity) key(query spoke.RouteQuery, upstreams int) spoke.BlockKey {
	if a.depth > 0 {
		return query.Keys[min(a.depth, len(query.Keys))-1]
	}
	if a.popular[query.Service] == nil {
		a.popular[query.Service] = newPopular()
	}
	return a.popular[query.Service].affinityKey(query.Keys, upstreams)
}

// order puts upstreams within the bound first, in hash order, then the others by their wait.
func (a *Affinity) order(rank spoke.Rank, key spoke.BlockKey, views []spoke.UpstreamView, limit float64) []spoke.UpstreamView {
	var within, above []spoke.UpstreamView
	for _, view := range byHash(key, views) {
		if load(view) <= limit && meetsTarget(rank, view) {
			within = append(within, view)
		} else {
			above = append(above, view)
		}
	}
	slices.SortStableFunc(above, func(x, y spoke.UpstreamView) int {
		return compareLoad(rank.Name, x, y)
	})
	return append(within, above...)
}

func meetsTarget(rank spoke.Rank, view spoke.UpstreamView) bool {
	return rank.FirstTokenTarget == 0 || wait(rank.Name, view) <= rank.FirstTokenTarget
}

func meanLoad(p pool) float64 {
	var sum float64
	for _, group := range [][]spoke.UpstreamView{p.known, p.unknown} {
		for _, view := range group {
			sum += load(view)
		}
	}
	return sum / float64(len(p.known)+len(p.unknown))
}
