package place

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

type (
	// waiting is a call that has no upstream yet.
	waiting struct {
		ask Ask
		// prefixes are kept by weight version.
		prefixes map[spoke.WeightVersion][]spoke.PromptPrefix
		// home is the engine where prompts with the same shared parts meet, once it is known.
		home     *node
		holdings *holdings
	}

	wanted struct {
		version spoke.WeightVersion
		since   time.Time
		isGuess bool
	}

	peer struct {
		heard   time.Time
		number  uint64
		waiting []spoke.WaitingWork
	}

	// Scheduler gives the calls of one host to upstreams.
	Scheduler struct {
		settings Settings
		services map[spoke.ServiceName]spoke.ServedService
		nodes    map[spoke.UpstreamID]*node
		// byService holds the nodes of a service in the order of their ids, near those that this
		// host's cell uses.
		byService map[spoke.ServiceName][]*node
		near      map[spoke.ServiceName][]*node
		cell      SetCell
		queues    map[spoke.ServiceName][]*waiting
		running   map[spoke.CallNumber]*running
		wanted    map[spoke.ModelName]wanted
		budgets   map[spoke.ServiceName]*budget
		peers     map[spoke.HostID]*peer
		stores    []*store
		// storedAt is an index of the parts of all stores.
		storedAt map[spoke.StoredKey][]*store
		report   report
		actions  []Action
	}
)

// NewScheduler returns a scheduler that knows no upstream.
func NewScheduler(settings Settings) *Scheduler {
	return &Scheduler{
		settings:  settings,
		services:  make(map[spoke.ServiceName]spoke.ServedService),
		nodes:     make(map[spoke.UpstreamID]*node),
		byService: make(map[spoke.ServiceName][]*node),
		near:      make(map[spoke.ServiceName][]*node),
		cell:      SetCell{Count: 1},
		queues:    make(map[spoke.ServiceName][]*waiting),
		running:   make(map[spoke.CallNumber]*running),
		wanted:    make(map[spoke.ModelName]wanted),
		budgets:   make(map[spoke.ServiceName]*budget),
		peers:     make(map[spoke.HostID]*peer),
		storedAt:  make(map[spoke.StoredKey][]*store),
		report:    newReport(settings.Host),
	}
}

// Handle takes one message and returns the actions that follow from it.
func (s *Scheduler) Handle(now time.Time, message Message) []Action {
	s.actions = nil
	switch m := message.(type) {
	case Ask:
		s.ask(now, m)
	case Leave:
		s.leave(m.Call)
	case Began:
		s.began(now, m)
	case Ended:
		s.ended(now, m)
	case SetTable:
		s.services = m.Services
		s.setStores(m.Stores)
		s.resize()
	case SeeStore:
		s.seeStore(now, m.State)
	case SetUpstreams:
		s.setUpstreams(m)
	case SetWeights:
		s.setWeights(now, m)
	case SeeWeights:
		s.see(m.Upstream, m.Weights)
	case Pause:
		s.pause(now, m)
	case Hear:
		s.hear(now, m.Share)
	case ForgetPeer:
		s.forgetPeer(m.Host)
	case SetCell:
		s.cell = m
		s.index()
	case Tick:
		s.dropSilent(now)
	}
	s.dispatch(now)
	return s.actions
}

// IsWaiting reports whether a call waits, so that time has to pass.
func (s *Scheduler) IsWaiting() bool {
	for _, queue := range s.queues {
		if len(queue) > 0 {
			return true
		}
	}
	return false
}

func (s *Scheduler) ask(now time.Time, m Ask) {
	budget := s.budget(m.Service)
	if m.IsRepeat {
		if !budget.allows(now, s.settings.RetryShare*safeRetries, s.ownReserve()) {
			s.refuse(now, m, RefusedBudget)
			return
		}
	} else {
		budget.calls.add(now)
	}
	w := &waiting{ask: m, prefixes: make(map[spoke.WeightVersion][]spoke.PromptPrefix)}
	if reason := s.hopeless(now, w); reason != "" {
		s.refuse(now, m, reason)
		return
	}
	s.queues[m.Service] = append(s.queues[m.Service], w)
}

