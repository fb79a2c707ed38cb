package sched_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/sched"
)

const (
	waiting = iota
	running
	ended
)

var (
	epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	ranks = []spoke.Rank{
		{Name: "urgent", Order: 1, FirstTokenTarget: 500 * time.Millisecond, Floor: 0.3},
		{Name: "normal", Order: 2, FirstTokenTarget: 2 * time.Second, Floor: 0.2},
		{Name: "batch", Order: 3, FirstTokenTarget: 20 * time.Second, Floor: 0.1},
	}
	workspaces = []spoke.Workspace{{ID: "a", Weight: 1}, {ID: "b", Weight: 2}, {ID: "c", Weight: 1, MaxConcurrent: 3}}
)

// oracle checks the invariants of an admission that hold under any policy.
type oracle struct {
	now       time.Time
	admission *sched.Admission
	items     map[spoke.AttemptID]spoke.WorkItem
	state     map[spoke.AttemptID]int
	preempted map[spoke.AttemptID]bool
	owned     map[spoke.UpstreamID]bool
	nextID    int
}

func newOracle() *oracle {
	return &oracle{
		now: epoch, admission: sched.NewAdmission(sched.WithLimits(3, 1, 6)),
		items: map[spoke.AttemptID]spoke.WorkItem{}, state: map[spoke.AttemptID]int{},
		preempted: map[spoke.AttemptID]bool{}, owned: map[spoke.UpstreamID]bool{},
	}
}

func (o *oracle) configure(t *rapid.T, owned ...spoke.UpstreamID) {
	clear(o.owned)
	for _, upstream := range owned {
		o.owned[upstream] = true
	}
	o.send(t, spoke.ConfigureAdmission{Ranks: ranks, Workspaces: workspaces, Owned: owned})
}

func (o *oracle) send(t *rapid.T, message spoke.AdmissionMessage) {
	for _, action := range o.admission.Handle(o.now, message) {
		o.apply(t, action)
	}
}

func (o *oracle) apply(t *rapid.T, action spoke.AdmissionAction) {
	switch a := action.(type) {
	case spoke.GrantWork:
		o.transition(t, a.Attempt, running)
		item := o.items[a.Attempt]
		if n, limit := o.count(item.Upstream, running), o.admission.Summary(o.now, item.Upstream).Limit; n > limit {
			t.Fatalf("%d run at %s, limit %d", n, item.Upstream, limit)
		}
		if !o.owned[item.Upstream] {
			t.Fatalf("grant at %s, which is not owned", item.Upstream)
		}
		if o.count(item.Upstream, running, true) > 1 {
			t.Fatalf("two solo items run at %s", item.Upstream)
		}
	case spoke.RefuseWork:
		o.transition(t, a.Attempt, ended)
		if a.Refusal.Outcome != spoke.OutcomeNotRun || a.Refusal.RetryAfter <= 0 {
			t.Fatalf("refusal %v with retry after %s", a.Refusal, a.Refusal.RetryAfter)
		}
	case spoke.PreemptWork:
		if o.state[a.Attempt] != running || o.preempted[a.Attempt] || !o.items[a.Attempt].Preemptible {
			t.Fatalf("preemption of %s", a.Attempt)
		}
		o.preempted[a.Attempt] = true
	}
}

func (o *oracle) transition(t *rapid.T, attempt spoke.AttemptID, to int) {
	if from, ok := o.state[attempt]; !ok || from != waiting {
		t.Fatalf("attempt %s moves from %d to %d", attempt, from, to)
	}
	o.state[attempt] = to
}

// count returns the number of items in a state at an upstream, optionally only of those whose Solo
// flag has the given value.
func (o *oracle) count(upstream spoke.UpstreamID, state int, solo ...bool) int {
	n := 0
	for attempt, s := range o.state {
		item := o.items[attempt]
		if s == state && item.Upstream == upstream && (len(solo) == 0 || item.Solo == solo[0]) {
			n++
		}
	}
	return n
}

