package place

import (
	"maps"
	"time"

	"magnoliaspoke.example/spoke"
)

// maxPlaced bounds the placed prompts that one report lists.
const maxPlaced = 64

// reportBuilder collects changes for the next load reports.
type reportBuilder struct {
	host     spoke.HostID
	sequence uint64
	changes  map[spoke.UpstreamID]*node
	// givenUp holds the upstreams at which calls without a first event ended since the last report.
	givenUp map[spoke.UpstreamID]bool
	prompts []spoke.PlacedPrompt
	pauses  map[spoke.UpstreamID]reportedPause
	doubts  map[spoke.UpstreamID]time.Duration
	weights map[spoke.UpstreamID]spoke.ServedWeights
	// reportedWeights holds the weights of the last report that were new in it.
	reportedWeights map[spoke.UpstreamID]spoke.ServedWeights
	leaving         []spoke.UpstreamStart
	// limits holds the limits that have changed or been used since the last report, limitChanges those that
	// have changed since the last report to other cells.
	limits, limitChanges map[*limit]bool
	// brittle holds the brittle upstreams that have changed or rejected calls since the last report, brittleChanges
	// those that have changed since the last report to other cells.
	brittle, brittleChanges map[*brittleness]bool
	// cold holds the cold upstreams that have changed or been used since the last report, coldChanges those that have changed
	// since the last report to other cells.
	cold, coldChanges map[*ramp]bool
	// broken holds the doubts that rest on a broken answer rather than on a failed connection.
	broken map[spoke.UpstreamID]bool
	// copies holds the sources whose pending copies have changed since the last report.
	copies map[spoke.Address]bool
	// slowness holds the upstreams that have reported their slowness since the last report.
	slowness map[spoke.UpstreamID]*node
	// stores holds the store states that have not been sent to each group yet.
	stores [reportGroups][]spoke.StoreState
}

func newReportBuilder(host spoke.HostID) reportBuilder {
	return reportBuilder{
		host:    host,
		changes: make(map[spoke.UpstreamID]*node),
		givenUp: make(map[spoke.UpstreamID]bool),
		pauses:  make(map[spoke.UpstreamID]reportedPause),
		doubts:  make(map[spoke.UpstreamID]time.Duration),
		weights: make(map[spoke.UpstreamID]spoke.ServedWeights),
		copies:  make(map[spoke.Address]bool),
		limits:  make(map[*limit]bool), limitChanges: make(map[*limit]bool),
		brittle: make(map[*brittleness]bool), brittleChanges: make(map[*brittleness]bool),
		cold: make(map[*ramp]bool), coldChanges: make(map[*ramp]bool), broken: make(map[spoke.UpstreamID]bool),
		slowness: make(map[spoke.UpstreamID]*node),
	}
}

func (r *reportBuilder) changed(n *node) { r.changes[n.listed.ID] = n }

func (r *reportBuilder) gaveUp(n *node) { r.givenUp[n.listed.ID] = true }

func (r *reportBuilder) placed(n *node, prefixes []spoke.PromptPrefix) {
	if len(r.prompts) < maxPlaced && len(prefixes) > 0 {
		r.prompts = append(r.prompts, spoke.PlacedPrompt{Upstream: n.listed.ID, Prefixes: prefixes})
	}
}

func (r *reportBuilder) copied(from spoke.Address) { r.copies[from] = true }

func (r *reportBuilder) doubted(id spoke.UpstreamID, pause time.Duration) { r.doubts[id] = pause }

// takeBroken returns the doubts that rest on a broken answer and empties them.
func (r *reportBuilder) takeBroken() []spoke.UpstreamID {
	var broken []spoke.UpstreamID
	for id, is := range r.broken {
		if is {
			broken = append(broken, id)
		}
	}
	clear(r.broken)
	return broken
}

func (r *reportBuilder) served(id spoke.UpstreamID, seen spoke.ServedWeights) { r.weights[id] = seen }

// HasChanges reports whether there are changes that other hosts should receive.
func (s *Scheduler) HasChanges() bool {
	return len(s.report.changes)+len(s.report.pauses)+len(s.report.doubts)+len(s.report.weights)+len(s.report.leaving)+len(s.report.limits)+len(s.report.brittle)+len(s.report.cold)+len(s.report.stores[ownCellGroup]) > 0
}

