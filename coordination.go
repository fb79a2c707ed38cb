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
	// ErrKeyMissing marks a key that the key-value service does not hold.
	ErrKeyMissing = eris.New("key not found")
	// ErrConflict marks a compare-and-swap whose expected revision did not match.
	ErrConflict = eris.New("revision conflict")
	// ErrUnavailable marks a call that certainly had no effect.
	ErrUnavailable = eris.New("key-value service unavailable")
	// ErrAnswerLost marks a call that may have had its effect.
	ErrAnswerLost = eris.New("answer of the key-value service lost")
	// ErrLeaseHeld marks a lease that another holder has.
	ErrLeaseHeld = eris.New("lease held by another holder")
	// ErrLeaseLost marks a renewal of a lease that is no longer held.
	ErrLeaseLost = eris.New("lease lost")
)

type (
	// HostState is what the platform's list says of a host.
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
		// Watch waits for changes after a revision and returns them with the latest revision seen.
		Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]KeyValuePair, Revision, error)
	}

	// Lease is a time-limited exclusive right.
	Lease struct {
		Name   LeaseName
		Holder HostID
		Fence  FencingToken
		// Expires is on the holder's monotonic clock, counted from before the request was sent.
		Expires time.Time
	}

	// Leases grants leases of the key-value service.
	Leases interface {
		// Acquire takes a free or lapsed lease or fails with ErrLeaseHeld.
		Acquire(ctx context.Context, name LeaseName, holder HostID, ttl time.Duration) (Lease, error)
		// Renew extends a held lease or fails with ErrLeaseLost.
		Renew(ctx context.Context, lease Lease, ttl time.Duration) (Lease, error)
		// Release gives a lease up.
		Release(ctx context.Context, lease Lease) error
	}

	// ListedHost is an entry of the platform's list of hosts.
	ListedHost struct {
		Name    string
		Address Address
		State   HostState
	}

	// HostList is the platform's lagging list of live and leaving hosts.
	HostList interface {
		// Hosts returns the list as the platform has it.
		Hosts(ctx context.Context) ([]ListedHost, error)
	}
)
