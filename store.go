package spoke

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

var (
	// ErrBlockMissing marks a block that a store host does not hold.
	ErrBlockMissing = eris.New("block not in store")
	// ErrBlockChanged marks a block whose generation is another one.
	ErrBlockChanged = eris.New("block has another generation")
	// ErrStoreFull marks a write refused for lack of space.
	ErrStoreFull = eris.New("store host is full")
)

type (
	// BlockMeta describes the committed content of a block on a store host.
	BlockMeta struct {
		Key        BlockKey
		Generation Generation
		Checksum   Checksum
		Length     ByteSize
	}

	// StoreUsage tells how full the tiers of a store host are.
	StoreUsage struct {
		MemoryUsed ByteSize
		MemorySize ByteSize
		DiskUsed   ByteSize
		DiskSize   ByteSize
		Blocks     int
		// LinkQueue is what waits for the host's link.
		LinkQueue ByteSize
	}

	// BlockStore talks to store hosts.
	BlockStore interface {
		// Meta returns the committed content's description or ErrBlockMissing.
		Meta(ctx context.Context, at Address, key BlockKey) (BlockMeta, error)
		// Pin keeps a generation readable for a time; ErrBlockChanged or ErrBlockMissing if it is gone.
		Pin(ctx context.Context, at Address, key BlockKey, generation Generation, ttl time.Duration) error
	}

	// ImportQuery describes the choice between importing and recomputing missing blocks.
	ImportQuery struct {
		Blocks      int
		BlockLength ByteSize
		BlockTokens TokenCount
		// LinkRate is the measured rate of the store link; zero means unknown.
		LinkRate ByteRate
		// LinkQueue is what already waits for the link ahead of this import.
		LinkQueue ByteSize
		// PrefillRate is the measured prefill rate; zero means unknown.
		PrefillRate TokenRate
	}

	// ImportPolicy decides how many leading missing blocks to import.
	ImportPolicy interface {
		// Imports returns a number between zero and the query's Blocks.
		Imports(query ImportQuery) int
	}

	// ExportQuery describes a block that an engine computed.
	ExportQuery struct {
		Key  BlockKey
		Rank RankName
		// Uses counts how often the prefix was seen within the history kept.
		Uses int
		// Returns is the share of the workspace's earlier prefixes that came back.
		ReuseRate Share
		// LinkBusy is the share of the link's budget in use.
		LinkUtilisation Share
	}

	// ExportPolicy decides whether a computed block goes to a store host.
	ExportPolicy interface {
		// ShouldExport reports whether the block is worth the link time.
		ShouldExport(query ExportQuery) bool
	}
)
