package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// Prompts meet by their first two pieces: the first piece is often a text that all
	// prompts of a workspace share, and a deeper key would move a prompt whenever it
	// grows or differs from others after a long common part.
	defaultDepth = 2
	// An upstream may have this multiple of the mean load before it spills.
	defaultBound = 1.25
	// Below this load an upstream has free places, and spilling only costs cache hits.
	defaultSlack = 0.9
)

type (
	// Affinity routes prompts with a common prefix to one upstream, within a load bound.
	Affinity struct {
		depth        int
		bound, slack float64
		random       *rand.Rand
	}

	// Option changes a setting of an Affinity.
	Option func(*Affinity)
)

var _ spoke.Router = (*Affinity)(nil)

// WithDepth sets the number of leading pieces by which prompts meet.
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

// NewAffinity returns a router with prefix affinity.
func NewAffinity(options ...Option) *Affinity {
	a := &Affinity{depth: defaultDepth, bound: defaultBound, slack: defaultSlack, random: newRandom(1)}
	for _, option := range options {
		option(a)
	}
	return a
}

// Choose returns usable upstreams, the best first.
func (a *Affinity) Choose(_ time.Time, query spoke.RouteQuery, views []spoke.UpstreamView) []spoke.UpstreamID {
	p := usable(query, views)
	limit := max(a.slack, a.bound*meanLoad(p))
	return ids(a.order(query, p.known, limit), a.order(query, p.unknown, limit))
}

// order puts upstreams within the bound first, in hash order, then the others by their wait.
func (a *Affinity) order(query spoke.RouteQuery, views []spoke.UpstreamView, limit float64) []spoke.UpstreamView {
	if len(query.Keys) == 0 {
		return twoChoices(a.random, query.Rank.Name, views)
	}
	key := query.Keys[min(a.depth, len(query.Keys))-1]
	var within, above []spoke.UpstreamView
	for _, view := range byHash(key, views) {
		if load(view) <= limit && a.meetsTarget(query.Rank, view) {
			within = append(within, view)
		} else {
			above = append(above, view)
		}
	}
	slices.SortStableFunc(above, func(x, y spoke.UpstreamView) int {
		return compareLoad(query.Rank.Name, x, y)
	})
	return append(within, above...)
}

func (a *Affinity) meetsTarget(rank spoke.Rank, view spoke.UpstreamView) bool {
	return rank.FirstTokenTarget == 0 || wait(rank.Name, view) <= rank.FirstTokenTarget
}

func meanLoad(p pool) float64 {
	n := len(p.known) + len(p.unknown)
	if n == 0 {
		return 0
	}
	var sum float64
	for _, group := range [][]spoke.UpstreamView{p.known, p.unknown} {
		for _, view := range group {
			sum += load(view)
		}
	}
	return sum / float64(n)
}
