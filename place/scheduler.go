package place

import (
	"maps"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

type (
	// waiting is a call that has no upstream yet.
	waiting struct {
		ask Request
		// prefixes are kept by weight version.
		prefixes map[spoke.WeightVersion][]spoke.PromptPrefix
		// home is the engine where prompts with the same shared parts meet, once it is known.
		home     *node
		holdings *holdings
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
		named     map[spoke.ModelName]naming
		budgets   map[spoke.ServiceName]*budget
		sources   copySources
		pressures map[spoke.ServiceName]pressure
		readings  map[spoke.ServiceName]*reading
		peers     map[spoke.HostID]*peer
		stores    []*store
		// departures outlive the nodes.
		departures departures
		// storedAt is an index of the parts of all stores.
		storedAt map[spoke.StoredKey][]*store
		// engineClock tells when copies are thrown away.
		engineClock engineClock
		report      report
		actions     []Action
	}
)

// NewScheduler returns a scheduler that knows no upstream.
func NewScheduler(settings Settings) *Scheduler {
	return &Scheduler{
		settings:   settings,
		services:   make(map[spoke.ServiceName]spoke.ServedService),
		nodes:      make(map[spoke.UpstreamID]*node),
		byService:  make(map[spoke.ServiceName][]*node),
		near:       make(map[spoke.ServiceName][]*node),
		cell:       SetCell{Count: 1},
		queues:     make(map[spoke.ServiceName][]*waiting),
		running:    make(map[spoke.CallNumber]*running),
		named:      make(map[spoke.ModelName]naming),
		budgets:    make(map[spoke.ServiceName]*budget),
		sources:    make(copySources),
		pressures:  make(map[spoke.ServiceName]pressure),
		readings:   make(map[spoke.ServiceName]*reading),
		peers:      make(map[spoke.HostID]*peer),
		departures: make(departures),
		storedAt:   make(map[spoke.StoredKey][]*store),
		report:     newReport(settings.Host),
	}
}

// Handle takes one message and returns the actions that follow from it.
func (s *Scheduler) Handle(now time.Time, message Message) []Action {
	s.actions = nil
	switch m := message.(type) {
	case Request:
		s.ask(now, m)
	case Withdraw:
		s.leave(m.Call)
	case Began:
		s.began(now, m)
	case Ended:
		s.ended(now, m)
	case UpdateStore:
		s.seeStore(now, m.State)
	case ObserveWeights:
		s.see(m.Upstream, m.Weights)
	case ReceiveReport:
		s.hear(now, m.Report)
	case RemovePeer:
		s.forgetPeer(now, m.Host)
	default:
		s.change(now, message)
		s.dispatch(now)
	}
	return s.actions
}

// change takes messages that are rare or let time pass, after which all waiting calls are looked at.
func (s *Scheduler) change(now time.Time, message Message) {
	switch m := message.(type) {
	case SetTable:
		s.services = m.Services
		s.setStores(m.Stores)
		s.resize()
	case SetUpstreams:
		s.setUpstreams(m)
	case SetWantedWeights:
		s.setWeights(now, m)
	case Pause:
		s.pause(now, m)
	case SetCell:
		s.cell = m
		s.index()
	case Tick:
		s.dropSilent(now)
		s.recallOutdated(now)
	}
}

// IsWaiting reports whether a call waits, so that time has to pass.
func (s *Scheduler) HasWaitingCalls() bool {
	for _, queue := range s.queues {
		if len(queue) > 0 {
			return true
		}
	}
	return false
}

func (s *Scheduler) setUpstreams(m SetUpstreams) {
	named := make(map[spoke.UpstreamID]bool, len(m.Listed))
	for _, listed := range m.Listed {
		named[listed.ID] = true
		s.setUpstream(listed)
	}
	for _, id := range m.Removed {
		delete(s.nodes, id)
	}
	if m.IsSnapshot {
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
	n = newNode(listed, s.capacity(listed.Service), s.reading(listed.Service))
	_, n.isDeparting = s.departures[startOf(listed)]
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

func (s *Scheduler) reading(service spoke.ServiceName) *reading {
	if s.readings[service] == nil {
		s.readings[service] = newReading()
	}
	return s.readings[service]
}
