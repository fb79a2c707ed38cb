package place

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/home"
)

const (
	// sharedGroup is the group of all workspaces while none is isolated, and begins the names of the others that
	// workspaces share.
	sharedGroup = "shared"
	// isolatedGroupPrefix begins the names of groups with one workspace.
	isolatedGroupPrefix = "only-"
	// groupDigestSize is the size of the digest in the name of a shared group, in bytes.
	groupDigestSize = 12

	// homesSeparator follows the homes in a cache group. Groups without homes begin with none of their names.
	homesSeparator = "/"

	// modelSeparator and versionSeparator precede the model and the weight version in a cache group.
	modelSeparator   = "|"
	versionSeparator = "@"
)

// CacheGroups gives the names under which the workspaces of one configuration cache prompt parts. The name that
// workspaces share depends on which ones are isolated: under a name there are only parts of workspaces that were not
// isolated then, and a workspace that becomes isolated leaves its parts under a name that is no longer used while it is.
type CacheGroups struct {
	shared   string
	isolated map[spoke.WorkspaceID]bool
}

// NewCacheGroups returns the groups of a configuration with the given isolated workspaces, in any order.
func NewCacheGroups(isolated []spoke.WorkspaceID) *CacheGroups {
	groups := &CacheGroups{shared: sharedGroup, isolated: make(map[spoke.WorkspaceID]bool, len(isolated))}
	digest := sha256.New()
	sorted := slices.Compact(slices.Sorted(slices.Values(isolated)))
	for _, workspace := range sorted {
		groups.isolated[workspace] = true
		// Writes to a digest never fail.
		_, _ = digest.Write([]byte(strconv.Quote(string(workspace))))
	}
	if len(sorted) > 0 {
		groups.shared += "-" + hex.EncodeToString(digest.Sum(nil)[:groupDigestSize])
	}
	return groups
}

// Of returns the part of the cache group of a workspace that does not depend on weights. A workspace that was isolated
// when its call arrived stays so for the call.
func (g *CacheGroups) Of(owner spoke.KeyOwner) string {
	if owner.IsCacheIsolated || g.isolated[owner.Workspace] {
		return isolatedGroupPrefix + string(owner.Workspace)
	}
	return g.shared
}

// HomeGroup returns the part of the cache group of calls with homes, which calls without them or with others do not share.
// All copies of their parts stay in the homes, since each engine that has or gets one is there.
func HomeGroup(group string, homes home.Set) string {
	if !homes.IsRestricted() {
		return group
	}
	return homes.Label() + homesSeparator + group
}

// CacheGroup returns the cache group under which an engine caches the prompt parts of a group for one weight version.
func CacheGroup(group string, model spoke.ModelName, version spoke.WeightVersion) string {
	return group + modelSeparator + string(model) + versionSeparator + strconv.FormatInt(int64(version), 10)
}

// ParseCacheGroup returns the model and the weight version of a cache group, and false if the text is not
// one.
func ParseCacheGroup(group string) (spoke.ModelName, spoke.WeightVersion, bool) {
	rest, text, hasVersion := cutLast(group, versionSeparator)
	_, model, hasModel := cutLast(rest, modelSeparator)
	version, err := strconv.ParseInt(text, 10, 64)
	return spoke.ModelName(model), spoke.WeightVersion(version), hasVersion && hasModel && err == nil
}

func cutLast(text, separator string) (before, after string, found bool) {
	position := strings.LastIndex(text, separator)
	if position < 0 {
		return text, "", false
	}
	return text[:position], text[position+len(separator):], true
}
