package route_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/route"
)

// extend appends a piece to a prompt.
func extend(keys []spoke.BlockKey, text string) []spoke.BlockKey {
	parent := spoke.BlockKey{}
	if len(keys) > 0 {
		parent = keys[len(keys)-1]
	}
	hash := xxhash.Sum64String(parent.String() + text)
	return append(slices.Clip(keys), spoke.BlockKey([]byte(fmt.Sprintf("%032x", hash))))
}

// conversations returns prompts of ten workspaces of unequal size; all prompts of a workspace share a
// prefix of four pieces.
func conversations(random *rand.Rand) [][]spoke.BlockKey {
	var prompts [][]spoke.BlockKey
	for workspace, size := range []int{300, 150, 100, 50, 50, 30, 30, 20, 20, 10} {
		var sharedPrefix []spoke.BlockKey
		for piece := range 4 {
			sharedPrefix = extend(sharedPrefix, fmt.Sprint(workspace, piece))
		}
		for id := range size {
			prompt := sharedPrefix
			for piece := range 2 + random.IntN(6) {
				prompt = extend(prompt, fmt.Sprint(id, piece))
			}
			prompts = append(prompts, prompt)
		}
	}
	return prompts
}

// simulate routes repeated, growing prompts to nine upstreams with eight slots and unlimited caches
// each. It returns the share of recomputed pieces and the load of the busiest upstream as a multiple
// of the mean.
func simulate(router spoke.Router) (float64, float64) {
	random := rand.New(rand.NewPCG(1, 1))
	prompts, views := conversations(random), makeViews(9)
	caches, ends := map[spoke.UpstreamID]map[spoke.BlockKey]bool{}, map[spoke.UpstreamID][]time.Time{}
	at, counts := now, map[spoke.UpstreamID]float64{}
	missed, pieces, busiest := 0.0, 0.0, 0.0
	for i := range 6000 {
		at = at.Add(time.Duration(random.ExpFloat64() * float64(40*time.Millisecond)))
		for j := range views {
			id := views[j].Upstream.ID
			ends[id] = slices.DeleteFunc(ends[id], at.After)
			views[j].Load.Running = len(ends[id])
		}
		q, c := query(), random.IntN(len(prompts))
		q.Keys = prompts[c]
		id := router.Choose(at, q, views)[0]
		if caches[id] == nil {
			caches[id] = map[spoke.BlockKey]bool{}
		}
		misses := 0.0
		for _, key := range q.Keys {
			if !caches[id][key] {
				misses++
			}
			caches[id][key] = true
		}
		ends[id] = append(ends[id], at.Add(time.Second+time.Duration(misses*0.4*float64(time.Second))))
		if i >= 2000 {
			missed, pieces = missed+misses, pieces+float64(len(q.Keys))
			counts[id]++
			busiest = max(busiest, counts[id]*9/4000)
		}
		if random.IntN(3) == 0 {
			prompts[c] = extend(q.Keys, fmt.Sprint("growth", i))
		}
	}
	return missed / pieces, busiest
}

// Guards against routing that loses prefix reuse or concentrates a popular prefix on one upstream. A
// simulation compares the choice of affinity keys and the baselines.
func TestSimulatedRecomputation(t *testing.T) {
	share, busiest := simulate(route.NewAffinity())
	fixed, fixedBusiest := simulate(route.NewAffinity(route.WithDepth(2)))
	twoChoices, _ := simulate(route.NewTwoChoices(1))
	roundRobin, _ := simulate(route.NewRoundRobin())
	t.Logf("recomputed: popularity %.3f (busiest %.2f), depth two %.3f (busiest %.2f), two choices %.3f, round robin %.3f",
		share, busiest, fixed, fixedBusiest, twoChoices, roundRobin)
	assert.Assert(t, share <= 0.1 && busiest < 1.3)
	assert.Assert(t, share < fixed && share < twoChoices/3 && share < roundRobin/3)
}