// LoadReport returns the changes since the last report, or all work of this host if isFull is set.
func (s *Scheduler) LoadReport(now time.Time, isFull bool) spoke.HostReport {
	s.report.sequence++
	report := spoke.HostReport{
		Host: s.report.host, Sequence: s.report.sequence, IsSnapshot: isFull,
		Waiting: s.waitingWork(now), Placed: s.report.prompts,
		Paused: s.report.takePauses(now), Doubts: maps.Clone(s.report.doubts), Weights: maps.Clone(s.report.weights),
		Stores: s.storeUpdates(now, ownCellGroup), Leaving: s.report.leaving, Limits: s.limitReports(now), Brittle: takeBrittleReports(now, s.report.brittle),
	}
	report.Cold, report.BrokenDoubts = coldReports(now, s.report.cold), s.report.takeBroken()
	s.report.reportedWeights = maps.Clone(s.report.weights)
	nodes := s.report.changes
	if isFull {
		nodes, report.Sent = s.nodes, s.clock.sent(now)
		report.WantedAges, report.Leaving, report.Limits = s.wantedAges(now), s.departing(), s.allLimits(now)
		report.Brittle, report.Cold = s.allBrittle(now), s.allCold(now)
		report.Stores = append(report.Stores, s.repeatedStoreStates(now, ownCellGroup)...)
		maps.Copy(report.Weights, s.unlistedWeights())
	}
	for _, n := range nodes {
		if own := s.reportedLoad(now, n); own.Runs > 0 || own.BrokenAge > 0 || !isFull {
			report.Upstreams = append(report.Upstreams, own)
		}
	}
	for id, n := range s.unlisted {
		if isFull && s.nodes[id] == nil {
			report.Upstreams = append(report.Upstreams, s.reportedLoad(now, n))
		}
	}
	report.Slowness, report.Copies = s.report.takeSlowness(now), s.copyReports(now, isFull)
	report.Speeds = s.speedReports(now)
	clear(s.report.changes)
	clear(s.report.givenUp)
	clear(s.report.doubts)
	clear(s.report.weights)
	s.report.prompts, s.report.leaving = nil, nil
	return report
}

// ForOtherCells returns the part of a report that hosts of other cells need at once, and whether there is
// any.
func (s *Scheduler) ForOtherCells(now time.Time, report spoke.HostReport) (spoke.HostReport, bool) {
	report.IsSnapshot, report.Sent, report.Weights = false, spoke.SentTime{}, s.report.reportedWeights
	report.Upstreams, report.Waiting, report.Placed, report.Stores, report.WantedAges = nil, nil, nil, nil, nil
	report.Slowness, report.Speeds, report.Copies, report.Limits = nil, nil, nil, s.changedLimits(now)
	report.Brittle, report.Cold = takeBrittleReports(now, s.report.brittleChanges), coldReports(now, s.report.coldChanges)
	return report, hasCellContent(report)
}

// OtherCellReport returns the report for a group of hosts of other cells, and whether it has any content.
// Each host receives the reports of all others, so the cost of empty ones grows with the square of the
// hosts. For the same reason only the delegates of a cell report the state that all its hosts share.
func (s *Scheduler) OtherCellReport(now time.Time, group int) (spoke.HostReport, bool) {
	s.report.sequence++
	report := spoke.HostReport{
		Host: s.report.host, Sequence: s.report.sequence, IsSnapshot: true, Sent: s.clock.sent(now),
		Stores: append(s.storeUpdates(now, group), s.repeatedStoreStates(now, group)...),
	}
	if !s.cell.HasDelegates {
		report.Leaving, report.Limits, report.Brittle = s.departing(), s.allLimits(now), s.allBrittle(now)
		report.Cold = s.ownCold(now)
	}
	if !s.cell.HasDelegates && s.IsRollingOut(now) {
		report.WantedAges = s.wantedAges(now)
	}
	return report, len(report.Cold)+len(report.Leaving)+len(report.Limits)+len(report.Brittle)+len(report.Stores)+len(report.WantedAges) > 0
}

// unlistedWeights returns the weights that engines serve and their directory entries do not list yet, for
// hosts that started after they were first reported.
func (s *Scheduler) unlistedWeights() map[spoke.UpstreamID]spoke.ServedWeights {
	unlisted := make(map[spoke.UpstreamID]spoke.ServedWeights)
	for id, n := range s.nodes {
		for model, version := range n.weights {
			if version > n.listed.Weights[model] {
				unlisted[id] = spoke.ServedWeights{Model: model, Version: version}
			}
		}
	}
	return unlisted
}

// departing returns the listed upstreams that have announced that they leave.
func (s *Scheduler) departing() []spoke.UpstreamStart {
	var starts []spoke.UpstreamStart
	for start := range s.departures {
		if n := s.nodes[start.ID]; n != nil && startOf(n.listed) == start {
			starts = append(starts, start)
		}
	}
	return starts
}

// wantedAges returns how long ago versions became wanted according to the directory, unless nothing is known of that.
// Ages that other hosts have reported are left out, so that each host corrects those that it took over from reports
// which were delayed, and none gets its own back.
func (s *Scheduler) wantedAges(now time.Time) []spoke.WantedAge {
	ages := make([]spoke.WantedAge, 0, len(s.wanted))
	for model, versions := range s.wanted {
		for _, known := range versions {
			age := now.Sub(known.own.since)
			if !known.isListed || known.own.isEstimate && age >= UnknownAge {
				continue
			}
			ages = append(ages, spoke.WantedAge{
				Wanted: spoke.WantedWeights{Model: model, Version: known.version}, Age: age, IsEstimate: known.own.isEstimate,
			})
		}
	}
	return ages
}

