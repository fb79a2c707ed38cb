package spoke

import (
	"context"
	"time"
)

type (
	// PromptStore keeps cached prompt parts for engines; it drops nothing by itself.
	PromptStore struct {
		Name       ServiceName
		Address    Address
		DataCentre DataCentreID
		Capacity   TokenCount
		Link       ByteRate
		// Setup is the time before a transfer starts.
		Setup time.Duration
	}

	// StoredPart names a part at a store.
	StoredPart struct {
		// Group is the cache group under which the part was made.
		Group string
		Part  PartID
	}

	// StoreEvent reports that a part is complete at a store, or that it is gone.
	StoreEvent struct {
		StoredPart
		Tokens   TokenCount
		IsStored bool
	}

	// EngineTime is a time on the clock that engines and stores share, in milliseconds.
	EngineTime int64

	// StoreEpoch tells the starts of a store apart.
	StoreEpoch uint64

	// StoreEvents are the changes of a store since a number.
	StoreEvents struct {
		Epoch StoreEpoch
		// Next is the number from which to go on.
		Next int64
		// HasGap says that events are missing, so that the store has to be listed.
		HasGap bool
		Events []StoreEvent
		// Clock is the time of the answer, zero if it does not say.
		Clock EngineTime
	}

	// StoreControl follows prompt stores and frees their parts.
	StoreControl interface {
		// StoreEvents waits for changes after a number.
		StoreEvents(ctx context.Context, at Address, since int64, wait time.Duration) (StoreEvents, error)
		// StoreContent returns all complete parts.
		StoreContent(ctx context.Context, at Address) (StoreEvents, error)
		// FreeParts frees parts if the store has not been started again.
		FreeParts(ctx context.Context, at Address, epoch StoreEpoch, parts []StoredPart) error
	}

	// StoredKey identifies a part at a store in messages between hosts.
	StoredKey uint64

	// StoreState is what the host that follows a store tells the others.
	StoreState struct {
		Store  ServiceName
		Epoch  StoreEpoch
		IsDown bool
		Used   TokenCount
		Stored []StoredKey
		Freed  []StoredKey
		// Clock is the time at which the state was told, zero if it is not known.
		Clock EngineTime
		// Oldest holds the oldest weights of each model whose parts may be copied.
		Oldest []ListedWeights
	}
)