// ownReserve is this host's part of the repeats that need no calls.
func (s *Scheduler) ownReserve() float64 {
	return safeRetries * s.settings.RetryReserve / float64(len(s.peers)+1)
}

func (s *Scheduler) leave(ticket spoke.CallNumber) {
	for service, queue := range s.queues {
		s.queues[service] = slices.DeleteFunc(queue, func(w *waiting) bool { return w.ask.Call == ticket })
	}
}

func (s *Scheduler) began(now time.Time, m Began) {
	run := s.running[m.Call]
	if run == nil || run.hasBegun {
		return
	}
	run.hasBegun = true
	run.node.hears(now, m.Load)
	run.node.progressed(now)
	run.node.pause = 0
	if run.ask.Prompt != nil {
		run.node.observePace(now.Sub(run.sent), run.predicted)
	}
	s.report.changed(run.node)
	s.learn(run, m.Weights)
}

func (s *Scheduler) ended(now time.Time, m Ended) {
	run := s.running[m.Call]
	if run == nil {
		return
	}
	delete(s.running, m.Call)
	delete(run.node.runs, m.Call)
	run.node.observe(now, run, m.Ending)
	switch m.Ending {
	case EndUnreached, EndBroken, EndCancelled:
		// The end says nothing of the upstream's progress.
	default:
		run.node.progressed(now)
	}
	if run.node.pausedUntil.After(now) {
		s.report.paused(run.node.listed.ID, run.node.pausedUntil.Sub(now))
	}
	run.node.hears(now, m.Load)
	s.report.changed(run.node)
	s.learn(run, m.Weights)
	switch {
	case m.Ending == EndGone:
		run.node.isGone = true
		s.report.paused(run.node.listed.ID, goneTime)
	case m.Ending == EndElsewhere && m.Weights == 0:
		run.node.pausedUntil = now.Add(firstPause)
	}
}

func (s *Scheduler) learn(run *running, version spoke.WeightVersion) {
	if version != 0 && run.ask.Prompt != nil {
		s.see(run.node.listed.ID, spoke.ListedWeights{Model: run.ask.Prompt.Model, Version: version})
	}
}

func (s *Scheduler) see(id spoke.UpstreamID, seen spoke.ListedWeights) {
	n := s.nodes[id]
	if n == nil || seen.Version <= n.weights[seen.Model] {
		return
	}
	n.seeWeights(seen.Model, seen.Version)
	s.report.saw(id, seen)
}

func (s *Scheduler) pause(now time.Time, m Pause) {
	if n := s.nodes[m.Upstream]; n != nil {
		n.hold(now, m.For)
		s.report.paused(m.Upstream, m.For)
	}
}

// setWeights takes newer weights, or a better account of when the known ones were named.
func (s *Scheduler) setWeights(now time.Time, m SetWeights) {
	known := s.wanted[m.Wanted.Model]
	heard := wanted{version: m.Wanted.Version, since: now.Add(-m.Age), isGuess: m.IsGuess}
	isBetter := heard.version == known.version && !heard.isGuess && (known.isGuess || heard.since.Before(known.since))
	if heard.version > known.version || isBetter {
		s.wanted[m.Wanted.Model] = heard
	}
}

func (s *Scheduler) setUpstreams(m SetUpstreams) {
	named := make(map[spoke.UpstreamID]bool, len(m.Listed))
	for _, listed := range m.Listed {
		named[listed.ID] = true
		s.setUpstream(listed)
	}
	for _, id := range m.Gone {
		delete(s.nodes, id)
	}
	if m.IsWhole {
		maps.DeleteFunc(s.nodes, func(id spoke.UpstreamID, _ *node) bool { return !named[id] })
	}
	s.index()
}

func (s *Scheduler) setUpstream(listed spoke.ListedUpstream) {
	n := s.nodes[listed.ID]
	if n != nil && n.listed.Started.Equal(listed.Started) && n.listed.Address == listed.Address {
		n.list(listed)
		return
	}
	// A restart under the same id is another upstream that knows nothing of before.
	n = newNode(listed, s.capacity(listed.Service))
	s.nodes[listed.ID] = n
}

