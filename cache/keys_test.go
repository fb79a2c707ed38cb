package cache_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cache"
)

func drawScope(t *rapid.T, label string) cache.Scope {
	// A few overlapping values make equal concatenations of different fields likely.
	name := rapid.SampledFrom([]string{"", "a", "b", "ab", "ba", "aab"})
	return cache.Scope{
		Service:   spoke.ServiceName(name.Draw(t, label+" service")),
		Workspace: spoke.WorkspaceID(name.Draw(t, label+" workspace")),
		Model:     spoke.ModelName(name.Draw(t, label+" model")),
		Version:   spoke.ModelVersion(name.Draw(t, label+" version")),
		Adapter:   spoke.AdapterName(name.Draw(t, label+" adapter")),
		Nonce:     name.Draw(t, label+" nonce"),
	}
}

func drawPrompt(t *rapid.T, label string) string {
	pieces := rapid.SliceOfN(rapid.SampledFrom([]string{"x", "y"}), 0, 4).Draw(t, label)
	var prompt strings.Builder
	for _, piece := range pieces {
		prompt.WriteString(strings.Repeat(piece, int(spoke.PieceSize)))
	}
	return prompt.String()
}

// TestKeysIdentifyScopeAndPrefix guards against a key that two scopes or two prefixes share, and
// against different keys for the same prefix.
func TestKeysIdentifyScopeAndPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := drawScope(t, "first"), drawScope(t, "second")
		left, right := drawPrompt(t, "left"), drawPrompt(t, "right")+strings.Repeat("z", rapid.IntRange(0, 99).Draw(t, "rest"))
		leftKeys, rightKeys := first.Keys(left), second.Keys(right)
		assert.Equal(t, len(rightKeys), len(right)/int(spoke.PieceSize))
		for i, key := range leftKeys {
			for j, other := range rightKeys {
				leftEnd, rightEnd := (i+1)*int(spoke.PieceSize), (j+1)*int(spoke.PieceSize)
				same := first == second && left[:leftEnd] == right[:rightEnd]
				assert.Equal(t, key == other, same)
			}
		}
	})
}

// TestKeysSeparateFields guards against equal keys for different fields with the same concatenation.
func TestKeysSeparateFields(t *testing.T) {
	prompt := strings.Repeat("x", int(spoke.PieceSize))
	scopes := []cache.Scope{
		{Service: "ab"}, {Service: "a", Workspace: "b"}, {Workspace: "ab"}, {Workspace: "a", Adapter: "b"},
		{Adapter: "ab"}, {Nonce: "ab"}, {Model: "ab"}, {Model: "a", Version: "b"}, {Version: "ab"},
	}
	seen := make(map[spoke.BlockKey]cache.Scope)
	for _, scope := range scopes {
		key := scope.Keys(prompt)[0]
		other, ok := seen[key]
		assert.Assert(t, !ok, "%v and %v share a key", scope, other)
		seen[key] = scope
	}
}

// TestPlacementRemapsOnlyBlocksOfRemovedHost guards against blocks that are remapped between remaining
// hosts when another host is removed.
func TestPlacementRemapsOnlyBlocksOfRemovedHost(t *testing.T) {
	var hosts []spoke.StoreHost
	for _, id := range []spoke.StoreHostID{"s1", "s2", "s3", "s4"} {
		hosts = append(hosts, spoke.StoreHost{ID: id, Service: "quotes", DataCentre: "sialkot"})
	}
	others := []spoke.StoreHost{{ID: "x", Service: "almanac", DataCentre: "sialkot"}, {ID: "y", Service: "quotes", DataCentre: "addis"}}
	all := cache.NewPlacement(append(others, hosts...), "quotes", "sialkot")
	fewer := cache.NewPlacement(hosts[:3], "quotes", "sialkot")
	counts := make(map[spoke.StoreHostID]int)
	for i := range 4000 {
		key := spoke.BlockKey{byte(i), byte(i >> 8)}
		before, ok := all.Host(key)
		assert.Assert(t, ok)
		counts[before.ID]++
		after, _ := fewer.Host(key)
		assert.Assert(t, before.ID == "s4" || before.ID == after.ID)
	}
	for _, host := range hosts {
		assert.Assert(t, counts[host.ID] > 800 && counts[host.ID] < 1200, "%v", counts)
	}
	_, ok := cache.NewPlacement(others, "quotes", "sialkot").Host(spoke.BlockKey{})
	assert.Assert(t, !ok)
}
