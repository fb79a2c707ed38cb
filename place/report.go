package place

import (
	"maps"
	"time"

	"magnoliaspoke.example/spoke"
)

// mostPlaced bounds the prompts that one account names.
const mostPlaced = 64

// report collects what other hosts should hear.
type report struct {
	host    spoke.HostID
	number  uint64
	changes map[spoke.UpstreamID]*node
	prompts []spoke.PlacedPrompt
	pauses  map[spoke.UpstreamID]time.Duration
	weights map[spoke.UpstreamID]spoke.ListedWeights
	// toldWeights is the part of the last account's weights that was new.
	toldWeights map[spoke.UpstreamID]spoke.ListedWeights
	leaving     []spoke.UpstreamStart
	// copies holds the sources whose pending copies have changed since the last account.
	copies map[spoke.Address]bool
	// slowness holds the upstreams that have said how slow they are since the last account.
	slowness map[spoke.UpstreamID]*node
	// stores is what each group of listeners has not been told of stores.
	stores [listeners][]spoke.StoreState
}

func newReport(host spoke.HostID) report {
	return report{
		host:     host,
		changes:  make(map[spoke.UpstreamID]*node),
		pauses:   make(map[spoke.UpstreamID]time.Duration),
		weights:  make(map[spoke.UpstreamID]spoke.ListedWeights),
		copies:   make(map[spoke.Address]bool),
		slowness: make(map[spoke.UpstreamID]*node),
	}
}

func (r *report) changed(n *node) { r.changes[n.listed.ID] = n }

func (r *report) placed(n *node, prefixes []spoke.PromptPrefix) {
	if len(r.prompts) < mostPlaced && len(prefixes) > 0 {
		r.prompts = append(r.prompts, spoke.PlacedPrompt{Upstream: n.listed.ID, Prefixes: prefixes})
	}
}

func (r *report) copied(from spoke.Address) { r.copies[from] = true }

func (r *report) paused(id spoke.UpstreamID, pause time.Duration) { r.pauses[id] = pause }

func (r *report) saw(id spoke.UpstreamID, seen spoke.ListedWeights) { r.weights[id] = seen }

// HasNews reports whether other hosts should hear of changes.
func (s *Scheduler) HasChanges() bool {
	return len(s.report.changes)+len(s.report.pauses)+len(s.report.weights)+len(s.report.leaving)+len(s.report.stores[nearGroup]) > 0
}

// Account returns what changed since the last account, or all of this host's work.
func (s *Scheduler) LoadReport(now time.Time, isWhole bool) spoke.HostReport {
	s.report.number++
	share := spoke.HostReport{
		Host: s.report.host, Sequence: s.report.number, IsSnapshot: isWhole,
		Waiting: s.waitingWork(), Placed: s.report.prompts,
		Paused: maps.Clone(s.report.pauses), Weights: maps.Clone(s.report.weights),
		Stores: s.newsOfStores(nearGroup), Leaving: s.report.leaving,
	}
	s.report.toldWeights = maps.Clone(s.report.weights)
	nodes := s.report.changes
	if isWhole {
		nodes = s.nodes
		share.WantedAges, share.Leaving = s.wantedAges(now), s.departing()
		share.Stores = append(share.Stores, s.storesAgain(now, nearGroup)...)
		maps.Copy(share.Weights, s.unlistedWeights())
	}
	for _, n := range nodes {
		if own := n.own(); own.Runs > 0 || !isWhole {
			share.Upstreams = append(share.Upstreams, own)
		}
	}
	share.Slowness, share.Copies = s.report.saidSlowness(now), s.tellCopies(isWhole)
	clear(s.report.changes)
	clear(s.report.pauses)
	clear(s.report.weights)
	s.report.prompts, s.report.leaving = nil, nil
	return share
}

// ForOtherCells returns the part of an account that hosts of other cells need at once, and whether
// there is any.
func (s *Scheduler) ForOtherCells(share spoke.HostReport) (spoke.HostReport, bool) {
	share.IsSnapshot, share.Weights = false, s.report.toldWeights
	share.Upstreams, share.Waiting, share.Placed, share.Stores, share.WantedAges = nil, nil, nil, nil, nil
	share.Slowness, share.Copies = nil, nil
	return share, len(share.Paused)+len(share.Weights)+len(share.Leaving) > 0
}

// FarAccount returns the account for a group of hosts of other cells, and whether it says anything.
// Each host hears those of all others, so what one with nothing to say costs grows with the square
// of the hosts. For the same reason only the tellers of a cell repeat what all of its hosts know.
func (s *Scheduler) OtherCellReport(now time.Time, group int) (spoke.HostReport, bool) {
	s.report.number++
	share := spoke.HostReport{
		Host: s.report.host, Sequence: s.report.number, IsSnapshot: true,
		Stores: append(s.newsOfStores(group), s.storesAgain(now, group)...),
	}
	if !s.cell.HasDelegates {
		share.Leaving = s.departing()
	}
	if !s.cell.HasDelegates && s.isRollingOut(now) {
		share.WantedAges = s.wantedAges(now)
	}
	return share, len(share.Leaving)+len(share.Stores)+len(share.WantedAges) > 0
}

