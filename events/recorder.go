package events

import (
	"slices"
	"sync/atomic"

	"magnoliaspoke.example/spoke"
)

type (
	// Recorder keeps the latest events of one process in a ring buffer of fixed size.
	Recorder struct {
		host  spoke.HostID
		clock *Clock
		// slots is written without a lock, so that Record never waits for a reader.
		slots []atomic.Pointer[spoke.Event]
		count atomic.Uint64
	}
)

var _ spoke.EventSink = (*Recorder)(nil)

// NewRecorder returns a recorder that keeps the given number of events, at least one.
func NewRecorder(host spoke.HostID, timer spoke.Timer, capacity int) *Recorder {
	return &Recorder{
		host:  host,
		clock: NewClock(timer),
		slots: make([]atomic.Pointer[spoke.Event], max(capacity, 1)),
	}
}

// Record sets the time and host of an event and stores it in place of the oldest one.
// An event with a duration is recorded at its end.
func (r *Recorder) Record(event spoke.Event) {
	event.At = r.clock.Now()
	event.Host = r.host
	index := r.count.Add(1) - 1
	r.slots[index%uint64(len(r.slots))].Store(&event)
}

// Now returns the clock reading to send with an internal message.
func (r *Recorder) Now() spoke.HybridTime { return r.clock.Now() }

// Observe merges the clock reading of a received internal message, so that every later event
// sorts after the sender's. It reports false if it ignored the reading because it is ahead by
// more than MaxSkew.
func (r *Recorder) Observe(remote spoke.HybridTime) bool {
	_, ok := r.clock.Observe(remote)
	return ok
}

// Recorded returns the number of events recorded since the start.
func (r *Recorder) Recorded() uint64 { return r.count.Load() }

// Overwritten returns the number of recorded events that the ring buffer no longer holds.
func (r *Recorder) Overwritten() uint64 {
	recorded, size := r.count.Load(), uint64(len(r.slots))
	return recorded - min(recorded, size)
}

// Events returns the stored events that match the filter, in causal order.
func (r *Recorder) Events(filter Filter) []spoke.Event {
	var found []spoke.Event
	for i := range r.slots {
		if event := r.slots[i].Load(); event != nil && filter.Matches(*event) {
			found = append(found, *event)
		}
	}
	slices.SortStableFunc(found, compare)
	return found
}
