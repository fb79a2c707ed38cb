package platform

import (
	"net/http"
	"strconv"
	"time"
)

// rejectionSpan is the span in which rejections of a brittle engine are counted.
const rejectionSpan = time.Second

type (
	// Brittleness makes an engine reject requests for which it has no room, and crash if it rejects too many.
	Brittleness struct {
		// Slots is the number of requests that run at once, Queue the number of those that wait.
		Slots, Queue int
		// Rejections is the number of rejections within a second from which one more makes the engine crash.
		Rejections int
		// Down is the time from a crash to the next start.
		Down time.Duration
	}

	// occupancy is what a brittle engine has done.
	occupancy struct {
		room *room
		// rejections holds the times of all rejections for want of room, busy is the time for which slots were held.
		rejections []time.Time
		busy       time.Duration
	}

	// room is what the engine of a Brittleness has under way.
	room struct {
		Brittleness
		// start is the number of the engine's start to which the rest belongs.
		start      int64
		taken      int
		slots      chan struct{}
		rejections []time.Time
	}
)

// SetBrittle makes the engine brittle, or changes its queue or tolerance; nil ends that.
func (e *Engine) SetBrittle(brittle *Brittleness) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case brittle == nil:
		e.occupancy.room = nil
	case e.occupancy.room != nil && e.occupancy.room.Slots == brittle.Slots:
		e.occupancy.room.Brittleness = *brittle
	default:
		e.occupancy.room = &room{Brittleness: *brittle}
		e.resetRoom()
		e.slots = brittle.Slots
	}
}

// Rejections returns the times at which the engine rejected a request for want of room.
func (e *Engine) Rejections() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time(nil), e.occupancy.rejections...)
}

// Busy returns the total time for which requests have held slots.
func (e *Engine) Busy() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.occupancy.busy
}

// resetRoom frees all slots, as at a start.
func (e *Engine) resetRoom() {
	e.occupancy.room.start, e.occupancy.room.taken, e.occupancy.room.rejections = e.restarts, 0, nil
	e.occupancy.room.slots = make(chan struct{}, e.occupancy.room.Slots)
}

// enter waits for a slot. It returns false if it has answered that there is no room, or if the caller has left.
// leave frees the slot.
func (e *Engine) enter(w http.ResponseWriter, r *http.Request) (leave func(), isIn bool) {
	e.mu.Lock()
	room := e.occupancy.room
	if room == nil {
		e.mu.Unlock()
		return func() {}, true
	}
	if room.start != e.restarts {
		e.resetRoom()
	}
	w.Header().Set("Server-Brittle", strconv.Itoa(room.Rejections))
	if room.taken >= room.Slots+room.Queue {
		e.reject(w, r)
		return nil, false
	}
	start, slots := room.start, room.slots
	room.taken++
	e.mu.Unlock()
	release := func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if room.start == start {
			room.taken--
		}
	}
	select {
	case slots <- struct{}{}:
	case <-r.Context().Done():
		release()
		return nil, false
	}
	begin := time.Now()
	return func() {
		<-slots
		release()
		e.mu.Lock()
		defer e.mu.Unlock()
		e.occupancy.busy += time.Since(begin)
	}, true
}

// reject answers that there is no room and unlocks the engine; it crashes if it has rejected too many.
func (e *Engine) reject(w http.ResponseWriter, r *http.Request) {
	now, room := time.Now(), e.occupancy.room
	e.occupancy.rejections, room.rejections = append(e.occupancy.rejections, now), append(room.rejections, now)
	recent := 0
	for _, at := range room.rejections {
		if now.Sub(at) < rejectionSpan {
			recent++
		}
	}
	isFall, down := recent > room.Rejections, room.Down
	e.mu.Unlock()
	if isFall {
		e.crash(Crashing{Down: down})
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	w.Header().Set(headerNotExecuted, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
