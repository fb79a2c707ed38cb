package place

import (
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"magnoliaspoke.example/spoke"
)

const (
	// maxPrefixes bounds the number of entries of one engine, regardless of their size.
	maxPrefixes = 4096
	// unsharedMemoryShare is the fraction of a call's memory that no other call can share: the end of its
	// prompt and its output.
	unsharedMemoryShare = 0.27
)

// prefixCache estimates which prompt prefixes an engine has cached. Like the engine, it evicts the least
// recently used parts.
type prefixCache struct {
	capacity spoke.TokenCount
	used     spoke.TokenCount
	parts    *simplelru.LRU[spoke.PrefixKey, spoke.TokenCount]
}

func groupOf(m Request, version spoke.WeightVersion) string {
	return CacheGroup(m.Group, m.Prompt.Model, version)
}

// prefixesOf returns the prefixes of a prompt, the shortest first.
func prefixesOf(group string, prompt *spoke.PromptMetadata) []spoke.PromptPrefix {
	if prompt == nil {
		return nil
	}
	digest := xxhash.New()
	// Writes to a digest never fail.
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

func newPrefixCache(capacity spoke.TokenCount) *prefixCache {
	c := &prefixCache{capacity: capacity}
	parts, err := simplelru.NewLRU[spoke.PrefixKey, spoke.TokenCount](maxPrefixes, c.evicted)
	if err != nil {
		panic(err) // Only a size below one fails.
	}
	c.parts = parts
	return c
}

func (c *prefixCache) evicted(_ spoke.PrefixKey, tokens spoke.TokenCount) { c.used -= tokens }

// cached returns the number of prompt tokens that the engine is expected to hold.
func (c *prefixCache) cached(prefixes []spoke.PromptPrefix) spoke.TokenCount {
	var held spoke.TokenCount
	for _, prefix := range prefixes {
		if !c.parts.Contains(prefix.Key) {
			break
		}
		held = prefix.Total
	}
	return held
}

// add records that the engine caches the prompt, and evicts parts that do not fit in addition to the memory
// of its running calls, given in tokens.
func (c *prefixCache) add(prefixes []spoke.PromptPrefix, running spoke.TokenCount) {
	for _, prefix := range prefixes {
		if _, held := c.parts.Get(prefix.Key); !held {
			c.used += prefix.Part
			c.parts.Add(prefix.Key, prefix.Part)
		}
	}
	room := c.capacity - spoke.TokenCount(unsharedMemoryShare*float64(running))
	for c.used > max(room, 0) && c.parts.Len() > 0 {
		c.parts.RemoveOldest()
	}
}

func (c *prefixCache) clear() { c.parts.Purge() }
