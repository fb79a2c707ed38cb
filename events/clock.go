package events

import (
	"math"
	"sync"
	"time"

	"magnoliaspoke.example/spoke"
)

// MaxSkew is how far a remote reading may run ahead of the own wall clock; a reading
// beyond it is ignored, so that one host with a wrong clock does not drag all others along.
const MaxSkew = time.Minute

// Clock is a hybrid logical clock; it is safe for concurrent use.
type Clock struct {
	timer spoke.Timer

	mu   sync.Mutex
	last spoke.HybridTime
}

// NewClock returns a clock over the wall time of a timer service.
func NewClock(timer spoke.Timer) *Clock { return &Clock{timer: timer} }

// Now returns a reading after every reading returned or observed before.
func (c *Clock) Now() spoke.HybridTime {
	wall := c.timer.Now().UnixNano()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = following(c.last, wall)
	return c.last
}

// Observe takes in the reading of a received message and returns a later one; it
// reports false if the reading was too far ahead to be taken in.
func (c *Clock) Observe(remote spoke.HybridTime) (spoke.HybridTime, bool) {
	wall := c.timer.Now().UnixNano()
	c.mu.Lock()
	defer c.mu.Unlock()
	inReach := remote.Wall <= wall+int64(MaxSkew)
	if inReach && c.last.Before(remote) {
		c.last = remote
	}
	c.last = following(c.last, wall)
	return c.last, inReach
}

func following(last spoke.HybridTime, wall int64) spoke.HybridTime {
	switch {
	case wall > last.Wall:
		return spoke.HybridTime{Wall: wall}
	case last.Logical == math.MaxUint32:
		return spoke.HybridTime{Wall: last.Wall + 1}
	default:
		return spoke.HybridTime{Wall: last.Wall, Logical: last.Logical + 1}
	}
}
