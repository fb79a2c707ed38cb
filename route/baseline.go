package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

type (
	// TwoChoices is a baseline that chooses the less loaded of two random upstreams.
	TwoChoices struct{ random *rand.Rand }

	// RoundRobin is a baseline that chooses the upstreams in turn.
	RoundRobin struct{ next int }
)

var (
	_ spoke.Router = (*TwoChoices)(nil)
	_ spoke.Router = (*RoundRobin)(nil)
)

// NewTwoChoices returns a router that chooses the less loaded of two random upstreams.
func NewTwoChoices(seed uint64) *TwoChoices { return &TwoChoices{newRandom(seed)} }

// NewRoundRobin returns a router that chooses the upstreams in turn.
func NewRoundRobin() *RoundRobin { return &RoundRobin{} }

// Choose returns usable upstreams, the best first.
func (t *TwoChoices) Choose(_ time.Time, query spoke.RouteQuery, views []spoke.UpstreamView) []spoke.UpstreamID {
	found := usable(&query, views)
	return ids(twoChoices(t.random, query.Rank.Name, found.known), twoChoices(t.random, query.Rank.Name, found.unknown))
}

// Choose returns usable upstreams, the next in turn first.
func (r *RoundRobin) Choose(_ time.Time, query spoke.RouteQuery, views []spoke.UpstreamView) []spoke.UpstreamID {
	found := usable(&query, views)
	known := ids(found.known)
	if len(known) > 0 {
		start := r.next % len(known)
		known = append(slices.Clone(known[start:]), known[:start]...)
	}
	r.next++
	return append(known, ids(found.unknown)...)
}

// twoChoices puts the less loaded of two random views first, the others in random order.
func twoChoices(random *rand.Rand, rank spoke.RankName, views []*spoke.UpstreamView) []*spoke.UpstreamView {
	order := slices.Clone(views)
	random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	if len(order) > 1 && compareLoad(rank, order[1], order[0]) < 0 {
		order[0], order[1] = order[1], order[0]
	}
	return order
}

func compareLoad(rank spoke.RankName, a, b *spoke.UpstreamView) int {
	return cmp.Or(cmp.Compare(wait(rank, a), wait(rank, b)), cmp.Compare(load(a), load(b)))
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }
