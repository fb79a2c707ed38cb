package spoke

import "time"

type (
	// EventKind names what happened, in kebab case.
	EventKind string

	// HybridTime is a hybrid logical clock reading; causes sort before effects.
	HybridTime struct {
		// Wall is in nanoseconds since the Unix epoch.
		Wall    int64
		Logical uint32
	}

	// Event is one entry of the time line; empty ids mean that the event has none.
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

	// EventSink takes events of the time line; Record never blocks.
	EventSink interface {
		// Record stamps the event with time and host and keeps it.
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
