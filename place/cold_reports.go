package place

import (
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/warm"
)

// coldEndReports is how long the end of a cold time is repeated to other hosts.
const coldEndReports = 5 * time.Second

// coldReports empties a set and returns the reports of its members.
func coldReports(now time.Time, ramps map[*ramp]bool) []spoke.UpstreamColdness {
	var reports []spoke.UpstreamColdness
	for r := range ramps {
		if r.shared != nil {
			reports = append(reports, r.report(now))
		}
	}
	clear(ramps)
	return reports
}

// allCold returns what hosts have to know of the upstreams of this host's cell that are cold or have lately been.
func (s *Scheduler) allCold(now time.Time) []spoke.UpstreamColdness {
	var reports []spoke.UpstreamColdness
	if !s.hasCold {
		return nil
	}
	for _, nodes := range s.cellNodes {
		for _, n := range nodes {
			if n.ramp.isReported(now) {
				reports = append(reports, n.ramp.report(now))
			}
		}
	}
	return reports
}

// ownCold returns what this host has found of the upstreams of its cell.
func (s *Scheduler) ownCold(now time.Time) []spoke.UpstreamColdness {
	return slices.DeleteFunc(s.allCold(now), func(reported spoke.UpstreamColdness) bool { return reported.Cause == "" })
}

func (r *ramp) isReported(now time.Time) bool {
	return r.shared != nil && (r.isCold(now) || (r.state.IsOwn() && now.Sub(r.state.At) <= coldEndReports))
}

func (r *ramp) report(now time.Time) spoke.UpstreamColdness {
	reported := spoke.UpstreamColdness{Upstream: r.start, Sent: r.shared.Sent(now)}
	if asked := now.Sub(r.state.AskedAt()); asked <= coldEndReports {
		reported.IsAsked, reported.AskedAge = true, asked
	}
	if r.state.IsOwn() {
		reported.Cause = string(r.state.Cause)
		reported.Age, reported.Left, reported.IsOpen = now.Sub(r.state.At), r.state.Left(now), r.state.IsOpen
	}
	return reported
}

// applyCold applies what another host reports of cold upstreams, in a report that was delayed.
func (s *Scheduler) applyCold(now time.Time, delay time.Duration, report spoke.HostReport) {
	for _, reported := range report.Cold {
		r := s.ramps[reported.Upstream]
		if r == nil || r.shared == nil {
			continue
		}
		if slices.Contains(s.cell.Members, report.Host) {
			r.shared.Receive(now, report.Host, reported.Sent)
		} else {
			r.shared.ReceiveOutside(now, report.Host, reported.Sent)
		}
		if reported.IsAsked {
			r.state.Asked(now.Add(-max(reported.AskedAge, 0)))
		}
		if reported.Cause == "" || reported.IsOpen && !s.believes(now, r.start.ID, report.Host) {
			continue
		}
		at := now.Add(-max(reported.Age, 0))
		if !reported.IsOpen && reported.Left <= 0 {
			// A late report that the upstream is warm must not override what was found after it.
			at = at.Add(-delay)
		}
		r.state.Reported(warm.Statement{
			Cause: warm.Cause(reported.Cause), At: at, Until: now.Add(max(reported.Left, 0)), IsOpen: reported.IsOpen,
		})
		s.followRamp(now, r, false)
	}
}

// applyColdDoubts applies the failed connections of another host, which says for each doubt if it rests on something else.
func (s *Scheduler) applyColdDoubts(now time.Time, report spoke.HostReport) {
	for id, pause := range report.Doubts {
		n := s.nodes[id]
		if n == nil || pause <= 0 || slices.Contains(report.BrokenDoubts, id) || !s.believes(now, id, report.Host) {
			continue
		}
		n.ramp.state.Reported(warm.Statement{Cause: warm.CauseConnection, At: now, IsOpen: true})
		s.followRamp(now, n.ramp, false)
	}
}

// believes reports whether the failed connections of a host count, which may have lost its own ways.
func (s *Scheduler) believes(now time.Time, id spoke.UpstreamID, host spoke.HostID) bool {
	n := s.nodes[id]
	return n != nil && !now.Before(s.distrusted[doubter{n.listed.Service, host}])
}
