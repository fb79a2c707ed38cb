package spoke

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// ErrHistoryGone marks a watch that cannot continue, so that the directory has to be read again.
var ErrHistoryGone = eris.New("history of the directory is gone")

type (
	// ListedUpstream is an upstream as it describes itself in the directory.
	ListedUpstream struct {
		ID         UpstreamID
		Service    ServiceName
		Address    Address
		DataCentre DataCentreID
		Slots      int
		IsLeaving  bool
		// ColdFor is how much longer the upstream is slow after its start.
		WarmUpRemaining time.Duration
		// Started is the start of the upstream on its own clock; another value is another upstream.
		Started time.Time
		// Weights holds the weight version of each model that the upstream serves.
		Weights map[ModelName]WeightVersion
	}

	// WantedWeights names the weights that all engines of a model should serve.
	WantedWeights struct {
		Model   ModelName
		Version WeightVersion
	}

	// ListedPeer is an entry host as it announces itself in the directory.
	ListedPeer struct {
		ID         HostID
		DataCentre DataCentreID
		Address    Address
	}

	// RecordFault is an entry of the directory that cannot be read.
	InvalidRecord struct {
		Key string
		Err error
	}

	// DirectoryChange is the content of the directory, or what changed since a revision.
	DirectoryChange struct {
		// IsWhole says that entries which are not named do not exist.
		IsSnapshot bool
		// Missed is how long before it was seen the change may have been made; zero means at once.
		MaxAge time.Duration
		// KeepsUpstreams says that upstreams which are not named may come back after an outage.
		KeepsUnlistedUpstreams bool
		// Table is nil if it did not change.
		Table     *RoutingTable
		Weights   []WantedWeights
		Upstreams []ListedUpstream
		// GoneUpstreams lists upstreams whose entries were removed or name no upstream any more.
		RemovedUpstreams []UpstreamID
		Peers            []ListedPeer
		RemovedPeers     []HostID
		// OrdersHolder is nil if it did not change and names no host if the lease is free.
		OrdersHolder   *HostID
		InvalidRecords []InvalidRecord
		Revision       Revision
		// Raw is what Watch got from the platform, which Decode reads at another host.
		Raw []byte
	}

	// Directory is what the platform publishes and what entry hosts announce there.
	Directory interface {
		// Read returns the whole directory.
		Read(ctx context.Context) (DirectoryChange, error)
		// Watch waits for changes after a revision; an empty change means that there was none,
		// ErrHistoryGone that the directory has to be read again.
		Watch(ctx context.Context, after Revision, wait time.Duration) (DirectoryChange, error)
		// Decode reads what Watch got at another host.
		Decode(raw []byte) (DirectoryChange, error)
		// Announce lists this host until its announcement expires, unless it is called again.
		Announce(ctx context.Context, peer ListedPeer) error
		// Withdraw removes the announcement.
		Withdraw(ctx context.Context) error
	}
)
