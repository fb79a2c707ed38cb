package place

import (
	"time"

	"magnoliaspoke.example/spoke"
)

// unansweredMemory is the time without calls after which earlier ones that were not answered say nothing of the next:
// their callers may have left. Failed connections keep a host from sending any for up to maxBackoff.
const unansweredMemory = 2 * maxBackoff

// unanswered tells the services at which nothing that this host sends is answered. Its own ways to their upstreams
// may be lost, so that its waiting calls could not be placed at an idle one, and its calls without a first event may
// not have reached any. Other hosts must not wait for either.
type (
	unanswered struct {
		// calls describes the calls of each service that were sent since an upstream has last answered one.
		calls map[spoke.ServiceName]unansweredCalls
		// announced holds the services whose work was withdrawn from the load reports.
		announced map[spoke.ServiceName]bool
	}

	unansweredCalls struct {
		// overdueAt is when the first event of the first of them is overdue, sentAt when the last was sent.
		overdueAt, sentAt time.Time
	}
)

func newUnanswered() unanswered {
	return unanswered{calls: make(map[spoke.ServiceName]unansweredCalls), announced: make(map[spoke.ServiceName]bool)}
}

// sent records a call that was sent.
func (u *unanswered) sent(now time.Time, run *runningCall) {
	calls, isAny := u.calls[run.request.Service]
	if !isAny || now.Sub(calls.sentAt) > unansweredMemory {
		calls.overdueAt = now.Add(stallTimeout + 2*run.predicted)
	}
	calls.sentAt = now
	u.calls[run.request.Service] = calls
}

// is reports whether nothing is answered.
func (u *unanswered) is(now time.Time, service spoke.ServiceName) bool {
	calls, isAny := u.calls[service]
	return isAny && !now.Before(calls.overdueAt)
}

// answered records progress that this host has seen.
func (s *Scheduler) answered(now time.Time, n *node) {
	n.recordProgress(now)
	delete(s.unanswered.calls, n.listed.Service)
	s.announceUnanswered(now, n.listed.Service)
}

// announceUnanswered lets the next load report list all work at a service if its calls count no longer, or again.
func (s *Scheduler) announceUnanswered(now time.Time, service spoke.ServiceName) {
	is := s.unanswered.is(now, service)
	if is == s.unanswered.announced[service] {
		return
	}
	s.unanswered.announced[service] = is
	for _, n := range s.byService[service] {
		for _, run := range n.runs {
			s.report.changed(n)
			for _, copied := range run.copiesBySource {
				s.report.copied(copied.from)
			}
		}
	}
}

// reportedLoad is the own load of an upstream as other hosts should count it.
func (s *Scheduler) reportedLoad(now time.Time, n *node) spoke.HostUpstreamLoad {
	load := n.ownLoad()
	load.BrokenAge = n.brokenAge(now)
	load.Checked, load.CheckedAge = n.checked(now)
	load.HasGivenUp = s.report.givenUp[load.Upstream]
	slack := s.slackOf(now, n)
	load.Slack, load.SlackStreams = slack.Least, slack.Streams
	if !s.unanswered.is(now, n.listed.Service) {
		return load
	}
	load.Prefill, load.CopyTime, load.HasGivenUp = 0, 0, true
	for _, run := range n.runs {
		if !run.hasBegun && !run.isLost {
			load.Runs--
			load.Memory -= run.memory
		}
	}
	return load
}

// reportedPending is the time that the pending copies of this host take as other hosts should count it.
func (s *Scheduler) reportedPending(now time.Time, source *copySource) time.Duration {
	var total time.Duration
	for _, pending := range source.pending {
		if !s.unanswered.is(now, pending.node.listed.Service) {
			total += pending.linkTime
		}
	}
	return total
}
