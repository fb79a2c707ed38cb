package spoke

import (
	"context"
	"time"
)

const (
	// AdminBadRequest refuses malformed input.
	AdminBadRequest AdminCode = "bad-request"
	// AdminTooLarge refuses a body above its limit.
	AdminTooLarge AdminCode = "too-large"
	// AdminUnauthorized refuses missing or unknown administration credentials.
	AdminUnauthorized AdminCode = "unauthorized"
	// AdminNotFound refuses an unknown path, ticket or request.
	AdminNotFound AdminCode = "not-found"
	// AdminInvalidTicket refuses a ticket with findings; nothing of it is applied.
	AdminInvalidTicket AdminCode = "invalid-ticket"
	// AdminStaleNumber refuses a ticket whose number is not above the highest accepted one.
	AdminStaleNumber AdminCode = "stale-number"
	// AdminConflict refuses a ticket whose number is taken by another ticket.
	AdminConflict AdminCode = "conflict"
	// AdminNotReady reports that no configuration is in force yet.
	AdminNotReady AdminCode = "not-ready"
	// AdminUnavailable reports that the platform did not answer and nothing was changed.
	AdminUnavailable AdminCode = "unavailable"
	// AdminUnknownOutcome reports that a change may have taken effect; the same ticket can
	// be submitted again safely.
	AdminUnknownOutcome AdminCode = "outcome-unknown"
	// AdminInternal reports a fault of the host.
	AdminInternal AdminCode = "internal"
)

type (
	// AdminCode names the reason why an administration call failed.
	AdminCode string

	// AdminError is the failure of an administration call.
	AdminError struct {
		Code    AdminCode
		Message string
		// Winner is the author of the ticket that holds the number, for AdminConflict.
		Winner string
		// Cause is the error behind the failure, such as a report of findings; it may be nil.
		Cause error
	}

	// HostStatus is the state that an entry host reports of itself.
	HostStatus struct {
		ID         HostID
		Region     RegionID
		DataCentre DataCentreID
		// Ready reports whether a configuration is in force and the host accepts requests.
		Ready    bool
		Draining bool
		// Number is the number of the ticket in force; zero means none.
		Number      TicketNumber
		Incarnation Incarnation
		Started     time.Time
		// Requests is the number of requests in progress.
		Requests int
	}

	// CacheStatus describes the owner's index of an engine's prefix cache.
	CacheStatus struct {
		Upstream UpstreamID
		// Indexed is false while the index is invalid because of a gap in the cache events.
		Indexed bool
		Blocks  int
		Used    ByteSize
		Size    ByteSize
	}

	// StoreStatus is the state of a store host as observed by an entry host.
	StoreStatus struct {
		Store     StoreHostID
		Service   ServiceName
		Reachable bool
		// LinkRate is the measured rate of the link to the store host; zero means unknown.
		LinkRate ByteRate
		// LinkQueue is the size of the transfers that wait for the link.
		LinkQueue ByteSize
	}

	// Status is the state of an entry host and of the peers, upstreams and stores it observes.
	Status struct {
		Host      HostStatus
		Peers     []Peer
		Upstreams []UpstreamView
		Caches    []CacheStatus
		Stores    []StoreStatus
	}

	// EventPage holds the events of one host that match a filter.
	EventPage struct {
		Host HostID
		// Overwritten counts the events that the host has discarded.
		Overwritten uint64
		Events      []Event
	}

	// RequestReport is the state and history of a request on one host.
	RequestReport struct {
		Request RequestID
		Host    HostID
		// State is the request's state on this host; empty if the host is not running it.
		State  string
		Events []Event
	}

	// Administration is the interface behind the administration API; errors are
	// *AdminError, a *check.Report, ErrUnavailable or ErrAnswerLost, or wrap one of them.
	Administration interface {
		// Submit validates and accepts a ticket; an accepted ticket can safely be submitted again.
		Submit(ctx context.Context, ticket Ticket) error
		// Ticket returns an accepted ticket.
		Ticket(ctx context.Context, number TicketNumber) (Ticket, error)
		// Manifest returns the configuration in force on this host, nil if there is none.
		Manifest(ctx context.Context) (*Manifest, error)
		// Status returns the state of this host and of what it observes.
		Status(ctx context.Context) (Status, error)
		// Drain starts the graceful shutdown of this host and returns without waiting for it.
		Drain(ctx context.Context) error
		// Events returns the retained events of this host that match the filter.
		Events(ctx context.Context, filter EventFilter) (EventPage, error)
		// Explain returns this host's report on a request; the report has no events if the
		// host has no record of the request.
		Explain(ctx context.Context, id RequestID) (RequestReport, error)
	}

	// TicketCodec encodes and decodes tickets and manifests as JSON.
	TicketCodec interface {
		// EncodeTicket returns the ticket as JSON.
		EncodeTicket(ticket Ticket) ([]byte, error)
		// DecodeTicket decodes a ticket; the error is a *check.Report that lists all findings.
		DecodeTicket(text []byte) (Ticket, error)
		// EncodeManifest returns the manifest with all its values as JSON.
		EncodeManifest(manifest *Manifest) ([]byte, error)
	}
)

// Error returns the code and the message.
func (e *AdminError) Error() string { return string(e.Code) + ": " + e.Message }

// Unwrap returns the cause.
func (e *AdminError) Unwrap() error { return e.Cause }
