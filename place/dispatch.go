package place

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

// placeOrQueue grants or refuses a new call. It queues the call if no upstream can take it now, or if
// waiting calls precede it, since these could not be placed so far.
func (s *Scheduler) placeOrQueue(now time.Time, w *waitingCall) {
	isBehind := slices.ContainsFunc(s.queues[w.request.Service], func(other *waitingCall) bool {
		return other.waitsFor(w.request) && s.compare(now, other, w) <= 0
	})
	if isBehind || !s.resolve(now, w) {
		s.queues[w.request.Service] = append(s.queues[w.request.Service], w)
	}
}

// waitsFor reports whether a waiting call would take each upstream that another call may take, so that none was
// free for either.
func (w *waitingCall) waitsFor(m Request) bool {
	if !w.request.Homes.Covers(m.Homes) {
		return false
	}
	for _, version := range w.request.NotSoftware {
		if m.takesSoftware(version) {
			return false
		}
	}
	return w.request.Software == "" || w.request.Software == m.Software
}

// offer tries the first waiting calls at an upstream that has made progress. Matching all calls with all
// upstreams at each step of progress takes more CPU time than a small host has when many calls wait.
func (s *Scheduler) offer(now time.Time, n *node) {
	isListed := s.nodes[n.listed.ID] == n
	if len(s.queues[n.listed.Service]) == 0 || !isListed || !n.isUsable(now) || n.isFull() {
		return
	}
	s.resolveFirst(now, n.listed.Service, offerLimit, func(w *waitingCall) bool { return s.placeAt(now, w, n) })
}

// resolveFirst passes the first calls of a queue to resolve in order and keeps those that it does not
// resolve. Calls with the same homes count together, so that others do not wait behind those whose regions are full.
func (s *Scheduler) resolveFirst(now time.Time, service spoke.ServiceName, limit int, resolve func(*waitingCall) bool) {
	queue := s.queues[service]
	s.order(now, queue)
	kept := queue[:0]
	passed := make(map[string]int)
	for _, w := range queue {
		homes := w.request.Homes.Label()
		if passed[homes] >= limit || !resolve(w) {
			kept = append(kept, w)
		}
		passed[homes]++
	}
	clear(queue[len(kept):])
	s.queues[service] = kept
}

// placeAt grants a call at one upstream, if that may take it now.
func (s *Scheduler) placeAt(now time.Time, w *waitingCall, n *node) bool {
	s.admitSoftware(now, w)
	if !n.suits(w.request) || !n.limit.Allows(now) || s.avoids(now, n, w.request) {
		return false
	}
	c, ok := s.evaluate(now, w, n)
	if ok {
		s.grant(now, w, c)
	}
	return ok
}

// dispatch gives waiting calls to upstreams in order and refuses those that can no longer be served in time.
func (s *Scheduler) dispatch(now time.Time) {
	for _, service := range slices.Sorted(maps.Keys(s.queues)) {
		if len(s.queues[service]) > 0 {
			s.resolveFirst(now, service, scanLimit, func(w *waitingCall) bool { return s.resolve(now, w) })
		}
	}
}

// resolve grants or refuses a call, and reports false if the call has to wait.
func (s *Scheduler) resolve(now time.Time, w *waitingCall) bool {
	s.admitSoftware(now, w)
	if !now.Before(w.request.Deadline) || w.request.hasLeft(now.Add(s.fastestFirstEvent(w.request))) {
		s.refuse(now, w.request, RefusedDeadline)
		return true
	}
	// A call that was sent before waits for another upstream, unless that must have a version of which none is left, or
	// all are evacuated.
	if reason := s.absenceReason(w.request); reason == RefusedSoftware || reason == RefusedEvacuated || (reason != "" && !w.request.IsRetry) {
		s.refuse(now, w.request, reason)
		return true
	}
	if reason := s.unavailableReason(now, w.request, 0); reason != "" {
		s.refuse(now, w.request, reason)
		return true
	}
	best, ok := s.choose(now, w)
	_, isRemoved := s.removed[w.request.Service]
	switch {
	case ok:
		s.grant(now, w, best)
	case isRemoved && !w.request.IsRetry:
		s.refuse(now, w.request, RefusedServiceRemoved)
	default:
		return false
	}
	return true
}

