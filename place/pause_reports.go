package place

import (
	"time"

	"magnoliaspoke.example/spoke"
)

// pauseReports is the number of reports that carry a pause or its end. Datagrams are lost when the link of the holder of
// the orders lease is full, and a host that misses a pause sends calls to an engine that loads weights.
const pauseReports = 3

// reportedPause is a pause that other hosts have to receive.
type reportedPause struct {
	// until is when the pause ends, the zero time for the end of a pause.
	until time.Time
	// reports is the number of reports that still carry it.
	reports int
}

// paused adds a pause to the next reports; zero ends a pause.
func (r *reportBuilder) paused(now time.Time, id spoke.UpstreamID, pause time.Duration) {
	reported := reportedPause{reports: pauseReports}
	if pause > 0 {
		reported.until = now.Add(pause)
	}
	r.pauses[id] = reported
}

// takePauses returns the pauses of a report.
func (r *reportBuilder) takePauses(now time.Time) map[spoke.UpstreamID]time.Duration {
	pauses := make(map[spoke.UpstreamID]time.Duration, len(r.pauses))
	for id, pause := range r.pauses {
		// A pause that has ended is reported as its end.
		pauses[id] = max(pause.until.Sub(now), 0)
		pause.reports--
		r.pauses[id] = pause
		if pause.reports == 0 {
			delete(r.pauses, id)
		}
	}
	return pauses
}
