package edge

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/crash"
	"magnoliaspoke.example/spoke/place"
)

const (
	// plannerInterval is the initial interval at which waiting calls are reconsidered and load reports
	// are batched.
	plannerInterval = 20 * time.Millisecond
	// fullReportInterval is the interval of full load reports, which make up for lost ones.
	fullReportInterval = time.Second
	queueLength        = 1024
	maxMarks           = 16
)

// errOutdatedWeights is the cause with which an attempt is cancelled that has not begun and whose weights
// must no longer be used.
var errOutdatedWeights = errors.New("weights are outdated")

type (
	// runsQuery asks for the other calls at the upstream of a call.
	runsQuery struct {
		call spoke.CallNumber
		// endedAt is when the answer to the call ended.
		endedAt time.Time
		reply   chan place.OtherRuns
	}

	// schedulerMessage is a message for the scheduler, with the channel for the answer to a call, or a query.
	schedulerMessage struct {
		message place.Message
		query   *runsQuery
		reply   chan place.Action
		// parts are all parts of the prompt of a call.
		parts []spoke.PromptPart
		// recall cancels the attempt that follows a grant.
		recall context.CancelCauseFunc
	}

	// peerAddresses are the addresses of the other hosts, in the cell of this one and in other cells.
	peerAddresses struct {
		cell       place.SetCell
		sameCell   []netip.AddrPort
		otherCells []netip.AddrPort
		// byCell holds otherCells by their cell.
		byCell map[int][]netip.AddrPort
	}

	// waitingCall is a call without a decision of the scheduler.
	waitingCall struct {
		reply chan place.Action
		parts []spoke.PromptPart
	}

	// planner is the task that owns the scheduler and publishes its load reports.
	planner struct {
		scheduler *place.Scheduler
		timer     spoke.Timer
		log       logrus.FieldLogger
		in        chan schedulerMessage
		peers     chan peerAddresses
		waiting   map[spoke.CallNumber]waitingCall
		recalls   map[spoke.CallNumber]context.CancelCauseFunc
		send      func(spoke.HostReport, []netip.AddrPort)
		// reportConflict is called with each store that this host follows and that another host reports too.
		reportConflict func(spoke.ServiceName)
		// checkHealth sends a health request.
		checkHealth func(place.CheckHealth)
		quarantine  *quarantine
		// sentMarks selects the marks of the next report to the cell. Others get all in their rotation.
		sentMarks   crash.MarkChanges
		parts       *partQuarantine
		origins     *origins
		conf        *configState
		metrics     *metrics
		suspensions *suspensionMeter
		// takesNoDetours reports whether this host relays no connections of others, true while it is cut off or stops.
		takesNoDetours func() bool
		peerAddresses  peerAddresses
		reportedAt     time.Time
		fullReportAt   time.Time
		groupRotation  place.GroupRotation
		pollInterval   place.PollInterval
		// reportInterval is the time between two load reports.
		reportInterval time.Duration
	}
)

func newPlanner(scheduler *place.Scheduler, timer, boot spoke.Timer, log logrus.FieldLogger, quarantine *quarantine, parts *partQuarantine, conf *configState, metrics *metrics, send func(spoke.HostReport, []netip.AddrPort)) *planner {
	pollInterval, reportInterval := place.IntervalsFor(1)
	return &planner{
		pollInterval: pollInterval, reportInterval: reportInterval,
		scheduler: scheduler, timer: timer, log: log, send: send, quarantine: quarantine, parts: parts, conf: conf, metrics: metrics,
		in:          make(chan schedulerMessage, queueLength),
		peers:       make(chan peerAddresses, 1),
		suspensions: newSuspensionMeter(timer, boot),
		waiting:     make(map[spoke.CallNumber]waitingCall),
		recalls:     make(map[spoke.CallNumber]context.CancelCauseFunc),
	}
}

// run handles messages until ctx ends.
func (p *planner) run(ctx context.Context) error {
	length := plannerInterval
	tick := p.timer.Every(length)
	defer func() { tick.Stop() }()
	for {
		wanted := length
		select {
		case m := <-p.in:
			p.handle(m)
			p.applyCrashes()
			wanted = p.pollInterval.AfterMessage(p.scheduler.HasWaitingCalls())
		case p.peerAddresses = <-p.peers:
			p.pollInterval, p.reportInterval = place.IntervalsFor(p.peerAddresses.hostCount())
			if p.scheduler.IsRollingOut(p.timer.Now()) || p.conf.hasReturned() {
				// Hosts that have just started do not know the age of the weights, or a table that the directory
				// has lost.
				p.fullReportAt = time.Time{}
			}
			p.step(p.peerAddresses.cell)
			p.parts.setHosts(p.peerAddresses.cell.Hosts)
			p.quarantine.registry.SetHosts(p.parts.self, p.peerAddresses.cell.Hosts)
		case <-tick.C():
			p.conf.recordStep()
			p.countSuspension()
			if p.scheduler.NeedsTick(p.timer.Now()) {
				p.handle(schedulerMessage{message: place.Tick{}})
			}
			p.publishLoad()
			wanted = p.pollInterval.AfterTick(p.scheduler.HasWaitingCalls())
		case <-ctx.Done():
			return ctx.Err()
		}
		if wanted != length {
			tick.Stop()
			length, tick = wanted, p.timer.Every(wanted)
		}
	}
}

