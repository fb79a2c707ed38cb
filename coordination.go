package spoke

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// HostLive marks hosts that the platform lists as live.
	HostLive HostState = "live"
	// HostLeaving marks hosts that the platform lists as leaving.
	HostLeaving HostState = "leaving"
)

var (
	// ErrKeyMissing reports that the key-value service has no such key.
	ErrKeyMissing = eris.New("key not found")
	// ErrConflict reports a compare-and-swap whose expected revision did not match.
	ErrConflict = eris.New("revision conflict")
	// ErrUnavailable reports a failed call that definitely had no effect.
	ErrUnavailable = eris.New("key-value service unavailable")
	// ErrAnswerLost reports a failed call that may have taken effect.
	ErrAnswerLost = eris.New("answer of the key-value service lost")
	// ErrLeaseHeld reports that another holder has the lease.
	ErrLeaseHeld = eris.New("lease held by another holder")
	// ErrLeaseLost reports that a lease to renew is no longer held.
	ErrLeaseLost = eris.New("lease lost")
)

type (
	// HostState is the state of a host in the platform's list.
	HostState string

	// KeyValuePair is a key with its value and revision.
	KeyValuePair struct {
		Key      string
		Value    []byte
		Revision Revision
	}

	// KeyValue is the platform's key-value service.
	KeyValue interface {
		// Get returns a key's value or ErrKeyMissing.
		Get(ctx context.Context, key string) (KeyValuePair, error)
		// List returns all keys with a prefix, sorted.
		List(ctx context.Context, prefix string) ([]KeyValuePair, error)
		// CompareAndSwap writes a value if the key has the expected revision (zero: absent);
		// a ttl of zero means no expiry; errors are ErrConflict, ErrUnavailable or ErrAnswerLost.
		CompareAndSwap(ctx context.Context, key string, value []byte, expected Revision, ttl time.Duration) (Revision, error)
		// Watch waits for changes after a revision and returns them with the latest revision.
		Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]KeyValuePair, Revision, error)
	}

	// Lease is a time-limited exclusive right.
	Lease struct {
		Name   LeaseName
		Holder HostID
		Fence  FencingToken
		// Expires is on the holder's monotonic clock; the time to live counts from before the
		// request was sent, so that the holder never assumes the lease for too long.
		Expires time.Time
	}

	// Leases grants leases of the key-value service.
	Leases interface {
		// Acquire takes a free or expired lease or fails with ErrLeaseHeld.
		Acquire(ctx context.Context, name LeaseName, holder HostID, ttl time.Duration) (Lease, error)
		// Renew extends a held lease or fails with ErrLeaseLost.
		Renew(ctx context.Context, lease Lease, ttl time.Duration) (Lease, error)
		// Release ends a held lease.
		Release(ctx context.Context, lease Lease) error
	}

	// ListedHost is an entry of the platform's list of hosts.
	ListedHost struct {
		Name    string
		Address Address
		State   HostState
	}

	// HostList is the platform's list of live and leaving hosts, which lags behind their state.
	HostList interface {
		// Hosts returns the platform's current list.
		Hosts(ctx context.Context) ([]ListedHost, error)
	}
)
