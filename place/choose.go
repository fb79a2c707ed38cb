package place

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliaspoke.example/spoke"
)

type (
	// candidate is an upstream that could take a call now.
	candidate struct {
		node    *node
		weights spoke.WeightVersion
		cached  spoke.TokenCount
		copies  copies
		// before counts the tokens that the node reads before the first event.
		before spoke.TokenCount
		// first is the expected time to the first event, punctual the same without the delay of copies.
		first    time.Duration
		punctual time.Duration
		cost     time.Duration
	}

	// outlook is what a call would meet at an engine.
	outlook struct {
		pace float64
		// unread counts the tokens that the engine reads first, behind is the time for them.
		unread spoke.TokenCount
		behind time.Duration
		// link is the time until the engine's link is free.
		link time.Duration
		// pressure is the number of calls that wait for each engine.
		pressure float64
	}
)

// choose returns the upstream that serves the call at the lowest cost, if one may take it now.
// Upstreams of other cells serve only while this cell has none in use.
func (s *Scheduler) choose(now time.Time, w *waiting) (candidate, bool) {
	nodes := s.near[w.ask.Service]
	if !isAnyUsable(now, nodes, w.ask.Tried) {
		nodes = s.byService[w.ask.Service]
	}
	var best candidate
	found := false
	home := s.home(w)
	for _, n := range nodes {
		if !n.isUsable(now) || slices.Contains(w.ask.Tried, n.listed.ID) {
			continue
		}
		c, ok := s.consider(now, w, n)
		if !ok {
			continue
		}
		if n == home {
			c.cost -= homeBonus
		}
		if !found || c.cost < best.cost {
			best, found = c, true
		}
	}
	return best, found
}

func isAnyUsable(now time.Time, nodes []*node, tried []spoke.UpstreamID) bool {
	return slices.ContainsFunc(nodes, func(n *node) bool {
		return n.isUsable(now) && !slices.Contains(tried, n.listed.ID)
	})
}

func (s *Scheduler) consider(now time.Time, w *waiting, n *node) (candidate, bool) {
	c := candidate{node: n}
	if n.listed.DataCentre != s.settings.DataCentre {
		c.cost += remoteCost
	}
	c.cost += time.Duration(n.failureRate(now) * float64(failureCost))
	if w.ask.Prompt == nil {
		return considerPlain(now, n, c)
	}
	if _, ok := s.weightsOf(now, w.ask.Prompt.Model, n, &c); !ok {
		return c, false
	}
	c, ok := s.considerEngine(now, w, n, c)
	if !ok {
		return c, false
	}
	// The call must begin before its weights are too old.
	weightsCost, ok := s.weightsOf(now, w.ask.Prompt.Model, n, &c)
	c.cost += weightsCost
	return c, ok
}

// weightsOf sets the version that the call would meet; versions that were replaced some
// time ago must not be used any more.
func (s *Scheduler) weightsOf(now time.Time, model spoke.ModelName, n *node, c *candidate) (time.Duration, bool) {
	c.weights = n.weights[model]
	if c.weights == 0 {
		return 0, false
	}
	replaced, isReplaced := s.named[model].replacedAt(c.weights)
	if !isReplaced {
		return 0, true
	}
	age := now.Sub(replaced)
	switch {
	case age+c.first > s.settings.WeightsApply-weightsMargin:
		return 0, false
	case age > newWeightsGrace:
		return oldWeightsCost, true
	}
	return 0, true
}

func considerPlain(now time.Time, n *node, c candidate) (candidate, bool) {
	total := max(n.totals().Runs, n.said(now))
	slots := max(n.listed.Slots, 1)
	most := slots + int(plainQueue*float64(slots))
	if total >= most {
		return c, false
	}
	ahead := max(total-slots+1, 0)
	c.first = n.serviceTime + time.Duration(ahead)*n.serviceTime/time.Duration(slots)
	c.punctual = c.first
	c.cost += c.first + time.Duration(total)*n.serviceTime/time.Duration(plainBalance*slots)
	return c, true
}

func (s *Scheduler) considerEngine(now time.Time, w *waiting, n *node, c candidate) (candidate, bool) {
	total := n.totals()
	if total.Runs >= n.listed.Slots || !s.hasTurn(now, w.ask, n) || !s.hasRoom(w.ask, total) {
		return c, false
	}
	c.cached = min(n.cache.cached(w.prefixesFor(c.weights)), w.ask.Prompt.Input)
	o := s.outlookOf(now, w.ask, n, total)
	saved := n.reading.time(c.cached, o.pace)
	if o.behind > s.allowedBacklog(w.ask)+saved/2 {
		return c, false
	}
	if !s.chooseCopies(now, w, &c, o) {
		return c, false
	}
	rest := w.ask.Prompt.Input - c.cached - c.copies.tokens
	read := n.reading.time(rest, o.pace)
	ready := c.copies.ready(o)
	last := read + time.Duration(o.pace*float64(n.reading.step))
	c.first = ready + last
	c.punctual = max(o.behind, ready-c.copies.delay) + last
	c.before = o.unread + rest
	c.cost += o.costOf(c.copies, read) + time.Duration(total.Runs)*time.Millisecond
	// While calls wait, engines read all the time, and what counts is to be served at all.
	c.cost += time.Duration(float64(n.pauses(now, w.ask, total.Runs, read)) / (1 + o.pressure))
	return c, true
}

