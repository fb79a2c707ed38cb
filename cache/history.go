package cache

import (
	"encoding/binary"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"magnoliaspoke.example/spoke"
)

const (
	// historySize bounds the remembered prefixes; 65,536 entries take about 7 MB.
	historySize = 1 << 16
	// returnWeight makes the share of returns follow the last few hundred blocks.
	returnWeight = 0.005
	// firstReturns is the assumed share for a workspace without history: serving returning
	// prompts is what the system is for.
	firstReturns spoke.Share = 0.5
)

// History counts how often prefixes were seen and which share of a workspace's prefixes
// returns; it is not safe for concurrent use.
type History struct {
	uses    *simplelru.LRU[uint64, int]
	returns map[spoke.WorkspaceID]spoke.Share
}

// NewHistory returns an empty history.
func NewHistory() *History {
	// The only error is a capacity below one.
	uses, _ := simplelru.NewLRU[uint64, int](historySize, nil)
	return &History{uses: uses, returns: make(map[spoke.WorkspaceID]spoke.Share)}
}

// Record notes that a request of the workspace used the prefixes.
func (h *History) Record(workspace spoke.WorkspaceID, keys []spoke.BlockKey) {
	for _, key := range keys {
		before, _ := h.uses.Get(shorten(key))
		h.uses.Add(shorten(key), before+1)
		share := h.Returns(workspace)
		if before > 0 {
			share += returnWeight * (1 - share)
		} else {
			share -= returnWeight * share
		}
		h.returns[workspace] = share
	}
}

// Uses returns how often the prefix was seen within the history kept.
func (h *History) Uses(key spoke.BlockKey) int {
	uses, _ := h.uses.Peek(shorten(key))
	return uses
}

// Returns returns the share of the workspace's prefixes that were seen before.
func (h *History) Returns(workspace spoke.WorkspaceID) spoke.Share {
	if share, ok := h.returns[workspace]; ok {
		return share
	}
	return firstReturns
}

// shorten takes the head of the key: a collision only makes an export more likely.
func shorten(key spoke.BlockKey) uint64 { return binary.BigEndian.Uint64(key[:8]) }