// unlistedWeights returns the weights that engines serve and their entries do not list yet, for
// hosts that have started since.
func (s *Scheduler) unlistedWeights() map[spoke.UpstreamID]spoke.ListedWeights {
	unlisted := make(map[spoke.UpstreamID]spoke.ListedWeights)
	for id, n := range s.nodes {
		for model, version := range n.weights {
			if version > n.listed.Weights[model] {
				unlisted[id] = spoke.ListedWeights{Model: model, Version: version}
			}
		}
	}
	return unlisted
}

// departing returns the listed upstreams that have said that they leave.
func (s *Scheduler) departing() []spoke.UpstreamStart {
	var starts []spoke.UpstreamStart
	for start := range s.departures {
		if n := s.nodes[start.ID]; n != nil && startOf(n.listed) == start {
			starts = append(starts, start)
		}
	}
	return starts
}

func (s *Scheduler) wantedAges(now time.Time) []spoke.WantedAge {
	ages := make([]spoke.WantedAge, 0, len(s.named))
	for model, versions := range s.named {
		for _, known := range versions {
			if known.isGuess {
				continue
			}
			ages = append(ages, spoke.WantedAge{
				Wanted: spoke.WantedWeights{Model: model, Version: known.version}, Age: now.Sub(known.since),
			})
		}
	}
	return ages
}

// waitingWork sums up what waits at this host.
func (s *Scheduler) waitingWork() []spoke.WaitingWork {
	var work []spoke.WaitingWork
	for service, queue := range s.queues {
		for _, w := range queue {
			work = addWaiting(work, service, w.ask)
		}
	}
	return work
}

func addWaiting(work []spoke.WaitingWork, service spoke.ServiceName, m Request) []spoke.WaitingWork {
	tokens := spoke.TokenCount(1)
	if m.Prompt != nil {
		tokens = m.Prompt.Input
	}
	for i := range work {
		if work[i].Service == service && work[i].Urgency == m.Urgency {
			work[i].Tokens += tokens
			return work
		}
	}
	return append(work, spoke.WaitingWork{Service: service, Urgency: m.Urgency, Tokens: tokens})
}

// hear takes the account of another host; one that was overtaken is old.
func (s *Scheduler) hear(now time.Time, share spoke.HostReport) {
	known := s.peers[share.Host]
	if known == nil {
		known = &peer{}
		s.peers[share.Host] = known
	}
	if share.Sequence <= known.number && now.Sub(known.heard) < peerSilence {
		return
	}
	known.heard, known.number, known.waiting = now, share.Sequence, share.Waiting
	if share.IsSnapshot {
		s.forgetShares(share.Host)
	}
	for _, upstream := range share.Upstreams {
		if n := s.nodes[upstream.Upstream]; n != nil {
			n.hear(now, share.Host, upstream)
		}
	}
	s.hearCopies(now, share)
	for _, placed := range share.Placed {
		if n := s.nodes[placed.Upstream]; n != nil {
			n.cache.add(placed.Prefixes, n.totals().Memory)
		}
	}
	s.hearState(now, share)
}

func (s *Scheduler) hearState(now time.Time, share spoke.HostReport) {
	for id, pause := range share.Paused {
		if n := s.nodes[id]; n != nil {
			n.hold(now, pause)
		}
	}
	for _, state := range share.Stores {
		if st := s.storeOf(state.Store); st != nil {
			st.take(now, state)
			s.engineClock.hear(now, state.Clock)
			s.indexStored(st, state.Stored)
			if st.isOwn {
				s.actions = append(s.actions, StoreConflict{Store: st.Name})
			}
			st.isOwn = false
		}
	}
	s.hearDepartures(now, share.Leaving)
	for _, said := range share.Slowness {
		if n := s.nodes[said.Upstream]; n != nil {
			n.slowness.hear(said.Slowness, now.Add(-max(said.Age, 0)))
		}
	}
	for _, known := range share.WantedAges {
		s.setWeights(now, SetWantedWeights{Wanted: known.Wanted, Age: known.Age})
	}
	for id, seen := range share.Weights {
		if n := s.nodes[id]; n != nil {
			n.seeWeights(seen.Model, seen.Version)
		}
	}
}

// hear takes another host's work; less to read than before is a sign of progress.
func (n *node) hear(now time.Time, host spoke.HostID, share spoke.HostUpstreamLoad) {
	more := share.Prefill - n.peers[host].Prefill
	copying := share.TransferTime - n.peers[host].TransferTime
	if more > 0 || copying > 0 {
		n.grow(now, more, copying)
	}
	n.peers[host] = share
	if more < 0 {
		n.progressed(now)
	}
}

func (s *Scheduler) forgetPeer(now time.Time, host spoke.HostID) {
	delete(s.peers, host)
	s.forgetShares(host)
	s.forgetCopies(now, host)
}

func (s *Scheduler) forgetShares(host spoke.HostID) {
	for _, n := range s.nodes {
		delete(n.peers, host)
	}
}

func (s *Scheduler) dropSilent(now time.Time) {
	maps.DeleteFunc(s.sources, func(_ spoke.Address, source *copySource) bool { return source.isIdle(now) })
	for host, known := range s.peers {
		if now.Sub(known.heard) > peerSilence {
			s.forgetPeer(now, host)
		}
	}
}
