package spoke

import "time"

type (
	// EventKind names what happened, in kebab case.
	EventKind string

	// HybridTime is a reading of a hybrid logical clock; causes sort before effects.
	HybridTime struct {
		// Wall is in nanoseconds since the Unix epoch.
		Wall    int64
		Logical uint32
	}

	// Event is one entry of the event log; ids that do not apply are empty.
	Event struct {
		At       HybridTime
		Host     HostID
		Kind     EventKind
		Request  RequestID
		Attempt  AttemptID
		Upstream UpstreamID
		Ticket   TicketNumber
		Detail   string
		// Duration is zero for events that take no time.
		Duration time.Duration
	}

	// EventFilter selects events; fields with their zero value select all.
	EventFilter struct {
		Request  RequestID
		Upstream UpstreamID
		Ticket   TicketNumber
		// Since and Until bound the wall time; Until is exclusive.
		Since time.Time
		Until time.Time
	}

	// EventSink records events in the event log; Record never blocks.
	EventSink interface {
		// Record sets the event's time and host and stores it.
		Record(event Event)
	}
)

// Before reports whether t sorts before other.
func (t HybridTime) Before(other HybridTime) bool {
	if t.Wall != other.Wall {
		return t.Wall < other.Wall
	}
	return t.Logical < other.Logical
}

// Matches reports whether the event meets all conditions of the filter.
func (f EventFilter) Matches(event Event) bool {
	at := time.Unix(0, event.At.Wall)
	return (f.Request == "" || event.Request == f.Request) &&
		(f.Upstream == "" || event.Upstream == f.Upstream) &&
		(f.Ticket == 0 || event.Ticket == f.Ticket) &&
		(f.Since.IsZero() || !at.Before(f.Since)) &&
		(f.Until.IsZero() || at.Before(f.Until))
}
