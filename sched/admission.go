package sched

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const idleFlowSweepInterval = time.Second

// Admission implements spoke.Admission for the upstreams of one host.
type Admission struct {
	settings   settings
	random     *rand.Rand
	ranks      map[spoke.RankName]spoke.Rank
	workspaces map[spoke.WorkspaceID]spoke.Workspace
	queues     map[spoke.UpstreamID]*queue
	// sortedQueues lists the queues by upstream, so that actions have a deterministic order.
	sortedQueues []*queue
	entries      map[spoke.AttemptID]*entry
	inProgress   map[spoke.WorkspaceID]int
	actions      []spoke.AdmissionAction
	// pendingRefusals is a buffer of checkWaiting, reused to avoid allocations.
	pendingRefusals []pendingRefusal
}

// pendingRefusal is a waiting entry that cannot start in time, with its predicted wait.
type pendingRefusal struct {
	entry *entry
	wait  time.Duration
}

var _ spoke.Admission = (*Admission)(nil)

// NewAdmission returns an admission that owns no upstream yet.
func NewAdmission(options ...Option) *Admission {
	s := newSettings(options)
	return &Admission{
		settings:   s,
		random:     rand.New(rand.NewPCG(s.seed, s.seed)),
		ranks:      make(map[spoke.RankName]spoke.Rank),
		workspaces: make(map[spoke.WorkspaceID]spoke.Workspace),
		queues:     make(map[spoke.UpstreamID]*queue),
		entries:    make(map[spoke.AttemptID]*entry),
		inProgress: make(map[spoke.WorkspaceID]int),
	}
}

// Handle applies one message and returns the resulting actions.
func (a *Admission) Handle(now time.Time, message spoke.AdmissionMessage) []spoke.AdmissionAction {
	a.actions = nil
	switch m := message.(type) {
	case spoke.SubmitWork:
		a.submit(now, m.Item)
	case spoke.WithdrawWork:
		a.withdraw(now, m.Attempt)
	case spoke.FinishWork:
		a.finish(now, m)
	case spoke.ReportFirstToken:
		a.deliver(now, m.Attempt)
	case spoke.ConfigureAdmission:
		a.configure(now, m)
	case spoke.ReportLoad:
		a.reportLoad(now, m)
	case spoke.AdmissionTick:
		for _, q := range a.sortedQueues {
			a.advance(now, q)
		}
	}
	return a.actions
}

func (a *Admission) submit(now time.Time, item spoke.WorkItem) {
	if a.entries[item.Attempt] != nil {
		return
	}
	item.Cost = max(item.Cost, 1)
	if item.Enqueued.IsZero() || item.Enqueued.After(now) {
		item.Enqueued = now
	}
	e := &entry{item: item}
	q := a.queues[item.Upstream]
	if q == nil || !q.owned || q.draining {
		a.emitRefusal(e, a.noUpstreamRefusal(item.Upstream))
		return
	}
	if refusal := a.workspaceRefusal(q, item); refusal != nil {
		a.emitRefusal(e, refusal)
		return
	}
	a.enqueue(now, q, e)
	// Grants come before the prediction, so that an item that finds a free slot is not refused
	// because of a stale service rate.
	a.grantAll(now, q)
	if !e.running {
		a.checkEntry(now, e)
	}
	a.preempt(now, q)
}

func (a *Admission) enqueue(now time.Time, q *queue, e *entry) {
	c := q.class(a.rank(e.item.Rank))
	key := flowKey{e.item.Workspace, e.item.Solo}
	f := c.flow(key, a.weight(e.item.Workspace))
	f.lastSubmit = now
	c.push(e, f)
	q.countBelowShare(now, c, f)
	if !e.item.Resumed {
		c.offered.add(now, float64(e.item.Cost))
	}
	e.queue = q
	q.service.update(now, q.waiting > 0)
	q.waiting++
	a.entries[e.item.Attempt] = e
	a.inProgress[e.item.Workspace]++
}

func (a *Admission) withdraw(now time.Time, attempt spoke.AttemptID) {
	e := a.entries[attempt]
	if e == nil {
		return
	}
	a.remove(now, e)
	a.advance(now, e.queue)
}