func (p *planner) handle(m schedulerMessage) {
	if m.query != nil {
		m.query.reply <- p.scheduler.OtherRuns(m.query.call, m.query.endedAt)
		return
	}
	switch message := m.message.(type) {
	case place.SetWantedWeights:
		p.countSuspension()
	case place.ReceiveReport:
		if len(message.Report.WantedAges) > 0 || message.Report.Sent.Clock != 0 {
			p.countSuspension()
		}
	case place.Request:
		p.waiting[message.Call], p.recalls[message.Call] = waitingCall{m.reply, m.parts}, m.recall
	case place.Ended:
		delete(p.recalls, message.Call)
	case place.Withdraw:
		p.forget(message.Call)
		// The call may have been granted before its withdrawal; if not, this has no effect.
		p.step(place.Ended{Call: message.Call, Ending: place.EndCancelled})
	}
	p.step(m.message)
}

// otherRuns returns the other calls at the upstream of a call, after all messages before the query; false if ctx has ended.
func (p *planner) otherRuns(ctx context.Context, call spoke.CallNumber, endedAt time.Time) (place.OtherRuns, bool) {
	query := &runsQuery{call: call, endedAt: endedAt, reply: make(chan place.OtherRuns, 1)}
	p.in <- schedulerMessage{query: query}
	select {
	case others := <-query.reply:
		return others, true
	case <-ctx.Done():
		return place.OtherRuns{}, false
	}
}

// countSuspension makes the scheduler count the time for which the machine was suspended. Ages that arrive behind a
// suspension include it, so that it must be counted before them.
func (p *planner) countSuspension() {
	suspended := p.suspensions.measure()
	if suspended == 0 {
		return
	}
	p.log.WithField("for", suspended.String()).Warn("machine was suspended")
	p.step(place.Suspended{For: suspended})
}

func (p *planner) forget(call spoke.CallNumber) {
	delete(p.waiting, call)
	delete(p.recalls, call)
}

// step passes a message to the scheduler and carries out its decisions.
func (p *planner) step(message place.Message) {
	for _, action := range p.scheduler.Handle(p.timer.Now(), message) {
		p.answer(action)
	}
}

func (p *planner) answer(action place.Action) {
	var call spoke.CallNumber
	switch a := action.(type) {
	case place.Grant:
		call = a.Call
		if a.IsCold {
			p.metrics.addColdCall()
		}
	case place.Refuse:
		call = a.Call
		delete(p.recalls, call)
	case place.Recall:
		p.recall(a)
		return
	case place.LimitChanged:
		p.logLimit(a)
		return
	case place.BrittleChanged:
		p.logBrittle(a)
		return
	case place.ColdChanged:
		p.logCold(a)
		return
	case place.CheckHealth:
		p.checkHealth(a)
		return
	case place.WantedAgeChanged:
		p.logWantedAge(a)
		return
	case place.DoubtsIgnored:
		p.log.WithFields(logrus.Fields{"host": a.Host, "service": a.Service, "doubted": a.Doubted, "upstreams": a.Upstreams}).
			Info("doubts of a host that reaches few upstreams are ignored")
		return
	case place.SpeedChanged:
		p.logSpeed(a)
		return
	case place.StoreConflict:
		p.reportConflict(a.Store)
		return
	}
	reply := p.waiting[call].reply
	delete(p.waiting, call)
	if reply != nil {
		reply <- action
		return
	}
	if _, isGrant := action.(place.Grant); isGrant {
		// The call was withdrawn before the grant.
		delete(p.recalls, call)
		p.step(place.Ended{Call: call, Ending: place.EndCancelled})
	}
}

// recall cancels an attempt that must no longer begin.
func (p *planner) recall(a place.Recall) {
	cancel := p.recalls[a.Call]
	switch {
	case cancel == nil:
	case a.IsEvacuated:
		p.recallEvacuated(cancel)
	default:
		p.metrics.addRecalled()
		cancel(&recallError{silence: p.scheduler.SilenceOf(p.timer.Now(), a.Call)})
	}
}

