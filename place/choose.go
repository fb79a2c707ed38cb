package place

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/finish"
)

type (
	// candidate is an upstream that could take a call now.
	candidate struct {
		node    *node
		weights spoke.WeightVersion
		cached  spoke.TokenCount
		copies  copies
		// tokensToFirst counts the tokens that the node prefills before the first event.
		tokensToFirst spoke.TokenCount
		// firstEvent is the expected time to the first event, undelayed is the same time without the queueing
		// delay of copies.
		firstEvent time.Duration
		undelayed  time.Duration
		cost       time.Duration
		// finish is the predicted end of the stream after its first event.
		finish finish.Forecast
	}

	// forecast is the expected state of an engine when it gets one more call.
	forecast struct {
		pace float64
		// prefillAhead counts the tokens that the engine prefills before the call, prefillWait is the time
		// that this takes.
		prefillAhead spoke.TokenCount
		prefillWait  time.Duration
		// linkWait is the time until the engine's link is free.
		linkWait time.Duration
		// queueDepth is the number of waiting calls per engine.
		queueDepth float64
	}
)

// choose returns the candidate with the lowest cost, if any upstream may take the call now. Upstreams of
// other cells are considered only while none of this cell is usable, cold ones only if no other takes it.
func (s *Scheduler) choose(now time.Time, w *waitingCall) (candidate, bool) {
	s.judgeSpeeds(now, w.request.Service)
	nodes := s.cellNodes[w.request.Service]
	if !isAnyUsable(now, nodes, w.request) {
		nodes = s.byService[w.request.Service]
	}
	var best candidate
	found := false
	mayAvoidDoubted := isAnySound(now, nodes, w.request)
	affinity := s.affinityNode(w)
	for _, n := range nodes {
		if !n.isUsable(now) || !n.suits(w.request) || (mayAvoidDoubted && n.isDoubted(now)) {
			continue
		}
		c, ok := s.evaluate(now, w, n)
		if !ok {
			continue
		}
		if n == affinity {
			c.cost -= affinityBonus
		}
		if !found || c.cost < best.cost {
			best, found = c, true
		}
	}
	if !found {
		return s.chooseCold(now, w)
	}
	if probe, ok := s.probe(now, w, nodes, best); ok {
		return probe, true
	}
	return best, true
}

func isAnyUsable(now time.Time, nodes []*node, m Request) bool {
	return slices.ContainsFunc(nodes, func(n *node) bool { return n.isUsable(now) && n.suits(m) })
}

// evaluate returns one upstream as a candidate with its cost, and false if it may not take the call now.
func (s *Scheduler) evaluate(now time.Time, w *waitingCall, n *node) (candidate, bool) {
	c := candidate{node: n}
	if !s.hasBrittleRoom(now, n) {
		return c, false
	}
	if n.listed.DataCentre != s.settings.DataCentre {
		c.cost += remoteCost
	}
	c.cost += time.Duration(n.failureRate(now) * float64(failureCost))
	if w.request.Prompt == nil {
		return s.evaluatePlain(now, n, c)
	}
	if _, ok := s.checkWeights(now, w.request.Prompt.Model, n, &c); !ok {
		return c, false
	}
	c, ok := s.evaluateEngine(now, w, n, c)
	if !ok {
		return c, false
	}
	// Checked again with the expected first event: the call must begin before its weights are too old.
	weightsCost, ok := s.checkWeights(now, w.request.Prompt.Model, n, &c)
	c.cost += weightsCost
	return c, ok
}

// checkWeights sets the weight version of a candidate and returns its cost. It returns false if the engine
// does not serve the model, or if the call would begin too long after the version was replaced.
func (s *Scheduler) checkWeights(now time.Time, model spoke.ModelName, n *node, c *candidate) (time.Duration, bool) {
	c.weights = n.weights[model]
	if c.weights == 0 {
		return 0, false
	}
	replaced, isReplaced := s.wanted[model].replacedAt(c.weights)
	if !isReplaced {
		return 0, true
	}
	age := now.Sub(replaced)
	switch {
	case age+c.firstEvent > s.weightsLimit()-weightsMargin:
		return 0, false
	case age > newWeightsGrace:
		return oldWeightsCost, true
	}
	return 0, true
}

