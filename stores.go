package spoke

import (
	"context"
	"time"
)

type (
	// PromptStore is a store of cached prompt parts for engines; it never evicts parts by itself.
	PromptStore struct {
		Name       ServiceName
		Address    Address
		DataCentre DataCentreID
		Capacity   TokenCount
		Link       ByteRate
		// Setup is the latency before the first byte of a transfer.
		Setup time.Duration
	}

	// StoredPart names a part at a store.
	StoredPart struct {
		// Group is the cache group for which the part was computed.
		Group string
		Part  PartID
	}

	// StoreEvent reports that a part was stored completely or was removed.
	StoreEvent struct {
		StoredPart
		Tokens   TokenCount
		IsStored bool
	}

	// EngineTime is a time on the clock that engines and stores share, in milliseconds.
	EngineTime int64

	// StoreEpoch identifies one start of a store.
	StoreEpoch uint64

	// StoreEvents are the changes of a store after an event number.
	StoreEvents struct {
		Epoch StoreEpoch
		// Next is the event number from which to continue.
		Next int64
		// HasGap reports whether events are missing, so that the store has to be listed.
		HasGap bool
		Events []StoreEvent
		// Clock is the time of the answer; zero if not reported.
		Clock EngineTime
	}

	// StoreControl watches prompt stores and frees their parts.
	StoreControl interface {
		// StoreEvents waits for changes after an event number.
		StoreEvents(ctx context.Context, at Address, since int64, wait time.Duration) (StoreEvents, error)
		// StoreContent returns all complete parts.
		StoreContent(ctx context.Context, at Address) (StoreEvents, error)
		// FreeParts frees parts unless the store has restarted since the epoch.
		FreeParts(ctx context.Context, at Address, epoch StoreEpoch, parts []StoredPart) error
	}

	// StoredKey identifies a part at a store in messages between hosts.
	StoredKey uint64

	// StoreState is the state of a store as published by the host that watches it.
	StoreState struct {
		Store  ServiceName
		Epoch  StoreEpoch
		IsDown bool
		Used   TokenCount
		Stored []StoredKey
		Freed  []StoredKey
		// Clock is the time at which the state was published; zero if unknown.
		Clock EngineTime
		// Oldest holds for each model the oldest weight version whose parts may be copied.
		Oldest []ServedWeights
	}
)