// waitingWork sums up the waiting calls of this host by service and urgency, without those of services at which
// nothing is answered.
func (s *Scheduler) waitingWork(now time.Time) []spoke.WaitingWork {
	var work []spoke.WaitingWork
	for service, queue := range s.queues {
		if s.unanswered.is(now, service) {
			continue
		}
		for _, w := range queue {
			work = addWaiting(work, service, w.request)
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
			work[i].Calls++
			work[i].Tokens += tokens
			return work
		}
	}
	return append(work, spoke.WaitingWork{Service: service, Urgency: m.Urgency, Calls: 1, Tokens: tokens})
}

// receiveReport applies the load report of another host. Reports that arrive out of order are dropped,
// unless none arrived from the host for peerTimeout: it may have restarted with lower sequence numbers.
func (s *Scheduler) receiveReport(now time.Time, m ReceiveReport) {
	report := m.Report
	known := s.peers[report.Host]
	if known == nil {
		known = &peer{}
		s.peers[report.Host] = known
		s.updateBrittleShares()
	}
	if report.Sequence <= known.sequence && now.Sub(known.receivedAt) < peerTimeout {
		return
	}
	known.receivedAt, known.sequence, known.waiting = now, report.Sequence, report.Waiting
	if report.IsSnapshot {
		s.removePeerLoads(report.Host)
	}
	for _, upstream := range report.Upstreams {
		if n := s.nodes[upstream.Upstream]; n != nil {
			n.updatePeerLoad(now, report.Host, upstream)
		}
		if n := s.unlisted[upstream.Upstream]; n != nil {
			n.updatePeerLoad(now, report.Host, upstream)
		}
	}
	s.applyCopies(now, report)
	for _, placed := range report.Placed {
		if n := s.nodes[placed.Upstream]; n != nil {
			n.cache.add(placed.Prefixes, n.totals().Memory)
		}
	}
	delay := s.delayOf(now, m)
	s.applyState(now, delay, report)
	s.applyWantedAges(now, delay, m)
}

// applyState applies the parts of a report other than the work of the host.
func (s *Scheduler) applyState(now time.Time, delay time.Duration, report spoke.HostReport) {
	for id, pause := range report.Paused {
		if n := s.nodes[id]; n != nil {
			n.pauseForLoading(now, pause)
		}
	}
	s.applyDoubts(now, report)
	s.applyColdDoubts(now, report)
	s.applySpeeds(now, report)
	for _, state := range report.Stores {
		if st := s.storeOf(state.Store); st != nil {
			s.applyReported(now, now.Add(-delay), report.Host, st, state)
		}
	}
	s.applyDepartures(now, report.Leaving)
	s.applyLimits(now, report)
	s.applyBrittle(now, report)
	s.applyCold(now, delay, report)
	for _, reported := range report.Slowness {
		if n := s.nodes[reported.Upstream]; n != nil {
			n.slowness.Observe(reported.Slowness, now.Add(-max(reported.Age, 0)))
		}
	}
	for id, seen := range report.Weights {
		if n := s.nodes[id]; n != nil {
			n.observeWeights(seen.Model, seen.Version)
		}
	}
}

// updatePeerLoad updates another host's work at the upstream; fewer tokens to prefill than before show
// progress, unless the host has given up calls.
func (n *node) updatePeerLoad(now time.Time, host spoke.HostID, load spoke.HostUpstreamLoad) {
	added := load.Prefill - n.peers[host].Prefill
	copyTime := load.CopyTime - n.peers[host].CopyTime
	if added > 0 || copyTime > 0 {
		n.addWork(now, added, copyTime)
	}
	// The report was under way for a time that is not known, so that the end may have been earlier.
	n.peers[host] = peerLoad{HostUpstreamLoad: load, checkedAt: now.Add(-load.CheckedAge)}
	if load.BrokenAge > 0 {
		n.brokenElsewhereAt = now.Add(-load.BrokenAge)
	}
	switch {
	case load.HasGivenUp:
		n.forgetLostWork(now)
	case added < 0:
		n.recordProgress(now)
	}
}

func (s *Scheduler) removePeer(now time.Time, host spoke.HostID) {
	delete(s.peers, host)
	s.removePeerLoads(host)
	s.removeDoubts(host)
	s.updateBrittleShares()
	s.removeCopies(now, host)
}

func (s *Scheduler) removePeerLoads(host spoke.HostID) {
	for _, n := range s.nodes {
		delete(n.peers, host)
	}
	for _, n := range s.unlisted {
		delete(n.peers, host)
	}
}

// dropStale drops idle sources of copies, hosts without recent reports and limits of removed upstreams.
func (s *Scheduler) dropStale(now time.Time) {
	maps.DeleteFunc(s.sources, func(_ spoke.Address, source *copySource) bool { return source.isIdle(now) })
	s.senders.dropIdle(s.clock.reading(now))
	for host, known := range s.peers {
		if now.Sub(known.receivedAt) > peerTimeout {
			s.removePeer(now, host)
		}
	}
	maps.DeleteFunc(s.distrusted, func(_ doubter, until time.Time) bool { return !now.Before(until) })
	s.dropLimits(now)
	s.dropBrittle(now)
	s.dropRamps(now)
}