// admitSoftware ends the exclusion of versions from a call once its time is over, or if no other upstream is left.
func (s *Scheduler) admitSoftware(now time.Time, w *waitingCall) {
	if len(w.request.NotSoftware) > 0 && (!now.Before(w.request.NotSoftwareUntil) || !s.hasUpstream(w.request)) {
		w.request.NotSoftware = nil
	}
}

// order sorts a queue by urgency, then calls that can still meet their target before late ones, then by
// arrival.
func (s *Scheduler) order(now time.Time, queue []*waitingCall) {
	slices.SortStableFunc(queue, func(a, b *waitingCall) int { return s.compare(now, a, b) })
}

func (s *Scheduler) compare(now time.Time, a, b *waitingCall) int {
	return cmp.Or(
		cmp.Compare(a.request.Urgency, b.request.Urgency),
		compareBool(s.isLate(now, a), s.isLate(now, b)),
		a.request.Arrived.Compare(b.request.Arrived),
	)
}

// isLate reports whether the call would miss its target even on an idle engine.
func (s *Scheduler) isLate(now time.Time, w *waitingCall) bool {
	return now.Add(s.fastestFirstEvent(w.request)).After(w.request.Target)
}

// fastestFirstEvent returns the shortest time to a first event that is assumed possible: half of the usual
// prefill time plus the overhead, zero for plain services.
func (s *Scheduler) fastestFirstEvent(m Request) time.Duration {
	if m.Prompt == nil {
		return 0
	}
	prefill := s.prefillModel(m.Service)
	return prefill.time(m.Prompt.Input, 1)/2 + prefill.overhead
}

func (s *Scheduler) grant(now time.Time, w *waitingCall, c candidate) {
	m := w.request
	fetch, bySource := s.fetchSources(now, w, c)
	run := &runningCall{copiesBySource: bySource, request: m, node: c.node, sent: now, predicted: c.undelayed, weights: c.weights, load: c.node.currentLoad(now)}
	if m.Prompt != nil {
		run.prefillTokens = m.Prompt.Input - c.cached - c.copies.tokens
		run.memory = m.Prompt.Input + expectedOutput(m.Prompt)
		run.copyTime = c.copies.copyTime
		run.tokensToFirst = c.tokensToFirst
		c.node.addWork(now, run.prefillTokens, run.copyTime)
	}
	s.takeBrittle(now, c.node)
	c.node.runs[m.Call] = run
	for _, copied := range bySource {
		s.source(copied.from).begin(now, m.Call, pendingCopy{linkTime: copied.linkTime, sent: now, due: now.Add(c.undelayed), node: c.node})
		s.report.copied(copied.from)
	}
	s.running[m.Call] = run
	s.unanswered.sent(now, run)
	s.takeLimit(now, c.node)
	s.takeRamp(now, c.node)
	if m.Prompt != nil {
		c.node.cache.add(w.prefixes[c.weights], c.node.totals().Memory)
		s.report.placed(c.node, w.prefixes[c.weights])
	}
	s.report.changed(c.node)
	if m.IsRetry && !m.IsRunning {
		s.budget(m.Service).retries.Add(now)
	}
	granted := Grant{
		Call: m.Call, Upstream: c.node.listed, Weights: c.weights, Cached: c.cached,
		Fetched: c.copies.tokens, FetchSources: fetch, SaveTargets: s.planSaves(now, m, c.weights),
		Homes: m.Homes, Predicted: c.firstEvent, Waited: now.Sub(m.Arrived), Urgency: m.Urgency, IsCold: c.node.isCold(now),
	}
	if slices.ContainsFunc(fetch, func(from spoke.Address) bool { return from != "" }) {
		granted.FetchDeadline = s.engineClock.fetchDeadline(now, s.timeToCopy(now, fetch))
	}
	if c.finish.IsKnown {
		granted.PredictedWhole, granted.PredictedTail = c.firstEvent+c.finish.Likely, c.firstEvent+c.finish.Tail
		granted.IsAtRisk = c.finish.IsAtRisk
	}
	s.actions = append(s.actions, granted)
}

func expectedOutput(prompt *spoke.PromptMetadata) spoke.TokenCount {
	if prompt.Hint > 0 {
		return min(prompt.Hint, max(prompt.MaxOutput, 1))
	}
	return prompt.MaxOutput
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
