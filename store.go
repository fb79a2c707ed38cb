package spoke

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

var (
	// ErrBlockMissing reports that a store host does not hold the block.
	ErrBlockMissing = eris.New("block not in store")
	// ErrBlockChanged reports that the store host holds another generation of the block.
	ErrBlockChanged = eris.New("block has another generation")
	// ErrStoreFull reports that a write was refused for lack of space.
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

	// StoreUsage is the space usage of the tiers of a store host.
	StoreUsage struct {
		MemoryUsed ByteSize
		MemorySize ByteSize
		DiskUsed   ByteSize
		DiskSize   ByteSize
		Blocks     int
		// LinkQueue is the size of the transfers that wait for the host's link.
		LinkQueue ByteSize
	}

	// BlockStore is a client of store hosts.
	BlockStore interface {
		// Meta returns the metadata of the block's committed content or ErrBlockMissing.
		Meta(ctx context.Context, at Address, key BlockKey) (BlockMeta, error)
		// Pin keeps a generation readable for the ttl; it fails with ErrBlockChanged or
		// ErrBlockMissing if the store host no longer holds the generation.
		Pin(ctx context.Context, at Address, key BlockKey, generation Generation, ttl time.Duration) error
	}

	// ImportQuery describes the choice between importing and recomputing missing blocks.
	ImportQuery struct {
		Blocks      int
		BlockLength ByteSize
		BlockTokens TokenCount
		// LinkRate is the measured rate of the store link; zero means unknown.
		LinkRate ByteRate
		// LinkQueue is the size of the transfers that wait for the link ahead of this import.
		LinkQueue ByteSize
		// PrefillRate is the measured prefill rate; zero means unknown.
		PrefillRate TokenRate
	}

	// ImportPolicy decides how many leading missing blocks to import.
	ImportPolicy interface {
		// Imports returns the number of blocks to import, between zero and the query's Blocks.
		Imports(query ImportQuery) int
	}

	// ExportQuery describes a block that an engine computed.
	ExportQuery struct {
		Key  BlockKey
		Rank RankName
		// Uses is the number of times that the prefix occurs in the retained history.
		Uses int
		// ReuseShare is the share of the workspace's earlier prefixes that were requested again.
		ReuseShare Share
		// LinkUtilisation is the share of the link's transfer slots that running and waiting transfers
		// take, at most 1.
		LinkUtilisation Share
	}

	// ExportPolicy decides whether a computed block is exported to a store host.
	ExportPolicy interface {
		// ShouldExport reports whether the block is worth the link time.
		ShouldExport(query ExportQuery) bool
	}
)