// logWantedAge logs that another host has reported a better time since which weights are wanted.
func (p *planner) logWantedAge(a place.WantedAgeChanged) {
	p.log.WithFields(logrus.Fields{
		"model": a.Wanted.Model, "version": a.Wanted.Version, "before": a.Before.String(), "age": a.Age.String(),
		"was-estimate": a.WasEstimate, "reported-by": a.Host,
	}).Info("age of wanted weights changed")
}

// publishLoad sends the load report of this host to the others if it has changed or a full one is due.
func (p *planner) publishLoad() {
	p.applyCrashes()
	now := p.timer.Now()
	p.publishOtherCellLoad(now)
	if now.Sub(p.reportedAt) < p.reportInterval-plannerInterval/2 {
		return
	}
	isFull := now.Sub(p.fullReportAt) >= fullReportInterval-plannerInterval/2
	if !isFull && !p.scheduler.HasChanges() {
		return
	}
	p.sendReport(now, isFull)
}

// sendReport sends the load report of this host to those of its cell, and the urgent part of it to others.
func (p *planner) sendReport(now time.Time, isFull bool) {
	p.reportedAt = now
	if isFull {
		p.fullReportAt = now
		p.step(place.DirectorySeen{Age: p.conf.age()})
		p.step(place.Tick{})
	}
	report := p.addHostState(now, p.scheduler.LoadReport(now, isFull))
	report.Marks = p.sentMarks.Select(now, report.Marks, isFull)
	crashes, hasCrashes := p.parts.report(now, isFull)
	report.Crashes = crashes
	p.send(report, p.peerAddresses.sameCell)
	rest, ok := p.scheduler.ForOtherCells(now, report)
	if isFull {
		// Hosts of other cells get it in their rotation.
		rest.Crashes, hasCrashes = spoke.CrashReport{}, false
	}
	if !ok && !hasCrashes {
		return
	}
	if !place.DiffersByCell(rest) {
		// Encoding the same report for each cell costs 0.5 ms at 46 cells.
		p.send(rest, p.peerAddresses.otherCells)
		return
	}
	for cell, hosts := range p.peerAddresses.byCell {
		if part, hasContent := p.scheduler.ForCell(rest, cell); hasContent || hasCrashes {
			p.send(part, hosts)
		}
	}
}

// publishOtherCellLoad sends a load report to the group of hosts in other cells whose report is due, if any.
func (p *planner) publishOtherCellLoad(now time.Time) {
	if p.peerAddresses.cell.Count <= 1 {
		return
	}
	group, ok := p.groupRotation.Due(now)
	if !ok {
		return
	}
	report, hasContent := p.scheduler.OtherCellReport(now, group)
	report = p.addHostState(now, report)
	var hasCrashes bool
	report.Crashes, hasCrashes = p.otherCellCrashes(now)
	if hasContent || hasCrashes || (len(report.Marks) > 0 && !p.peerAddresses.cell.HasDelegates) {
		p.send(report, p.peerAddresses.otherCellGroup(group))
	}
}

// addHostState adds the directory view and the quarantine marks of this host to a load report.
func (p *planner) addHostState(now time.Time, report spoke.HostReport) spoke.HostReport {
	report.Directory = p.conf.view()
	report.TakesNoDetours = p.takesNoDetours()
	if report.IsSnapshot {
		report.Directory = p.conf.fullView()
		report.Software, report.SoftwareKnown = p.origins.software()
	}
	report.Marks = p.quarantine.list(now, maxMarks)
	return report
}

// hostCount returns the number of hosts, including this one.
func (a peerAddresses) hostCount() int { return len(a.sameCell) + len(a.otherCells) + 1 }

// otherCellGroup returns the hosts of other cells that belong to a group.
func (a peerAddresses) otherCellGroup(group int) []netip.AddrPort {
	var members []netip.AddrPort
	for i := group; i < len(a.otherCells); i += place.OtherCellGroups {
		members = append(members, a.otherCells[i])
	}
	return members
}

// requestUpstream waits for a grant or a refusal and withdraws the call when ctx ends. A grant may be
// recalled later.
func (p *planner) requestUpstream(ctx context.Context, request place.Request, parts []spoke.PromptPart, recall context.CancelCauseFunc) (place.Action, error) {
	reply := make(chan place.Action, 1)
	select {
	case p.in <- schedulerMessage{message: request, reply: reply, parts: parts, recall: recall}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case action := <-reply:
		return action, nil
	case <-ctx.Done():
	}
	p.in <- schedulerMessage{message: place.Withdraw{Call: request.Call}}
	return nil, ctx.Err()
}
