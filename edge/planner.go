package edge

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

const (
	// planTick lets waiting calls be looked at again and gathers news for the other hosts.
	planTick = 20 * time.Millisecond
	// wholeEvery is the interval of whole accounts, which make good those that were lost.
	wholeEvery = time.Second
	planQueue  = 1024
	mostMarks  = 16
)

// errOutdatedWeights ends an attempt that has not begun on weights that must not be used any more.
var errOutdatedWeights = errors.New("weights are outdated")

type (
	// planned is a message for the scheduler and where the answer to a call goes.
	planned struct {
		message place.Message
		reply   chan place.Action
		// recall ends the attempt that follows a grant.
		recall context.CancelCauseFunc
	}

	// neighbours are the addresses of the other hosts.
	neighbours struct {
		cell  place.SetCell
		near  []netip.AddrPort
		other []netip.AddrPort
	}

	// planner is the task that owns the scheduler.
	planner struct {
		scheduler *place.Scheduler
		timer     spoke.Timer
		log       logrus.FieldLogger
		in        chan planned
		peers     chan neighbours
		replies   map[spoke.CallNumber]chan place.Action
		recalls   map[spoke.CallNumber]context.CancelCauseFunc
		send      func(spoke.HostReport, []netip.AddrPort)
		// contested is called with each store that this host follows and another one tells of.
		contested  func(spoke.ServiceName)
		quarantine *marks
		known      *knowledge
		neighbours neighbours
		told       time.Time
		toldAll    time.Time
		farTurns   place.GroupRotation
		steps      place.PollInterval
		// accounts is the time between two accounts.
		accounts time.Duration
	}
)

func newPlanner(scheduler *place.Scheduler, timer spoke.Timer, log logrus.FieldLogger, quarantine *marks, known *knowledge, send func(spoke.HostReport, []netip.AddrPort)) *planner {
	steps, accounts := place.IntervalsFor(1)
	return &planner{
		steps: steps, accounts: accounts,
		scheduler: scheduler, timer: timer, log: log, send: send, quarantine: quarantine, known: known,
		in:      make(chan planned, planQueue),
		peers:   make(chan neighbours, 1),
		replies: make(map[spoke.CallNumber]chan place.Action),
		recalls: make(map[spoke.CallNumber]context.CancelCauseFunc),
	}
}

// run handles messages until ctx ends.
func (p *planner) run(ctx context.Context) error {
	length := planTick
	tick := p.timer.Every(length)
	defer func() { tick.Stop() }()
	for {
		wanted := length
		select {
		case m := <-p.in:
			p.handle(m)
			wanted = p.steps.AfterMessage(p.scheduler.HasWaitingCalls())
		case p.neighbours = <-p.peers:
			p.steps, p.accounts = place.IntervalsFor(p.neighbours.hosts())
			p.step(p.neighbours.cell)
		case <-tick.C():
			p.known.step()
			if p.scheduler.NeedsTick(p.timer.Now()) {
				p.handle(planned{message: place.Tick{}})
			}
			p.tell()
			wanted = p.steps.AfterTick(p.scheduler.HasWaitingCalls())
		case <-ctx.Done():
			return ctx.Err()
		}
		if wanted != length {
			tick.Stop()
			length, tick = wanted, p.timer.Every(wanted)
		}
	}
}

func (p *planner) handle(m planned) {
	switch message := m.message.(type) {
	case place.Request:
		p.replies[message.Call], p.recalls[message.Call] = m.reply, m.recall
	case place.Ended:
		delete(p.recalls, message.Call)
	case place.Withdraw:
		p.forget(message.Call)
		// The grant may have come before the withdrawal; without one this has no effect.
		p.step(place.Ended{Call: message.Call, Ending: place.EndCancelled})
	}
	p.step(m.message)
}

func (p *planner) forget(call spoke.CallNumber) {
	delete(p.replies, call)
	delete(p.recalls, call)
}

// step lets the scheduler handle a message and passes its decisions on.
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
	case place.Refuse:
		call = a.Call
		delete(p.recalls, call)
	case place.Recall:
		p.recall(a.Call)
		return
	case place.StoreConflict:
		p.contested(a.Store)
		return
	}
	reply := p.replies[call]
	delete(p.replies, call)
	if reply != nil {
		reply <- action
		return
	}
	if _, isGrant := action.(place.Grant); isGrant {
		// The caller left between its request and the grant.
		delete(p.recalls, call)
		p.step(place.Ended{Call: call, Ending: place.EndCancelled})
	}
}

// recall ends an attempt that must not begin any more.
func (p *planner) recall(call spoke.CallNumber) {
	if end := p.recalls[call]; end != nil {
		end(errOutdatedWeights)
	}
}

// tell sends the account of this host to the others if there is news.
func (p *planner) tell() {
	now := p.timer.Now()
	p.tellFar(now)
	if now.Sub(p.told) < p.accounts-planTick/2 {
		return
	}
	isWhole := now.Sub(p.toldAll) >= wholeEvery-planTick/2
	if !isWhole && !p.scheduler.HasChanges() {
		return
	}
	p.told = now
	if isWhole {
		p.toldAll = now
		p.step(place.Tick{})
	}
	account := p.complete(now, p.scheduler.LoadReport(now, isWhole))
	p.send(account, p.neighbours.near)
	if rest, ok := p.scheduler.ForOtherCells(account); ok {
		p.send(rest, p.neighbours.other)
	}
}

// tellFar sends its account to the group of far hosts whose turn it is.
func (p *planner) tellFar(now time.Time) {
	if p.neighbours.cell.Count <= 1 {
		return
	}
	group, ok := p.farTurns.Due(now)
	if !ok {
		return
	}
	share, hasNews := p.scheduler.OtherCellReport(now, group)
	share = p.complete(now, share)
	if hasNews || (len(share.Marks) > 0 && !p.neighbours.cell.HasDelegates) {
		p.send(share, p.neighbours.group(group))
	}
}

// complete adds what the host itself knows to an account.
func (p *planner) complete(now time.Time, account spoke.HostReport) spoke.HostReport {
	account.Directory = p.known.view()
	account.Marks = p.quarantine.list(now, mostMarks)
	return account
}

// hosts returns the number of hosts, this one included.
func (n neighbours) hosts() int { return len(n.near) + len(n.other) + 1 }

// group returns the far hosts of a group.
func (n neighbours) group(group int) []netip.AddrPort {
	var members []netip.AddrPort
	for i := group; i < len(n.other); i += place.OtherCellGroups {
		members = append(members, n.other[i])
	}
	return members
}

// ask waits for an upstream or a refusal; it withdraws the call when ctx ends. A grant may be
// recalled later.
func (p *planner) ask(ctx context.Context, ask place.Request, recall context.CancelCauseFunc) (place.Action, error) {
	reply := make(chan place.Action, 1)
	select {
	case p.in <- planned{message: ask, reply: reply, recall: recall}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case action := <-reply:
		return action, nil
	case <-ctx.Done():
	}
	p.in <- planned{message: place.Withdraw{Call: ask.Call}}
	return nil, ctx.Err()
}