func (s *Scheduler) index() {
	s.byService = make(map[spoke.ServiceName][]*node)
	s.near = make(map[spoke.ServiceName][]*node)
	for _, id := range slices.Sorted(maps.Keys(s.nodes)) {
		n := s.nodes[id]
		s.byService[n.listed.Service] = append(s.byService[n.listed.Service], n)
	}
	for service, nodes := range s.byService {
		s.near[service] = nearOnes(nodes, s.cell.Cell, s.cell.Count)
	}
	for _, queue := range s.queues {
		for _, w := range queue {
			w.home = nil
		}
	}
}

func (s *Scheduler) resize() {
	for _, n := range s.nodes {
		n.cache.capacity = s.capacity(n.listed.Service)
	}
}

func (s *Scheduler) capacity(service spoke.ServiceName) spoke.TokenCount {
	if engine := s.services[service].Engine; engine != nil {
		return engine.CacheCapacity
	}
	return 0
}

func (s *Scheduler) budget(service spoke.ServiceName) *budget {
	if s.budgets[service] == nil {
		s.budgets[service] = newBudget(s.settings.RetryWindow)
	}
	return s.budgets[service]
}

// dispatch gives waiting calls to upstreams in order and refuses those whose time is over.
func (s *Scheduler) dispatch(now time.Time) {
	for _, service := range slices.Sorted(maps.Keys(s.queues)) {
		queue := s.queues[service]
		if len(queue) == 0 {
			continue
		}
		s.order(now, queue)
		kept := queue[:0]
		for position, w := range queue {
			if position >= scanLimit || !s.settle(now, w) {
				kept = append(kept, w)
			}
		}
		clear(queue[len(kept):])
		s.queues[service] = kept
	}
}

// settle grants or refuses a call and reports whether it is done with waiting.
func (s *Scheduler) settle(now time.Time, w *waiting) bool {
	if !now.Before(w.ask.GiveUp) {
		s.refuse(now, w.ask, RefusedTime)
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
	slices.SortStableFunc(queue, func(a, b *waiting) int {
		return cmp.Or(
			cmp.Compare(a.ask.Urgency, b.ask.Urgency),
			compareBool(s.isLate(now, a), s.isLate(now, b)),
			a.ask.Arrived.Compare(b.ask.Arrived),
		)
	})
}

// isLate reports whether the call misses its target even if an idle engine starts it now.
func (s *Scheduler) isLate(now time.Time, w *waiting) bool {
	return now.Add(s.shortest(w.ask)).After(w.ask.Target)
}

func (s *Scheduler) shortest(m Ask) time.Duration {
	if m.Prompt == nil {
		return 0
	}
	return readTime(m.Prompt.Input, 1)/2 + stepTime
}

func (s *Scheduler) grant(now time.Time, w *waiting, c candidate) {
	m := w.ask
	run := &running{ask: m, node: c.node, sent: now, predicted: c.ordinary}
	if m.Prompt != nil {
		run.unread = m.Prompt.Input - c.cached - c.fetched
		run.memory = m.Prompt.Input + expectedOutput(m.Prompt)
		run.copying = c.copying
		c.node.grow(now, run.unread, run.copying)
	}
	c.node.runs[m.Call] = run
	s.running[m.Call] = run
	if m.Prompt != nil {
		c.node.cache.add(w.prefixes[c.weights], c.node.totals().Memory)
		s.report.placed(c.node, w.prefixes[c.weights])
	}
	s.report.changed(c.node)
	if m.IsRepeat {
		s.budget(m.Service).repeats.add(now)
	}
	s.actions = append(s.actions, Grant{
		Call: m.Call, Upstream: c.node.listed, Weights: c.weights, Cached: c.cached,
		Fetched: c.fetched, Fetch: c.fetch, Save: s.planSaves(now, m, c.weights),
		Predicted: c.first, Waited: now.Sub(m.Arrived), Urgency: m.Urgency,
	})
}

func expectedOutput(prompt *spoke.PromptShape) spoke.TokenCount {
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