func (a *Admission) finish(now time.Time, m spoke.FinishWork) {
	e := a.entries[m.Attempt]
	if e == nil || !e.running {
		return
	}
	q := e.queue
	limited := q.isAtLimit()
	a.remove(now, e)
	switch {
	case m.Busy:
		q.limit.ObserveBusy(now)
		e.class.charge(e, -e.item.Cost)
	case !m.Failed && !e.preempted:
		a.observe(now, e, m, limited)
	}
	a.advance(now, q)
}

func (a *Admission) observe(now time.Time, e *entry, m spoke.FinishWork, limited bool) {
	cost := e.item.Cost
	if m.Cost > 0 {
		cost = m.Cost
		e.class.charge(e, m.Cost-e.item.Cost)
	}
	if m.FirstToken > 0 {
		e.class.meanFirstToken = ewma(e.class.meanFirstToken, m.FirstToken.Seconds(), ratioGain)
	}
	// A resumed item lacks the prefill of its run, so its latencies do not match its cost.
	if e.item.Resumed || m.Duration <= 0 {
		return
	}
	e.queue.observeRate(cost, m.Duration)
	e.queue.limit.Observe(now, LatencySample{
		Started: e.started, Cost: cost, FirstToken: m.FirstToken, Duration: m.Duration,
		Concurrency: e.concurrency, Limited: limited,
	})
}

func (a *Admission) reportLoad(now time.Time, m spoke.ReportLoad) {
	q := a.queues[m.Upstream]
	if q == nil || m.Report.AsOf.Before(q.report.AsOf) {
		return
	}
	q.report = m.Report
	q.report.Versions = maps.Clone(m.Report.Versions)
	q.draining = m.Report.Draining
	q.limit.ObserveLoad(now, m.Report, len(q.running), q.isAtLimit())
	if q.draining {
		a.refuseWaiting(now, q)
	}
	a.advance(now, q)
}

// advance makes due grants, evicts idle flows, rechecks the predicted waits and preempts.
func (a *Admission) advance(now time.Time, q *queue) {
	q.service.update(now, q.waiting > 0)
	a.grantAll(now, q)
	if now.Sub(q.lastFlowSweep) >= idleFlowSweepInterval {
		q.lastFlowSweep = now
		for _, c := range q.classes {
			c.evictIdle(now)
		}
	}
	if now.Sub(q.lastCheck) >= a.settings.recheck {
		q.lastCheck = now
		a.checkWaiting(now, q)
	}
	a.preempt(now, q)
}

func (a *Admission) grantAll(now time.Time, q *queue) {
	for q.owned && !q.draining && q.waiting > 0 && q.hasFreeSlot() {
		c, f, byFloor := q.next(now)
		if c == nil {
			return
		}
		e := q.grant(now, c, f)
		e.byFloor = byFloor
		a.actions = append(a.actions, spoke.GrantWork{Attempt: e.item.Attempt})
		for _, victim := range q.prefillVictims(now, e) {
			if !q.preemptLimiter.take(now) {
				break
			}
			victim.preempted = true
			a.actions = append(a.actions, spoke.PreemptWork{Attempt: victim.item.Attempt})
		}
	}
}

func (a *Admission) preempt(now time.Time, q *queue) {
	if q.waiting == 0 || q.hasFreeSlot() {
		return
	}
	for _, e := range q.markPreemptions(now) {
		a.actions = append(a.actions, spoke.PreemptWork{Attempt: e.item.Attempt})
	}
}

// remove deletes a waiting or running entry, and its queue if that is no longer owned or in use.
func (a *Admission) remove(now time.Time, e *entry) {
	if e.running {
		e.queue.release(now, e)
	} else {
		e.queue.drop(e)
	}
	delete(a.entries, e.item.Attempt)
	a.inProgress[e.item.Workspace]--
	if a.inProgress[e.item.Workspace] == 0 {
		delete(a.inProgress, e.item.Workspace)
	}
	if !e.queue.owned && len(e.queue.running) == 0 {
		a.removeQueue(e.queue)
	}
}

func (a *Admission) removeQueue(q *queue) {
	delete(a.queues, q.upstream)
	a.sortedQueues = slices.DeleteFunc(a.sortedQueues, func(other *queue) bool { return other == q })
}

func (a *Admission) rank(name spoke.RankName) spoke.Rank {
	if rank, ok := a.ranks[name]; ok {
		return rank
	}
	return a.settings.unknownRank(name)
}

func (a *Admission) weight(id spoke.WorkspaceID) float64 {
	if weight := a.workspaces[id].Weight; weight > 0 {
		return weight
	}
	return 1
}