func (s *Scheduler) evaluatePlain(now time.Time, n *node, c candidate) (candidate, bool) {
	total := max(n.totals().Runs, n.reportedCalls(now))
	slots := max(n.listed.Slots, 1)
	limit := slots + int(plainQueueShare*float64(slots))
	if total >= limit {
		return c, false
	}
	slots = max(n.takes(), 1)
	ahead, serviceTime := max(total-slots+1, 0), s.plainService(n)
	c.firstEvent = serviceTime + time.Duration(ahead)*serviceTime/time.Duration(slots)
	c.undelayed = c.firstEvent
	c.cost += c.firstEvent + time.Duration(total)*serviceTime/time.Duration(plainBalance*slots) + n.overloadCost(total, serviceTime)
	return c, true
}

func (s *Scheduler) evaluateEngine(now time.Time, w *waitingCall, n *node, c candidate) (candidate, bool) {
	total := n.totals()
	if total.Runs >= n.listed.Slots || !n.isCold(now) && !s.winsDraw(now, w.request, n) || !s.hasRoom(w.request, total) {
		return c, false
	}
	c.cached = min(n.cache.cached(w.prefixesFor(c.weights)), w.request.Prompt.Input)
	f := s.forecastFor(now, w.request, n, total)
	saved := n.prefill.time(c.cached, f.pace)
	if f.prefillWait > s.allowedBacklog(w.request)+saved/2 {
		return c, false
	}
	if !s.chooseCopies(now, w, &c, f) {
		return c, false
	}
	rest := w.request.Prompt.Input - c.cached - c.copies.tokens
	prefill := n.prefill.time(rest, f.pace)
	ready := c.copies.ready(f)
	last := prefill + time.Duration(f.pace*float64(n.prefill.overhead))
	c.firstEvent = ready + last
	c.undelayed = max(f.prefillWait, ready-c.copies.delay) + last
	c.tokensToFirst = f.prefillAhead + rest
	c.cost += f.costOf(c.copies, prefill) + time.Duration(total.Runs)*time.Millisecond + n.overloadCost(total.Runs, c.firstEvent)
	// While calls wait, engines prefill all the time and gaps weigh less than being served at all.
	c.cost += time.Duration(float64(n.gapCost(now, w.request, total.Runs, prefill)) / (1 + f.queueDepth))
	c.cost += s.totalTimeCost(now, w.request, &c, prefill)
	return c, true
}

// hasRoom reports whether an engine has memory for one more call; an idle one always has.
func (s *Scheduler) hasRoom(m Request, total spoke.HostUpstreamLoad) bool {
	need := m.Prompt.Input + expectedOutput(m.Prompt)
	room := float64(s.capacity(m.Service)) * memoryShareOf(m.Urgency)
	return total.Runs == 0 || float64(total.Memory+need) <= room
}

func (s *Scheduler) forecastFor(now time.Time, m Request, n *node, total spoke.HostUpstreamLoad) forecast {
	f := forecast{pace: n.paceAt(now), prefillAhead: n.backlogOf(now, total.Prefill), linkWait: n.copyBacklog(now), queueDepth: s.queueDepth(now, m)}
	f.prefillWait = n.prefill.time(f.prefillAhead, f.pace)
	return f
}

// costOf returns the wait for the engine and the copies of a plan, plus the weighted time that prefill and
// copying take from other calls.
func (f forecast) costOf(plan copies, prefill time.Duration) time.Duration {
	prefillFactor := 1 + prefillCostFactor + f.queueDepth
	return plan.ready(f) + time.Duration(prefillFactor*float64(prefill)+linkCostFactor*float64(plan.linkTime))
}

