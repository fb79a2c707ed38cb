package place_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// Guards against parts of a workspace that others find after it has become isolated, and against parts of others that it
// finds then, whatever became isolated before and whoever still uses an older configuration: each step is a configuration,
// and requests of each workspace are made by it or by the one before.
func TestIsolatedWorkspaceSharesNoPartsMadeBefore(t *testing.T) {
	workspaces := []spoke.WorkspaceID{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		makers := make(map[string][]spoke.WorkspaceID)
		var before []spoke.WorkspaceID
		for range rapid.IntRange(1, 8).Draw(t, "configurations") {
			isolated := rapid.SliceOfDistinct(rapid.SampledFrom(workspaces), func(w spoke.WorkspaceID) spoke.WorkspaceID { return w }).Draw(t, "isolated")
			for _, used := range [][]spoke.WorkspaceID{before, isolated} {
				groups := place.NewCacheGroups(used)
				for _, workspace := range workspaces {
					group := groups.Of(spoke.KeyOwner{Workspace: workspace})
					for _, maker := range makers[group] {
						isApart := slices.Contains(used, workspace) || slices.Contains(used, maker)
						if maker != workspace && isApart {
							t.Fatalf("%s finds parts of %s in %s while %v are isolated", workspace, maker, group, used)
						}
					}
					makers[group] = append(makers[group], workspace)
				}
			}
			before = isolated
		}
	})
}

// Guards against parts that are read again because hosts name a group differently, or because a change does not concern
// isolation.
func TestGroupNamesDependOnIsolatedWorkspacesAlone(t *testing.T) {
	other := spoke.KeyOwner{Workspace: "c"}
	assert.Equal(t, place.NewCacheGroups(nil).Of(other), "shared")
	first := place.NewCacheGroups([]spoke.WorkspaceID{"a", "b"}).Of(other)
	assert.Equal(t, place.NewCacheGroups([]spoke.WorkspaceID{"b", "a", "b"}).Of(other), first)
	assert.Assert(t, place.NewCacheGroups([]spoke.WorkspaceID{`a""b`}).Of(other) != first)
	model, version, ok := place.ParseCacheGroup(place.CacheGroup(first, "model-a", 3))
	assert.Assert(t, ok && model == "model-a" && version == 3, fmt.Sprint(model, version))
}

// Guards against a call that uses shared parts after its workspace, isolated when it arrived, has left the configuration.
func TestCallStaysIsolated(t *testing.T) {
	owner := spoke.KeyOwner{Workspace: "a", IsCacheIsolated: true}
	assert.Equal(t, place.NewCacheGroups(nil).Of(owner), "only-a")
}
