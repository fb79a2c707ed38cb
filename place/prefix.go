package place

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"magnoliaspoke.example/spoke"
)

const (
	// mostPrefixes bounds the entries of one engine whatever their size.
	mostPrefixes = 4096
	// ownShare is the part of a run's memory that no other run can use: the end of its prompt
	// and its output.
	ownShare = 0.27

	// modelMark and versionMark stand before the model and the weight version in a cache group.
	modelMark   = "|"
	versionMark = "@"
)

// memory estimates which prompt prefixes an engine has cached; the engine's own choice is
// to drop the least recently used parts.
type memory struct {
	capacity spoke.TokenCount
	used     spoke.TokenCount
	parts    *simplelru.LRU[spoke.PrefixKey, spoke.TokenCount]
}

// CacheGroup returns the text under which an engine caches the parts of a workspace.
func CacheGroup(owner spoke.KeyOwner, model spoke.ModelName, version spoke.WeightVersion) string {
	return weightsGroup(OwnerGroup(owner), model, version)
}

// OwnerGroup returns the part of the cache group that does not depend on weights.
func OwnerGroup(owner spoke.KeyOwner) string {
	if owner.IsCacheIsolated {
		return "only-" + string(owner.Workspace)
	}
	return "shared"
}

// GroupWeights returns the model and the weight version of a cache group.
func GroupWeights(group string) (spoke.ModelName, spoke.WeightVersion, bool) {
	rest, text, hasVersion := cutLast(group, versionMark)
	_, model, hasModel := cutLast(rest, modelMark)
	version, err := strconv.ParseInt(text, 10, 64)
	return spoke.ModelName(model), spoke.WeightVersion(version), hasVersion && hasModel && err == nil
}

func weightsGroup(group string, model spoke.ModelName, version spoke.WeightVersion) string {
	return group + modelMark + string(model) + versionMark + strconv.FormatInt(int64(version), 10)
}

func groupOf(m Request, version spoke.WeightVersion) string {
	return weightsGroup(m.Group, m.Prompt.Model, version)
}

func cutLast(text, separator string) (before, after string, found bool) {
	position := strings.LastIndex(text, separator)
	if position < 0 {
		return text, "", false
	}
	return text[:position], text[position+len(separator):], true
}

// prefixesOf returns the prefixes of a prompt, the shortest first.
func prefixesOf(group string, prompt *spoke.PromptMetadata) []spoke.PromptPrefix {
	if prompt == nil {
		return nil
	}
	digest := xxhash.New()
	// Writing to a digest does not fail.
	_, _ = digest.WriteString(group)
	prefixes := make([]spoke.PromptPrefix, 0, len(prompt.Parts))
	var total spoke.TokenCount
	for _, part := range prompt.Parts {
		_, _ = digest.WriteString("\n" + string(part.ID))
		total += part.Tokens
		prefixes = append(prefixes, spoke.PromptPrefix{Key: spoke.PrefixKey(digest.Sum64()), Part: part.Tokens, Total: total})
	}
	return prefixes
}

func newMemory(capacity spoke.TokenCount) *memory {
	m := &memory{capacity: capacity}
	parts, err := simplelru.NewLRU[spoke.PrefixKey, spoke.TokenCount](mostPrefixes, m.evicted)
	if err != nil {
		panic(err) // Only a size below one fails.
	}
	m.parts = parts
	return m
}

func (m *memory) evicted(_ spoke.PrefixKey, tokens spoke.TokenCount) { m.used -= tokens }

// cached returns how much of the prompt the engine is expected to hold.
func (m *memory) cached(prefixes []spoke.PromptPrefix) spoke.TokenCount {
	var held spoke.TokenCount
	for _, prefix := range prefixes {
		if !m.parts.Contains(prefix.Key) {
			break
		}
		held = prefix.Total
	}
	return held
}

// add notes that the engine reads the prompt while its runs take the given tokens.
func (m *memory) add(prefixes []spoke.PromptPrefix, running spoke.TokenCount) {
	for _, prefix := range prefixes {
		if _, held := m.parts.Get(prefix.Key); !held {
			m.used += prefix.Part
			m.parts.Add(prefix.Key, prefix.Part)
		}
	}
	room := m.capacity - spoke.TokenCount(ownShare*float64(running))
	for m.used > max(room, 0) && m.parts.Len() > 0 {
		m.parts.RemoveOldest()
	}
}

func (m *memory) clear() { m.parts.Purge() }
