package cache

import (
	"encoding/binary"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"magnoliaspoke.example/spoke"
)

const (
	// historySize bounds the number of prefixes kept; 65,536 entries take about 7 MB.
	historySize = 1 << 16
	// reuseWeight is the weight of one block in the moving average of the reuse share, which thus
	// follows the last few hundred blocks.
	reuseWeight = 0.005
	// initialReuseShare is assumed for a workspace without history; it is high because the system
	// is built to serve prompts that repeat earlier prefixes.
	initialReuseShare spoke.Share = 0.5
)

// History counts the requests of each prefix and averages the share of each workspace's prefixes
// that were requested before; it is not safe for concurrent use.
type History struct {
	uses        *simplelru.LRU[uint64, int]
	reuseShares map[spoke.WorkspaceID]spoke.Share
}

// NewHistory returns an empty history.
func NewHistory() *History {
	// NewLRU only fails on a capacity below one.
	uses, _ := simplelru.NewLRU[uint64, int](historySize, nil)
	return &History{uses: uses, reuseShares: make(map[spoke.WorkspaceID]spoke.Share)}
}

// Record counts a request of the workspace that contains the prefixes.
func (h *History) Record(workspace spoke.WorkspaceID, keys []spoke.BlockKey) {
	for _, key := range keys {
		before, _ := h.uses.Get(shorten(key))
		h.uses.Add(shorten(key), before+1)
		share := h.ReuseShare(workspace)
		if before > 0 {
			share += reuseWeight * (1 - share)
		} else {
			share -= reuseWeight * share
		}
		h.reuseShares[workspace] = share
	}
}

// Uses returns how often the prefix was recorded within the history kept.
func (h *History) Uses(key spoke.BlockKey) int {
	uses, _ := h.uses.Peek(shorten(key))
	return uses
}

// ReuseShare returns the moving average of the share of the workspace's prefixes that were
// recorded before.
func (h *History) ReuseShare(workspace spoke.WorkspaceID) spoke.Share {
	if share, ok := h.reuseShares[workspace]; ok {
		return share
	}
	return initialReuseShare
}

// shorten returns the first 8 bytes of the key; a collision only makes an export more likely.
func shorten(key spoke.BlockKey) uint64 { return binary.BigEndian.Uint64(key[:8]) }