// pick draws an attempt that is in one of the states.
func (o *oracle) pick(t *rapid.T, states ...int) (spoke.AttemptID, bool) {
	var found []spoke.AttemptID
	for i := range o.nextID {
		if attempt := spoke.AttemptID(fmt.Sprint(i)); slices.Contains(states, o.state[attempt]) {
			found = append(found, attempt)
		}
	}
	if len(found) == 0 {
		return "", false
	}
	return rapid.SampledFrom(found).Draw(t, "attempt"), true
}

func (o *oracle) submit(t *rapid.T) {
	item := spoke.WorkItem{
		Attempt:     spoke.AttemptID(fmt.Sprint(o.nextID)),
		Upstream:    rapid.SampledFrom([]spoke.UpstreamID{"u1", "u2"}).Draw(t, "upstream"),
		Workspace:   rapid.SampledFrom([]spoke.WorkspaceID{"a", "b", "c", "unconfigured"}).Draw(t, "workspace"),
		Rank:        rapid.SampledFrom([]spoke.RankName{"urgent", "normal", "batch", "unconfigured"}).Draw(t, "rank"),
		Cost:        spoke.TokenCount(rapid.IntRange(0, 20000).Draw(t, "cost")),
		Solo:        rapid.IntRange(0, 4).Draw(t, "solo") == 0,
		Preemptible: rapid.Bool().Draw(t, "preemptible"),
		Resumed:     rapid.IntRange(0, 9).Draw(t, "resumed") == 0,
		Enqueued:    o.now,
	}
	o.nextID++
	o.items[item.Attempt], o.state[item.Attempt] = item, waiting
	o.send(t, spoke.SubmitWork{Item: item})
}

func (o *oracle) finish(t *rapid.T) {
	attempt, ok := o.pick(t, running)
	if !ok {
		return
	}
	o.state[attempt] = ended
	duration := time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond
	o.send(t, spoke.FinishWork{
		Attempt: attempt, FirstToken: duration / 4, Duration: duration,
		Cost:   spoke.TokenCount(rapid.IntRange(0, 30000).Draw(t, "real cost")),
		Failed: rapid.Bool().Draw(t, "failed"), Busy: rapid.IntRange(0, 5).Draw(t, "busy") == 0,
	})
}

// check compares the summaries with the states of the oracle.
func (o *oracle) check(t *rapid.T) {
	for upstream := range o.owned {
		summary := o.admission.Summary(o.now, upstream)
		if summary.Queued != o.count(upstream, waiting) || summary.Running != o.count(upstream, running) {
			t.Fatalf("%s: summary %+v, want %d waiting, %d running", upstream, summary,
				o.count(upstream, waiting), o.count(upstream, running))
		}
		// Slots reserved for small workspaces or withheld for urgent work are at most half of the limit.
		if summary.Queued > 0 && summary.Running < summary.Limit/2 && !summary.Draining && o.count(upstream, waiting, false) > 0 {
			t.Fatalf("%s: work waits although a slot is free: %+v", upstream, summary)
		}
	}
}

// Guards against lost items, repeated grants, grants above the limit, to a second solo item or
// without ownership, actions after a refusal, and idle slots while work waits.
func TestAdmissionAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle()
		o.configure(t, "u1", "u2")
		t.Repeat(map[string]func(*rapid.T){
			"submit":  o.submit,
			"submit2": o.submit,
			"finish":  o.finish,
			"withdraw": func(t *rapid.T) {
				if attempt, ok := o.pick(t, waiting, running); ok {
					o.state[attempt] = ended
					o.send(t, spoke.WithdrawWork{Attempt: attempt})
				}
			},
			"tick": func(t *rapid.T) {
				o.now = o.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				o.send(t, spoke.AdmissionTick{})
			},
			"load": func(t *rapid.T) {
				o.send(t, spoke.ReportLoad{Upstream: "u1", Report: spoke.LoadReport{
					Waiting: rapid.IntRange(0, 3).Draw(t, "engine waiting"), AsOf: o.now,
					Draining: rapid.IntRange(0, 9).Draw(t, "draining") == 0,
				}})
			},
			"own both": func(t *rapid.T) { o.configure(t, "u1", "u2") },
			"own one":  func(t *rapid.T) { o.configure(t, "u2") },
			"":         o.check,
		})
	})
}
