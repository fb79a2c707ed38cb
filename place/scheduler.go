package place

import (
	"maps"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/finish"
)

type (
	// waitingCall is a call that has no upstream yet.
	waitingCall struct {
		request Request
		// prefixes are cached by weight version.
		prefixes map[spoke.WeightVersion][]spoke.PromptPrefix
		// affinity is the engine preferred for prompts with the same shared parts, nil until it is computed.
		affinity *node
		holders  *prefixHolders
	}

	// peer is the state from the last load report of another host.
	peer struct {
		receivedAt time.Time
		sequence   uint64
		waiting    []spoke.WaitingWork
	}

	// Scheduler assigns the calls of one host to upstreams.
	Scheduler struct {
		settings Settings
		services map[spoke.ServiceName]spoke.ServedService
		// removed are the services of earlier tables that are not in the current one.
		removed map[spoke.ServiceName]spoke.ServedService
		nodes   map[spoke.UpstreamID]*node
		// byService holds the nodes of a service in the order of their ids, cellNodes those that this
		// host's cell uses.
		byService map[spoke.ServiceName][]*node
		cellNodes map[spoke.ServiceName][]*node
		// cellOfUpstream holds the cell that uses each upstream, without those that all cells use.
		cellOfUpstream map[spoke.UpstreamID]int
		cell           SetCell
		evacuated      map[spoke.DataCentreID]bool
		queues         map[spoke.ServiceName][]*waitingCall
		running        map[spoke.CallNumber]*runningCall
		wanted         map[spoke.ModelName]versionHistory
		budgets        map[spoke.ServiceName]*budget
		sources        copySources
		queueDepths    map[spoke.ServiceName]queueDepth
		prefillModels  map[spoke.ServiceName]*prefillModel
		unanswered     unanswered
		finish         *finish.Model
		speeds         speeds
		peers          map[spoke.HostID]*peer
		// distrusted holds the times until which the doubts of hosts do not count.
		distrusted map[doubter]time.Time
		clock      reportClock
		senders    reportSenders
		stores     []*store
		// limits are kept after their nodes are removed.
		limits map[spoke.UpstreamStart]*limit
		// ramps and memberships are kept after their nodes are removed.
		ramps       map[spoke.UpstreamStart]*ramp
		memberships map[spoke.UpstreamID]*membership
		// hasCold says that the table has a service whose upstreams may be cold.
		hasCold bool
		// hasUpstreams is set once the directory has been read, so that upstreams listed later have started during traffic.
		hasUpstreams bool
		// usableAt is when this host may send calls to cold upstreams, rampsUpdatedAt when it last found who shares them.
		usableAt, rampsUpdatedAt time.Time
		// unlisted holds the upstreams that are no longer listed and at which this host has calls.
		unlisted map[spoke.UpstreamID]*node
		// directorySeenAt is when the directory was last reached, zero if nothing reports that.
		directorySeenAt time.Time
		// brittle is kept after the nodes are removed.
		brittle map[spoke.UpstreamStart]*brittleness
		// departures are kept after their nodes are removed.
		departures departures
		// storeIndex maps each stored part to the stores that may hold it.
		storeIndex map[spoke.StoredKey][]*store
		// engineClock gives the time after which engines discard unfinished copies.
		engineClock engineClock
		report      reportBuilder
		actions     []Action
	}
)

// NewScheduler returns a scheduler without upstreams.
func NewScheduler(settings Settings) *Scheduler {
	return &Scheduler{
		settings:      settings,
		services:      make(map[spoke.ServiceName]spoke.ServedService),
		removed:       make(map[spoke.ServiceName]spoke.ServedService),
		nodes:         make(map[spoke.UpstreamID]*node),
		unlisted:      make(map[spoke.UpstreamID]*node),
		byService:     make(map[spoke.ServiceName][]*node),
		cellNodes:     make(map[spoke.ServiceName][]*node),
		cell:          SetCell{Count: 1},
		queues:        make(map[spoke.ServiceName][]*waitingCall),
		running:       make(map[spoke.CallNumber]*runningCall),
		wanted:        make(map[spoke.ModelName]versionHistory),
		budgets:       make(map[spoke.ServiceName]*budget),
		sources:       make(copySources),
		queueDepths:   make(map[spoke.ServiceName]queueDepth),
		prefillModels: make(map[spoke.ServiceName]*prefillModel),
		unanswered:    newUnanswered(),
		finish:        finish.New(),
		speeds:        newSpeeds(),
		peers:         make(map[spoke.HostID]*peer),
		distrusted:    make(map[doubter]time.Time),
		senders:       make(reportSenders),
		limits:        make(map[spoke.UpstreamStart]*limit),
		ramps:         make(map[spoke.UpstreamStart]*ramp),
		memberships:   make(map[spoke.UpstreamID]*membership),
		brittle:       make(map[spoke.UpstreamStart]*brittleness),
		departures:    make(departures),
		storeIndex:    make(map[spoke.StoredKey][]*store),
		report:        newReportBuilder(settings.Host),
	}
}

// Handle processes one message and returns the resulting actions.
func (s *Scheduler) Handle(now time.Time, message Message) []Action {
	s.actions = nil
	switch m := message.(type) {
	case Request:
		s.admit(now, m)
	case Withdraw:
		s.withdraw(m.Call)
	case Began:
		s.began(now, m)
	case AnswerEnded:
		s.answerEnded(now, m.Call)
	case LimitNamed:
		s.limitNamed(now, m)
	case BrittleNamed:
		s.brittleNamed(now, m)
	case Ended:
		s.ended(now, m)
	case UpdateStore:
		s.updateStore(now, m)
	case StopFollowing:
		s.stopFollowing(m.Store)
	case ObserveWeights:
		s.observeWeights(m.Upstream, m.Weights)
	case ReceiveReport:
		s.receiveReport(now, m)
	case RemovePeer:
		s.removePeer(now, m.Host)
	default:
		s.applyChange(now, message)
		s.dispatch(now)
	}
	return s.actions
}

