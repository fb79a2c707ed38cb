package spoke

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

var (
	// ErrHistoryGone reports that a watch cannot continue because the changes after its revision are no
	// longer available, so that the directory has to be read again.
	ErrHistoryGone = eris.New("changes after the watched revision are no longer available")

	// ErrWatchCut reports that the connection of a waiting watch has ended, which does not show that the directory
	// cannot be reached.
	ErrWatchCut = eris.New("connection of the watch ended before its response")
)

type (
	// ListedUpstream is the directory entry of an upstream.
	ListedUpstream struct {
		ID         UpstreamID
		Service    ServiceName
		Address    Address
		DataCentre DataCentreID
		Software   SoftwareVersion
		Slots      int
		IsLeaving  bool
		// WarmUpRemaining is the time until the upstream reaches its usual speed after a start.
		WarmUpRemaining time.Duration
		// Started is the start time on the upstream's own clock; a different value identifies a
		// different upstream.
		Started time.Time
		// Sequence orders the entries of one start of the upstream.
		Sequence int64
		// Weights holds the weight version of each model that the upstream serves.
		Weights map[ModelName]WeightVersion
	}

	// WantedWeights is the weight version that all engines of a model should serve.
	WantedWeights struct {
		Model   ModelName
		Version WeightVersion
	}

	// ListedPeer is the directory entry by which an entry host announces itself.
	ListedPeer struct {
		ID         HostID
		DataCentre DataCentreID
		Address    Address
	}

	// InvalidRecord is a directory entry that cannot be decoded.
	InvalidRecord struct {
		Key string
		Err error
	}

	// DirectoryChange is a snapshot of the directory or the changes since a revision.
	DirectoryChange struct {
		// IsSnapshot reports whether the change lists all entries, so that others do not exist.
		IsSnapshot bool
		// MaxAge bounds the time between the change and its receipt at ReceivedAt, on the clock that also advances
		// while the machine is suspended.
		MaxAge     time.Duration
		ReceivedAt time.Time
		// KeepsUnlisted reports whether unlisted upstreams and hosts are kept even in a snapshot,
		// because they may reappear after an outage.
		KeepsUnlisted bool
		// Table is nil if it did not change.
		Table     *RoutingTable
		Weights   []WantedWeights
		Upstreams []ListedUpstream
		// RemovedUpstreams lists upstreams whose entries were removed or no longer describe an upstream.
		RemovedUpstreams []UpstreamID
		Peers            []ListedPeer
		RemovedPeers     []HostID
		// RecordedSoftware lists the versions that hosts have recorded with their announcements, empty if none has.
		RecordedSoftware []ListedSoftware
		// Evacuated lists the data centres to which nothing more may be sent, all of them in a snapshot, EndedEvacuations those
		// whose evacuation has been removed.
		Evacuated        []DataCentreID
		EndedEvacuations []DataCentreID
		// OrdersHolder is the host that may send orders to engines, empty if its lease has ended.
		// It is nil if it did not change and, in a snapshot, if no host holds the lease.
		OrdersHolder   *HostID
		InvalidRecords []InvalidRecord
		Revision       Revision
		// Raw encodes the change of Watch for other hosts, which can decode it with Decode.
		Raw []byte
		// References are the large values of a decoded change that Raw does not hold, Contents those that a
		// change from the platform holds.
		References []ContentReference
		Contents   []DirectoryContent
		// TableContent identifies the content of Table.
		TableContent ContentReference
	}

	// TableReference identifies a version of the routing table.
	TableReference struct {
		Version TableVersion
		Content ContentReference
	}

	// ContentID identifies a large value by its content, whatever entry has it.
	ContentID string

	// ContentReference is the directory entry of a large value without that value.
	ContentReference struct {
		Key string
		ID  ContentID
	}

	// DirectoryContent is a large value of a directory entry.
	DirectoryContent struct {
		ContentReference
		Value []byte
	}

	// Directory is the platform's directory of upstreams, entry hosts and configuration.
	Directory interface {
		// Read returns the whole directory.
		Read(ctx context.Context) (DirectoryChange, error)
		// Watch waits for changes after a revision; it returns an empty change if there was none,
		// ErrHistoryGone if the directory has to be read again, and ErrWatchCut if the connection ended.
		// Once end is closed it waits no longer and returns an error, unless the answer has begun.
		Watch(ctx context.Context, after Revision, wait time.Duration, end <-chan struct{}) (DirectoryChange, error)
		// Decode decodes the Raw field of a change that another host received from Watch.
		Decode(raw []byte) (DirectoryChange, error)
		// DecodeContent decodes a large value that another host received; it fails if the value is not
		// the one that its identifier names.
		DecodeContent(content DirectoryContent) (DirectoryChange, error)
		// Announce adds this host to the directory until the announcement expires; calling it
		// again extends the announcement.
		Announce(ctx context.Context, peer ListedPeer) error
		// RecordSoftware keeps the software versions of services with this host's announcement, for hosts that start while
		// it lasts; it writes nothing if they are the ones that are kept, or if there is no announcement.
		RecordSoftware(ctx context.Context, versions []ListedSoftware) error
		// Withdraw removes this host's announcement.
		Withdraw(ctx context.Context) error
	}
)
