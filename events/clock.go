package events

import (
	"math"
	"sync"
	"time"

	"magnoliaspoke.example/spoke"
)

// MaxSkew is the longest time by which a remote reading may be ahead of the local wall clock. Readings
// further ahead are ignored, so that one host with a wrong clock does not advance the clocks of all others.
const MaxSkew = time.Minute

// Clock is a hybrid logical clock; it is safe for concurrent use.
type Clock struct {
	timer spoke.Timer

	mu   sync.Mutex
	last spoke.HybridTime
}

// NewClock returns a clock over the wall time of a timer service.
func NewClock(timer spoke.Timer) *Clock { return &Clock{timer: timer} }

// Now returns a reading later than every reading returned or observed before.
func (c *Clock) Now() spoke.HybridTime {
	wall := c.timer.Now().UnixNano()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = successor(c.last, wall)
	return c.last
}

// Observe merges the reading of a received message and returns a later one. It reports
// false if it ignored the reading because it is ahead by more than MaxSkew.
func (c *Clock) Observe(remote spoke.HybridTime) (spoke.HybridTime, bool) {
	wall := c.timer.Now().UnixNano()
	c.mu.Lock()
	defer c.mu.Unlock()
	isAccepted := remote.Wall <= wall+int64(MaxSkew)
	if isAccepted && c.last.Before(remote) {
		c.last = remote
	}
	c.last = successor(c.last, wall)
	return c.last, isAccepted
}

func successor(last spoke.HybridTime, wall int64) spoke.HybridTime {
	switch {
	case wall > last.Wall:
		return spoke.HybridTime{Wall: wall}
	case last.Logical == math.MaxUint32:
		return spoke.HybridTime{Wall: last.Wall + 1}
	default:
		return spoke.HybridTime{Wall: last.Wall, Logical: last.Logical + 1}
	}
}