// applyChange processes infrequent messages and ticks, after which the queues are dispatched.
func (s *Scheduler) applyChange(now time.Time, message Message) {
	switch m := message.(type) {
	case SetTable:
		s.setServices(m.Services)
		s.setProfiles(now)
		s.setStores(m.Stores)
		s.resizeCaches()
	case SetUpstreams:
		s.setUpstreams(now, m)
	case SetWantedWeights:
		s.setWantedWeights(now, m)
	case Suspended:
		s.addSuspension(now, m.For)
	case Pause:
		s.pause(now, m)
	case WaysLost:
		s.loseWays(now)
	case SetCell:
		s.cell = m
		if s.usableAt.IsZero() {
			s.usableAt = now.Add(rampJoinDelay)
		}
		s.reindex(now)
		s.repeatLimits()
		s.repeatBrittle()
	case SetEvacuated:
		s.setEvacuated(now, m)
	case HealthChecked:
		s.healthChecked(now, m)
	case ConnectionFailed:
		if n := s.nodes[m.Upstream]; n != nil {
			s.failRamp(now, n)
		}
	case DirectorySeen:
		s.directorySeenAt = now.Add(-m.Age)
	case CoolDown:
		s.coolDown(now, m.DataCentre)
	case Tick:
		s.dropStale(now)
		s.followRamps(now)
		s.recallEvacuated(now)
		s.judgeAllSpeeds(now)
		for service := range s.unanswered.calls {
			s.announceUnanswered(now, service)
		}
		if s.IsRollingOut(now) {
			s.recallOutdated(now)
		}
	}
}

// HasWaitingCalls reports whether a call waits for an upstream and so depends on ticks.
func (s *Scheduler) HasWaitingCalls() bool {
	for _, queue := range s.queues {
		if len(queue) > 0 {
			return true
		}
	}
	return false
}

func (s *Scheduler) setUpstreams(now time.Time, m SetUpstreams) {
	listedIDs := make(map[spoke.UpstreamID]bool, len(m.Listed))
	for _, listed := range m.Listed {
		listedIDs[listed.ID] = true
		s.setUpstream(now, m.Age, listed)
	}
	s.hasUpstreams = s.hasUpstreams || m.IsSnapshot
	for _, id := range m.Removed {
		s.removeUpstream(id)
	}
	if m.IsSnapshot {
		for id := range s.nodes {
			if !listedIDs[id] {
				s.removeUpstream(id)
			}
		}
	}
	s.reindex(now)
}

func (s *Scheduler) setUpstream(now time.Time, age time.Duration, listed spoke.ListedUpstream) {
	n := s.nodes[listed.ID]
	if n != nil && n.listed.Started.Equal(listed.Started) && n.listed.Address == listed.Address && n.listed.Software == listed.Software {
		n.update(listed)
		s.listRamp(now, age, n, false)
		return
	}
	isOther := n != nil && (!n.listed.Started.Equal(listed.Started) || n.listed.Address != listed.Address)
	// An upstream that restarted under the same id starts with empty state.
	n = newNode(listed, s.capacity(listed.Service), s.prefillModel(listed.Service))
	_, n.isDeparting = s.departures[startOf(listed)]
	n.limit = s.limitOf(now, startOf(listed))
	s.nodes[listed.ID] = n
	s.listRamp(now, age, n, isOther)
}

func (s *Scheduler) reindex(now time.Time) {
	s.byService = make(map[spoke.ServiceName][]*node)
	s.cellNodes = make(map[spoke.ServiceName][]*node)
	s.cellOfUpstream = make(map[spoke.UpstreamID]int)
	for _, id := range slices.Sorted(maps.Keys(s.nodes)) {
		n := s.nodes[id]
		n.isEvacuated, n.region = s.evacuated[n.listed.DataCentre], s.settings.Regions[n.listed.DataCentre]
		s.byService[n.listed.Service] = append(s.byService[n.listed.Service], n)
	}
	for service, nodes := range s.byService {
		s.cellNodes[service] = s.assignCells(nodes)
	}
	for _, queue := range s.queues {
		for _, w := range queue {
			w.affinity = nil
		}
	}
	s.updateShares()
	s.updateBrittleShares()
	s.updateRampShares(now)
	s.updateSpeeds()
}

func (s *Scheduler) setServices(services map[spoke.ServiceName]spoke.ServedService) {
	maps.Copy(s.removed, s.services)
	for name := range services {
		delete(s.removed, name)
	}
	s.services = services
}

func (s *Scheduler) resizeCaches() {
	for _, n := range s.nodes {
		n.cache.capacity = s.capacity(n.listed.Service)
	}
}

func (s *Scheduler) capacity(service spoke.ServiceName) spoke.TokenCount {
	served, ok := s.services[service]
	if !ok {
		// Engines go on with the calls of a removed service.
		served = s.removed[service]
	}
	if served.Engine == nil {
		return 0
	}
	return served.Engine.CacheCapacity
}

func (s *Scheduler) budget(service spoke.ServiceName) *budget {
	if s.budgets[service] == nil {
		s.budgets[service] = newBudget(s.settings.RetryWindow)
	}
	return s.budgets[service]
}

func (s *Scheduler) prefillModel(service spoke.ServiceName) *prefillModel {
	if s.prefillModels[service] == nil {
		s.prefillModels[service] = newPrefillModel()
	}
	return s.prefillModels[service]
}
