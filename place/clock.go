package place

import (
	"time"

	"magnoliaspoke.example/spoke"
)

// engineClock estimates the clock shared by engines and stores from the times in their reports, which are
// late by the network delay. The estimate is never ahead, so that limits derived from it end early.
type engineClock struct {
	last spoke.EngineTime
	at   time.Time
}

func (c *engineClock) observe(now time.Time, reported spoke.EngineTime) {
	if reported > c.now(now) {
		c.last, c.at = reported, now
	}
}

// now returns the estimate, zero before the first report.
func (c *engineClock) now(now time.Time) spoke.EngineTime {
	if c.last == 0 {
		return 0
	}
	return c.last + spoke.EngineTime(now.Sub(c.at).Milliseconds())
}

// fetchDeadline returns when engines discard unfinished copies of a call placed now that may take a time, zero if it is
// not known.
func (c *engineClock) fetchDeadline(now time.Time, copyTime time.Duration) spoke.EngineTime {
	if c.last == 0 {
		return 0
	}
	return c.now(now) + spoke.EngineTime(copyTime.Milliseconds())
}