// chooseCopies sets the copies of a candidate, and reports false if the call should wait for the node's
// link.
func (s *Scheduler) chooseCopies(now time.Time, w *waitingCall, c *candidate, f forecast) bool {
	uncached := w.request.Prompt.Input - c.cached
	c.copies = s.planCopies(now, w, c, func(plan copies) time.Duration {
		return f.costOf(plan, c.node.prefill.time(uncached-plan.tokens, f.pace))
	})
	if c.copies.parts == 0 || f.linkWait <= longestLinkWait(w.request) {
		return true
	}
	// While the link is busy, short urgent prompts are recomputed and others wait, since recomputing long
	// parts would take prefill time from other calls.
	c.copies = copies{}
	return w.request.Urgency <= 1
}

// ready is the time until the engine can prefill the parts that are not copied: it has finished earlier
// prefills, and the copies have arrived.
func (plan copies) ready(f forecast) time.Duration {
	if plan.parts == 0 {
		return f.prefillWait
	}
	return max(f.prefillWait, f.linkWait+plan.copyTime+plan.delay)
}

// longestLinkWait bounds the wait for an engine's link.
func longestLinkWait(m Request) time.Duration {
	return min(time.Duration(copyWaitShare*float64(m.Target.Sub(m.Arrived))), longestCopyWait)
}

// winsDraw divides an engine between hosts that all have calls waiting. They see it become free at the
// same moment, before they receive each other's load reports, so each makes a pseudo-random draw of its
// own, which on average one of them wins. Urgent calls are short and skip the draw.
func (s *Scheduler) winsDraw(now time.Time, m Request, n *node) bool {
	if m.Urgency <= 1 {
		return true
	}
	others := uint64(0)
	for _, other := range s.peers {
		if slices.ContainsFunc(other.waiting, func(work spoke.WaitingWork) bool { return work.Service == m.Service }) {
			others++
		}
	}
	if others == 0 {
		return true
	}
	period := strconv.FormatInt(now.UnixNano()/int64(drawPeriod), 36)
	return xxhash.Sum64String(string(s.settings.Host)+"/"+string(n.listed.ID)+"/"+period)%(others+1) == 0
}

func memoryShareOf(urgency spoke.Priority) float64 {
	switch {
	case urgency <= 0:
		return urgentMemoryShare
	case urgency == 1:
		return normalMemoryShare
	}
	return memoryShare
}

// allowedBacklog is the time that a call may wait inside an engine. Less urgent calls wait in the host's
// queue instead, where urgent ones are placed before them.
func (s *Scheduler) allowedBacklog(m Request) time.Duration {
	target := m.Target.Sub(m.Arrived)
	if m.Urgency == 0 {
		return time.Duration(urgentBacklogShare * float64(target))
	}
	if m.Urgency == 1 {
		return time.Duration(backlogShare * float64(target))
	}
	return min(time.Duration(backlogShare*float64(target)), longestBacklog)
}

func (w *waitingCall) prefixesFor(version spoke.WeightVersion) []spoke.PromptPrefix {
	prefixes, ok := w.prefixes[version]
	if !ok {
		prefixes = prefixesOf(groupOf(w.request, version), w.request.Prompt)
		w.prefixes[version] = prefixes
	}
	return prefixes
}

// affinityNode returns the preferred engine of prompts with the same shared parts, chosen by rendezvous
// hashing.
func (s *Scheduler) affinityNode(w *waitingCall) *node {
	prompt := w.request.Prompt
	if prompt == nil || len(prompt.Parts) < 2 || w.affinity != nil {
		return w.affinity
	}
	shared := string(prompt.Parts[len(prompt.Parts)-2].ID)
	var bestWeight uint64
	for _, n := range s.cellNodes[w.request.Service] {
		if n.isEvacuated || !w.request.Homes.Allows(n.region) {
			continue
		}
		weight := xxhash.Sum64String(shared + "/" + string(n.listed.ID))
		if w.affinity == nil || weight > bestWeight {
			w.affinity, bestWeight = n, weight
		}
	}
	return w.affinity
}
