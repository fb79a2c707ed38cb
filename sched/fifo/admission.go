package fifo

import (
	"maps"
	"slices"
	"strings"
	"time"

	"magnoliaspoke.example/spoke"
)

type (
	// Admission grants in order of arrival up to a fixed limit per upstream.
	Admission struct {
		limit int
		// byRank makes urgent ranks go first, without floors.
		byRank  bool
		orders  map[spoke.RankName]int
		queues  map[spoke.UpstreamID]*queue
		places  map[spoke.AttemptID]*queue
		actions []spoke.AdmissionAction
	}

	// Option changes a setting of an Admission.
	Option func(*Admission)

	queue struct {
		upstream spoke.UpstreamID
		owned    bool
		waiting  []spoke.WorkItem
		running  map[spoke.AttemptID]bool
		report   spoke.LoadReport
	}
)

var _ spoke.Admission = (*Admission)(nil)

// WithPriority makes the baseline serve urgent ranks strictly first.
func WithPriority() Option { return func(a *Admission) { a.byRank = true } }

// NewAdmission returns a baseline that runs at most limit items per upstream.
func NewAdmission(limit int, options ...Option) *Admission {
	a := &Admission{
		limit:  limit,
		orders: make(map[spoke.RankName]int),
		queues: make(map[spoke.UpstreamID]*queue),
		places: make(map[spoke.AttemptID]*queue),
	}
	for _, option := range options {
		option(a)
	}
	return a
}

// Handle takes one message and returns the actions that follow from it.
func (a *Admission) Handle(_ time.Time, message spoke.AdmissionMessage) []spoke.AdmissionAction {
	a.actions = nil
	switch m := message.(type) {
	case spoke.SubmitWork:
		a.submit(m.Item)
	case spoke.WithdrawWork:
		a.remove(m.Attempt)
	case spoke.FinishWork:
		a.remove(m.Attempt)
	case spoke.ConfigureAdmission:
		clear(a.orders)
		for _, rank := range m.Ranks {
			a.orders[rank.Name] = rank.Order
		}
		a.configure(m.Owned)
	case spoke.ReportLoad:
		if q := a.queues[m.Upstream]; q != nil {
			q.report = m.Report
		}
	}
	return a.actions
}

// Summary returns the load of an owned upstream.
func (a *Admission) Summary(now time.Time, upstream spoke.UpstreamID) spoke.LoadSummary {
	q := a.queues[upstream]
	if q == nil || !q.owned {
		return spoke.LoadSummary{AsOf: now}
	}
	return spoke.LoadSummary{
		Queued: len(q.waiting), Running: len(q.running), Limit: a.limit,
		Versions: maps.Clone(q.report.Versions), Draining: q.report.Draining, AsOf: now,
	}
}

func (a *Admission) submit(item spoke.WorkItem) {
	if a.places[item.Attempt] != nil {
		return
	}
	q := a.queues[item.Upstream]
	if q == nil || !q.owned {
		a.refuse(item)
		return
	}
	a.places[item.Attempt] = q
	q.waiting = slices.Insert(q.waiting, a.position(q, item), item)
	a.grant(q)
}

// position is the index at which an item waits.
func (a *Admission) position(q *queue, item spoke.WorkItem) int {
	if a.byRank {
		for i, other := range q.waiting {
			if a.orders[other.Rank] > a.orders[item.Rank] {
				return i
			}
		}
	}
	return len(q.waiting)
}

func (a *Admission) remove(attempt spoke.AttemptID) {
	q := a.places[attempt]
	if q == nil {
		return
	}
	delete(a.places, attempt)
	delete(q.running, attempt)
	q.waiting = slices.DeleteFunc(q.waiting, func(item spoke.WorkItem) bool { return item.Attempt == attempt })
	a.grant(q)
}

func (a *Admission) grant(q *queue) {
	for q.owned && len(q.waiting) > 0 && len(q.running) < a.limit {
		item := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.running[item.Attempt] = true
		a.actions = append(a.actions, spoke.GrantWork{Attempt: item.Attempt})
	}
}

func (a *Admission) configure(owned []spoke.UpstreamID) {
	for _, upstream := range owned {
		if a.queues[upstream] == nil {
			a.queues[upstream] = &queue{upstream: upstream, running: make(map[spoke.AttemptID]bool)}
		}
	}
	queues := slices.SortedFunc(maps.Values(a.queues), func(x, y *queue) int {
		return strings.Compare(string(x.upstream), string(y.upstream))
	})
	for _, q := range queues {
		q.owned = slices.Contains(owned, q.upstream)
		if !q.owned {
			a.refuseWaiting(q)
		}
		a.grant(q)
	}
}

func (a *Admission) refuseWaiting(q *queue) {
	for _, item := range q.waiting {
		delete(a.places, item.Attempt)
		a.refuse(item)
	}
	q.waiting = nil
}

func (a *Admission) refuse(item spoke.WorkItem) {
	refusal := spoke.RefuseNotRun(spoke.CodeNoUpstream, "upstream %s takes no work at this host", item.Upstream)
	refusal.RetryAfter = time.Second
	refusal.Request = item.Request
	a.actions = append(a.actions, spoke.RefuseWork{Attempt: item.Attempt, Refusal: refusal})
}
