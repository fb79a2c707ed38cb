package place

import (
	"time"

	"magnoliaspoke.example/spoke"
)

// engineClock estimates the clock of engines and stores from what was heard of it, which is late by
// its way. It is never ahead, so that a time taken from it comes early.
type engineClock struct {
	heard spoke.EngineTime
	at    time.Time
}

func (c *engineClock) hear(now time.Time, heard spoke.EngineTime) {
	if heard > c.now(now) {
		c.heard, c.at = heard, now
	}
}

// now returns the estimate, zero if nothing was heard.
func (c *engineClock) now(now time.Time) spoke.EngineTime {
	if c.heard == 0 {
		return 0
	}
	return c.heard + spoke.EngineTime(now.Sub(c.at).Milliseconds())
}

// fetchUntil returns when the copies of a call placed now are thrown away.
func (c *engineClock) fetchUntil(now time.Time) spoke.EngineTime {
	if c.heard == 0 {
		return 0
	}
	return c.now(now) + spoke.EngineTime(copyTime.Milliseconds())
}
