package least_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/least"
)

// Guards against items that are not the first ones of the sorted sequence.
func TestKeptItemsAreTheFirstSortedOnes(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	for _, count := range []int{0, 1, 2, 7, 40} {
		items := random.Perm(20)
		kept := []int{}
		for _, item := range items {
			kept = least.Insert(kept, item, count, cmp.Compare[int])
		}
		slices.Sort(items)
		assert.DeepEqual(t, kept, items[:min(count, len(items))])
	}
}
