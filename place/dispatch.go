package place

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

// enter gives a new call to an upstream unless others go before it, which could not be placed when
// they were looked at last.
func (s *Scheduler) enter(now time.Time, w *waiting) {
	isBehind := slices.ContainsFunc(s.queues[w.ask.Service], func(other *waiting) bool { return s.compare(now, other, w) <= 0 })
	if isBehind || !s.settle(now, w) {
		s.queues[w.ask.Service] = append(s.queues[w.ask.Service], w)
	}
}

// offer gives the first waiting calls to an upstream that has made progress. A look at all calls and
// all upstreams for each sign of progress takes more time than a small host has when many wait.
func (s *Scheduler) offer(now time.Time, n *node) {
	isListed := s.nodes[n.listed.ID] == n
	if len(s.queues[n.listed.Service]) == 0 || !isListed || !n.isUsable(now) || n.isFull() {
		return
	}
	s.settleFirst(now, n.listed.Service, offerLimit, func(w *waiting) bool { return s.settleAt(now, w, n) })
}

// settleFirst tries to settle the first calls of a queue in order and keeps the others.
func (s *Scheduler) settleFirst(now time.Time, service spoke.ServiceName, most int, settle func(*waiting) bool) {
	queue := s.queues[service]
	s.order(now, queue)
	kept := queue[:0]
	for position, w := range queue {
		if position >= most || !settle(w) {
			kept = append(kept, w)
		}
	}
	clear(queue[len(kept):])
	s.queues[service] = kept
}

// settleAt grants a call at one upstream, if that may take it now.
func (s *Scheduler) settleAt(now time.Time, w *waiting, n *node) bool {
	if slices.Contains(w.ask.Tried, n.listed.ID) {
		return false
	}
	c, ok := s.consider(now, w, n)
	if ok {
		s.grant(now, w, c)
	}
	return ok
}

// dispatch gives waiting calls to upstreams in order and refuses those whose time is over.
func (s *Scheduler) dispatch(now time.Time) {
	for _, service := range slices.Sorted(maps.Keys(s.queues)) {
		if len(s.queues[service]) > 0 {
			s.settleFirst(now, service, scanLimit, func(w *waiting) bool { return s.settle(now, w) })
		}
	}
}

// settle grants or refuses a call and reports whether it is done with waiting.
func (s *Scheduler) settle(now time.Time, w *waiting) bool {
	if !now.Before(w.ask.Deadline) || w.ask.hasLeft(now.Add(s.shortest(w.ask))) {
		s.refuse(now, w.ask, RefusedTime)
		return true
	}
	if s.isPausedTooLong(now, w.ask) {
		s.refuse(now, w.ask, RefusedPaused)
		return true
	}
	best, ok := s.choose(now, w)
	if ok {
		s.grant(now, w, best)
	}
	return ok
}

// order sorts urgent calls first, then those that can still be on time, then the oldest.
func (s *Scheduler) order(now time.Time, queue []*waiting) {
	slices.SortStableFunc(queue, func(a, b *waiting) int { return s.compare(now, a, b) })
}

func (s *Scheduler) compare(now time.Time, a, b *waiting) int {
	return cmp.Or(
		cmp.Compare(a.ask.Urgency, b.ask.Urgency),
		compareBool(s.isLate(now, a), s.isLate(now, b)),
		a.ask.Arrived.Compare(b.ask.Arrived),
	)
}

// isLate reports whether the call misses its target even if an idle engine starts it now.
func (s *Scheduler) isLate(now time.Time, w *waiting) bool {
	return now.Add(s.shortest(w.ask)).After(w.ask.Target)
}

func (s *Scheduler) shortest(m Request) time.Duration {
	if m.Prompt == nil {
		return 0
	}
	reading := s.reading(m.Service)
	return reading.time(m.Prompt.Input, 1)/2 + reading.step
}

func (s *Scheduler) grant(now time.Time, w *waiting, c candidate) {
	m := w.ask
	fetch, transfers := s.fetches(now, w, c)
	run := &running{copies: transfers, ask: m, node: c.node, sent: now, predicted: c.punctual, weights: c.weights}
	if m.Prompt != nil {
		run.unread = m.Prompt.Input - c.cached - c.copies.tokens
		run.memory = m.Prompt.Input + expectedOutput(m.Prompt)
		run.copying = c.copies.took
		run.before = c.before
		c.node.grow(now, run.unread, run.copying)
	}
	c.node.runs[m.Call] = run
	for _, copying := range transfers {
		s.source(copying.from).begin(now, m.Call, pendingCopy{holds: copying.holds, sent: now, due: now.Add(c.punctual), node: c.node})
		s.report.copied(copying.from)
	}
	s.running[m.Call] = run
	if m.Prompt != nil {
		c.node.cache.add(w.prefixes[c.weights], c.node.totals().Memory)
		s.report.placed(c.node, w.prefixes[c.weights])
	}
	s.report.changed(c.node)
	if m.IsRetry {
		s.budget(m.Service).repeats.add(now)
	}
	granted := Grant{
		Call: m.Call, Upstream: c.node.listed, Weights: c.weights, Cached: c.cached,
		Fetched: c.copies.tokens, Fetch: fetch, Save: s.planSaves(now, m, c.weights),
		Predicted: c.first, Waited: now.Sub(m.Arrived), Urgency: m.Urgency,
	}
	if slices.ContainsFunc(fetch, func(from spoke.Address) bool { return from != "" }) {
		granted.FetchUntil = s.engineClock.fetchUntil(now)
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
