package host

import "time"

// maxReportLag is the longest time by which a load report is older than the call that reads it. A longer one shows that
// a clock was set.
const maxReportLag = time.Second

// engineClock converts times of an engine's clock, which may differ from that of this host and be set.
type engineClock struct {
	// lead is the smallest difference between the time of a call on this host's clock and the time of its report on the
	// engine's clock, which is that of a report without lag.
	lead    time.Duration
	isKnown bool
}

// toLocal returns the time of a report on this host's clock, never later than the call that read it.
func (c *engineClock) toLocal(asked, reported time.Time) time.Time {
	lead := asked.Sub(reported)
	if !c.isKnown || lead < c.lead || lead-c.lead > maxReportLag {
		c.lead, c.isKnown = lead, true
	}
	return asked.Add(c.lead - lead)
}
