package place

import (
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// longestAskedPause bounds what an upstream may ask for.
	longestAskedPause = time.Minute
	// leavingMemory is how long a leaving upstream is remembered, also while it is not listed.
	leavingMemory = time.Minute
)

// departures are the starts of upstreams that have said that they leave, and when. The directory lags
// and may list them as ready, or list them anew after an outage.
type departures map[spoke.UpstreamStart]time.Time

// startOf identifies the start of a listed upstream; times from the wire and from other hosts compare
// equal only in the same form.
func startOf(listed spoke.ListedUpstream) spoke.UpstreamStart {
	return spoke.UpstreamStart{ID: listed.ID, Started: listed.Started.UTC()}
}

func (d departures) add(now time.Time, start spoke.UpstreamStart) (isNew bool) {
	for known, since := range d {
		if now.Sub(since) > leavingMemory {
			delete(d, known)
		}
	}
	if _, isKnown := d[start]; isKnown {
		return false
	}
	d[start] = now
	return true
}

// hearLeaving notes that an upstream leaves and tells the other hosts.
func (s *Scheduler) hearLeaving(now time.Time, n *node) {
	start := startOf(n.listed)
	if s.departures.add(now, start) {
		s.report.leaving = append(s.report.leaving, start)
	}
	n.isDeparting = true
}

// hearDepartures takes what another host heard.
func (s *Scheduler) hearDepartures(now time.Time, starts []spoke.UpstreamStart) {
	for _, start := range starts {
		s.departures.add(now, start)
		if n := s.nodes[start.ID]; n != nil && startOf(n.listed) == start {
			n.isDeparting = true
		}
	}
}

// isLeaving reports whether the upstream wants no new calls before it leaves.
func (n *node) isLeaving() bool { return n.listed.IsLeaving || n.isDeparting }

// wantsPause keeps this host's calls away for the time that the upstream asks for.
func (n *node) wantsPause(now time.Time, pause time.Duration) {
	until := now.Add(min(pause, longestAskedPause))
	if pause > 0 && until.After(n.askedUntil) {
		n.askedUntil = until
	}
}

// askedPause returns the time until the first upstream of a call wants calls again; it is zero unless
// all of them have asked for a pause.
func (s *Scheduler) askedPause(now time.Time, m Request) time.Duration {
	var first time.Duration
	for _, n := range s.byService[m.Service] {
		if !n.mayServe(m) {
			continue
		}
		left := n.askedUntil.Sub(now)
		if left <= 0 {
			return 0
		}
		if first == 0 || left < first {
			first = left
		}
	}
	return first
}

// isPausedTooLong reports whether all upstreams of a call want none until it cannot be on time.
func (s *Scheduler) isPausedTooLong(now time.Time, m Request) bool {
	pause := s.askedPause(now, m)
	return pause > 0 && now.Add(pause).After(m.Target)
}