// hasRoom reports whether an engine with some work has memory for one more call.
func (s *Scheduler) hasRoom(m Request, total spoke.HostUpstreamLoad) bool {
	need := m.Prompt.Input + expectedOutput(m.Prompt)
	room := float64(s.capacity(m.Service)) * memoryShareOf(m.Urgency)
	return total.Runs == 0 || float64(total.Memory+need) <= room
}

func (s *Scheduler) outlookOf(now time.Time, m Request, n *node, total spoke.HostUpstreamLoad) outlook {
	o := outlook{pace: n.paceAt(now), unread: n.backlogOf(now, total.Prefill), link: n.copyBacklog(now), pressure: s.readPressure(now, m)}
	o.behind = n.reading.time(o.unread, o.pace)
	return o
}

// costOf weighs the wait for an engine and its copies against the time that reading and copying take
// from other calls.
func (o outlook) costOf(way copies, read time.Duration) time.Duration {
	price := 1 + readCost + o.pressure
	return way.ready(o) + time.Duration(price*float64(read)+linkCost*float64(way.holds))
}

// chooseCopies sets what the node copies, and reports false if the call should wait for the node's link.
func (s *Scheduler) chooseCopies(now time.Time, w *waiting, c *candidate, o outlook) bool {
	unread := w.ask.Prompt.Input - c.cached
	c.copies = s.planCopies(now, w, c, func(way copies) time.Duration {
		return o.costOf(way, c.node.reading.time(unread-way.tokens, o.pace))
	})
	if c.copies.parts == 0 || o.link <= longestLinkWait(w.ask) {
		return true
	}
	// While the link is busy, short urgent prompts are read, and others wait, since reading long parts
	// again would take the engine from others.
	c.copies = copies{}
	return w.ask.Urgency <= 1
}

// ready is the time until the engine can read what it does not copy: it has read what came before, and
// its link has brought the copies.
func (way copies) ready(o outlook) time.Duration {
	if way.parts == 0 {
		return o.behind
	}
	return max(o.behind, o.link+way.took+way.delay)
}

// longestLinkWait bounds the wait for an engine's link.
func longestLinkWait(m Request) time.Duration {
	return min(time.Duration(copyWaitShare*float64(m.Target.Sub(m.Arrived))), longestCopyWait)
}

// hasTurn divides an engine between hosts that all have calls waiting. They see it become free at
// the same moment, before they hear of each other's calls, so each takes its turn by a draw of its
// own that on average one of them wins. Urgent calls are short and need no turn.
func (s *Scheduler) hasTurn(now time.Time, m Request, n *node) bool {
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
	turn := strconv.FormatInt(now.UnixNano()/int64(turnTime), 36)
	return xxhash.Sum64String(string(s.settings.Host)+"/"+string(n.listed.ID)+"/"+turn)%(others+1) == 0
}

func memoryShareOf(urgency spoke.Priority) float64 {
	switch {
	case urgency <= 0:
		return firstMemoryShare
	case urgency == 1:
		return secondMemoryShare
	}
	return memoryShare
}

// allowedBacklog is the time that a call may wait inside an engine. Less urgent calls wait
// in the host's queue, where urgent ones can still overtake them.
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

func (w *waiting) prefixesFor(version spoke.WeightVersion) []spoke.PromptPrefix {
	prefixes, ok := w.prefixes[version]
	if !ok {
		prefixes = prefixesOf(groupOf(w.ask, version), w.ask.Prompt)
		w.prefixes[version] = prefixes
	}
	return prefixes
}

// home returns the engine where prompts with the same shared parts meet by rendezvous hashing.
func (s *Scheduler) home(w *waiting) *node {
	prompt := w.ask.Prompt
	if prompt == nil || len(prompt.Parts) < 2 || w.home != nil {
		return w.home
	}
	shared := string(prompt.Parts[len(prompt.Parts)-2].ID)
	var bestWeight uint64
	for _, n := range s.near[w.ask.Service] {
		weight := xxhash.Sum64String(shared + "/" + string(n.listed.ID))
		if w.home == nil || weight > bestWeight {
			w.home, bestWeight = n, weight
		}
	}
	return w.home
}
