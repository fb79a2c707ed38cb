package place

import (
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// limitEndReports is how long the end of a limit is repeated to other hosts.
	limitEndReports = 10 * time.Second
	// limitEndMargin is how much later than the last answer with a limit another host must have sent the
	// request whose answer named none, since reports of ages arrive late.
	limitEndMargin = 500 * time.Millisecond
)

// reportLimitChange adds a changed limit to the next load report, unless another host has reported it.
func (s *Scheduler) reportLimitChange(l *limit, by spoke.HostID) {
	s.actions = append(s.actions, LimitChanged{Upstream: l.start.ID, Rate: l.Rate(), IsEnded: !l.IsActive(), Share: l.Share().Rate, Host: by})
	if by == s.settings.Host {
		s.report.limits[l] = true
		s.report.limitChanges[l] = true
	}
}

// repeatLimits adds all limits to the next load report, for hosts that have joined.
func (s *Scheduler) repeatLimits() {
	for _, l := range s.limits {
		if l.IsActive() {
			s.report.limits[l] = true
		}
	}
}

// limitReports returns the limits that have changed or been used since the last report.
func (s *Scheduler) limitReports(now time.Time) []spoke.UpstreamLimit {
	return takeLimits(now, s.report.limits)
}

// changedLimits returns the limits that this host has found to have changed since the last report to hosts of
// other cells.
func (s *Scheduler) changedLimits(now time.Time) []spoke.UpstreamLimit {
	return takeLimits(now, s.report.limitChanges)
}

// allLimits returns all limits in force and those that have ended lately.
func (s *Scheduler) allLimits(now time.Time) []spoke.UpstreamLimit {
	var reports []spoke.UpstreamLimit
	for _, l := range s.limits {
		if l.isReported(now) {
			reports = append(reports, l.report(now))
		}
	}
	return reports
}

// takeLimits empties a set of limits and returns their reports.
func takeLimits(now time.Time, limits map[*limit]bool) []spoke.UpstreamLimit {
	var reports []spoke.UpstreamLimit
	for l := range limits {
		reports = append(reports, l.report(now))
	}
	clear(limits)
	return reports
}

// isReported reports whether snapshots of the load include the limit.
func (l *limit) isReported(now time.Time) bool {
	return l.IsActive() || (!l.ChangedAt().IsZero() && now.Sub(l.ChangedAt()) <= limitEndReports)
}

func (l *limit) report(now time.Time) spoke.UpstreamLimit {
	return spoke.UpstreamLimit{Upstream: l.start, Rate: l.Rate(), IsEnded: !l.IsActive(), Age: l.Age(now), Sent: l.Sent(now)}
}

// applyLimits applies the limits reported by another host.
func (s *Scheduler) applyLimits(now time.Time, report spoke.HostReport) {
	for _, reported := range report.Limits {
		l := s.limitOf(now, reported.Upstream)
		l.Receive(now, report.Host, reported.Sent)
		statedAt := now.Add(-max(reported.Age, 0))
		if reported.IsEnded {
			s.endLimit(now, l, statedAt.Add(-limitEndMargin), report.Host)
		} else {
			s.setLimit(now, l, reported.Rate, statedAt, report.Host)
		}
	}
}
