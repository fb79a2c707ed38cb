package place

import (
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// maxRequestedPause bounds the pause that an upstream may request.
	maxRequestedPause = time.Minute
	// departureRetention is how long the departure of an upstream is kept, also while it is not listed.
	departureRetention = time.Minute
)

// departures holds the starts of upstreams that have announced that they leave, and when this was received.
// The directory lags and may still list them as ready, or list them again after an outage.
type departures map[spoke.UpstreamStart]time.Time

// startOf identifies the start of a listed upstream. Its time is in UTC, since times from the directory and
// from other hosts compare equal only with the same location.
func startOf(listed spoke.ListedUpstream) spoke.UpstreamStart {
	return spoke.UpstreamStart{ID: listed.ID, Started: listed.Started.UTC()}
}

// add records a departure and reports whether it is new. It drops those that are past their retention.
func (d departures) add(now time.Time, start spoke.UpstreamStart) (isNew bool) {
	for known, since := range d {
		if now.Sub(since) > departureRetention {
			delete(d, known)
		}
	}
	if _, isKnown := d[start]; isKnown {
		return false
	}
	d[start] = now
	return true
}

// recordLeaving records that an upstream leaves and adds it to the next load report.
func (s *Scheduler) recordLeaving(now time.Time, n *node) {
	start := startOf(n.listed)
	if s.departures.add(now, start) {
		s.report.leaving = append(s.report.leaving, start)
	}
	n.isDeparting = true
}

// applyDepartures applies the departures reported by another host.
func (s *Scheduler) applyDepartures(now time.Time, starts []spoke.UpstreamStart) {
	for _, start := range starts {
		s.departures.add(now, start)
		if n := s.nodes[start.ID]; n != nil && startOf(n.listed) == start {
			n.isDeparting = true
		}
	}
}

// isLeaving reports whether the upstream must get no new calls, since it leaves or its data centre is evacuated.
func (n *node) isLeaving() bool { return n.listed.IsLeaving || n.isDeparting || n.isEvacuated }

// requestPause keeps this host's calls away for the time that the upstream requests.
func (n *node) requestPause(now time.Time, pause time.Duration) {
	until := now.Add(min(pause, maxRequestedPause))
	if pause > 0 && until.After(n.requestedPauseUntil) {
		n.requestedPauseUntil = until
	}
}
