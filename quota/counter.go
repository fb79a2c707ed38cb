package quota

import "time"

// counterSlots is the number of slots in the window of a Counter.
const counterSlots = 10

// Counter counts events in a sliding window.
type Counter struct {
	width time.Duration
	slots [counterSlots]int
	// begin is the start of the slot of the first time, from which slots are numbered. Unlike a time of day, the time
	// since then does not jump when the clock is set.
	begin time.Time
	// at is the number of the newest slot.
	at int64
}

// NewCounter returns a counter of the events within a window, or in up to a tenth less of it.
func NewCounter(window time.Duration) Counter { return Counter{width: window / counterSlots} }

// newWholeCounter returns a counter that counts all events within a window. It is longer than the window by a slot, since
// the newest slot is partly filled.
func newWholeCounter(window time.Duration) Counter { return NewCounter(wholeWindow(window)) }

func wholeWindow(window time.Duration) time.Duration {
	return window * counterSlots / (counterSlots - 1)
}

// Add counts an event.
func (c *Counter) Add(now time.Time) {
	c.advance(now)
	c.slots[c.at%counterSlots]++
}

// Sum returns the number of events within the window.
func (c *Counter) Sum(now time.Time) int {
	c.advance(now)
	total := 0
	for _, count := range c.slots {
		total += count
	}
	return total
}

// advance clears the slots that have left the window.
func (c *Counter) advance(now time.Time) {
	if c.begin.IsZero() {
		c.begin = now.Add(-time.Duration(now.UnixNano() % int64(c.width)))
	}
	current := int64(now.Sub(c.begin) / c.width)
	for step := max(c.at+1, current-counterSlots+1); step <= current; step++ {
		c.slots[step%counterSlots] = 0
	}
	c.at = max(c.at, current)
}
