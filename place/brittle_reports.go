package place

import (
	"time"

	"magnoliaspoke.example/spoke"
)

// reportBrittleChange adds a change to the next load report, unless another host has reported it.
func (s *Scheduler) reportBrittleChange(b *brittleness, by spoke.HostID) {
	s.actions = append(s.actions, BrittleChanged{
		Upstream: b.start.ID, Most: b.most, IsEnded: !b.isActive, Slots: b.share.own, Share: b.share.of(b.most), Host: by,
	})
	if by == s.settings.Host {
		s.report.brittle[b] = true
		s.report.brittleChanges[b] = true
	}
}

// repeatBrittle adds all brittle upstreams to the next load report, for hosts that have joined.
func (s *Scheduler) repeatBrittle() {
	for _, b := range s.brittle {
		if b.isActive {
			s.report.brittle[b] = true
		}
	}
}

// takeBrittleReports empties a set and returns the reports of its members.
func takeBrittleReports(now time.Time, set map[*brittleness]bool) []spoke.UpstreamBrittleness {
	var reports []spoke.UpstreamBrittleness
	for b := range set {
		reports = append(reports, b.report(now))
	}
	clear(set)
	return reports
}

// allBrittle returns all brittle upstreams and those that have ceased to be lately.
func (s *Scheduler) allBrittle(now time.Time) []spoke.UpstreamBrittleness {
	var reports []spoke.UpstreamBrittleness
	for _, b := range s.brittle {
		if b.isActive || (!b.changedAt.IsZero() && now.Sub(b.changedAt) <= limitEndReports) {
			reports = append(reports, b.report(now))
		}
	}
	return reports
}

func (b *brittleness) report(now time.Time) spoke.UpstreamBrittleness {
	return spoke.UpstreamBrittleness{
		Upstream: b.start, Most: b.most, IsEnded: !b.isActive, Age: now.Sub(b.statedAt),
		Rejected: spoke.RejectionCount(countSince(&b.rejected, now, rejectionWindow)),
	}
}

// applyBrittle applies what another host reports of brittle upstreams.
func (s *Scheduler) applyBrittle(now time.Time, report spoke.HostReport) {
	for _, reported := range report.Brittle {
		b := s.addBrittleness(now, reported.Upstream)
		b.peers[report.Host] = peerRejections{count: int(reported.Rejected), receivedAt: now}
		statedAt := now.Add(-max(reported.Age, 0))
		if reported.IsEnded {
			s.endBrittle(now, b, statedAt.Add(-limitEndMargin), report.Host)
		} else {
			s.setBrittle(now, b, reported.Most, statedAt, report.Host)
		}
	}
}
