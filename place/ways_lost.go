package place

import "time"

// loseWays forgets what failed connections of this host seemed to say of upstreams, and no longer counts the calls
// that it has sent and that have not begun.
func (s *Scheduler) loseWays(now time.Time) {
	for _, n := range s.nodes {
		if n.pausedUntil.After(now) {
			s.report.doubted(n.listed.ID, 0)
		}
		n.pausedUntil, n.backoff, n.failures = time.Time{}, 0, 0
		for _, run := range n.runs {
			if !run.hasBegun && !run.isLost {
				run.isLost = true
				s.endCopies(now, run, false)
				s.report.changed(n)
				s.report.gaveUp(n)
			}
		}
		n.forgetLostWork(now)
	}
	s.loseRampWays(now)
	clear(s.unanswered.calls)
	clear(s.unanswered.announced)
}

// forgetLostWork bounds the pending work of an engine by that of the calls that still count.
func (n *node) forgetLostWork(now time.Time) {
	total := n.totals()
	n.pendingPrefill, n.pendingCopyTime = min(n.backlogOf(now, total.Prefill), total.Prefill), min(n.copyBacklog(now), total.CopyTime)
	n.pendingAt = now
}
