package sched_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/sched"
)

// place configures one upstream with a fixed number of places.
func place(limit int, options ...sched.Option) *sched.Admission {
	a := sched.NewAdmission(append(options, sched.WithLimits(limit, limit, limit))...)
	a.Handle(epoch, spoke.ConfigureAdmission{Ranks: ranks, Workspaces: workspaces, Owned: []spoke.UpstreamID{"u"}})
	return a
}

func submit(a *sched.Admission, now time.Time, attempt string, change ...func(*spoke.WorkItem)) []spoke.AdmissionAction {
	item := spoke.WorkItem{
		Attempt: spoke.AttemptID(attempt), Request: spoke.RequestID("r" + attempt), Upstream: "u",
		Workspace: "a", Rank: "batch", Cost: 1000, Enqueued: now,
	}
	for _, c := range change {
		c(&item)
	}
	return a.Handle(now, spoke.SubmitWork{Item: item})
}

func refusal(t *testing.T, actions []spoke.AdmissionAction) *spoke.Refusal {
	t.Helper()
	assert.Equal(t, len(actions), 1)
	refused, ok := actions[0].(spoke.RefuseWork)
	assert.Assert(t, ok, "%v", actions[0])
	return refused.Refusal
}

func inRank(rank spoke.RankName) func(*spoke.WorkItem) {
	return func(i *spoke.WorkItem) { i.Rank = rank }
}

func preemptible(i *spoke.WorkItem) { i.Preemptible = true }

// Guards against work that waits for a place it cannot get in time: the refusal comes with
// the submission, or with the tick after which no time is left.
func TestRefusesHopelessWorkAtOnce(t *testing.T) {
	a := place(1)
	submit(a, epoch, "first")
	now := epoch.Add(30 * time.Second)
	a.Handle(now, spoke.FinishWork{Attempt: "first", FirstToken: time.Second, Duration: 30 * time.Second})
	submit(a, now, "running")

	got := refusal(t, submit(a, now, "late"))
	assert.Equal(t, got.Code, spoke.CodeOverloaded)
	assert.Equal(t, got.Outcome, spoke.OutcomeNotRun)
	assert.Equal(t, got.Request, spoke.RequestID("rlate"))
	assert.Assert(t, got.RetryAfter >= 11*time.Second && got.RetryAfter <= 45*time.Second, "%s", got.RetryAfter)

	b := place(1)
	submit(b, epoch, "running")
	assert.Equal(t, len(submit(b, epoch, "waiting")), 0, "no rate is known yet")
	now = epoch.Add(ranks[2].FirstTokenTarget + time.Millisecond)
	assert.Equal(t, refusal(t, b.Handle(now, spoke.AdmissionTick{})).Code, spoke.CodeOverloaded)
	assert.Equal(t, len(b.Handle(now, spoke.FinishWork{Attempt: "running"})), 0, "refused work is granted")
}

// Guards against refusals that send a request to the wrong next step.
func TestRefusesWithReason(t *testing.T) {
	a := place(1)
	inC := func(i *spoke.WorkItem) { i.Workspace = "c" }
	for i := range 3 {
		submit(a, epoch, fmt.Sprint(i), inC)
	}
	assert.Equal(t, refusal(t, submit(a, epoch, "above", inC)).Code, spoke.CodeWorkspaceLimit)
	resumed := func(i *spoke.WorkItem) { i.Workspace, i.Resumed = "c", true }
	assert.Equal(t, len(submit(a, epoch, "resumed", resumed)), 0)
	other := submit(a, epoch, "elsewhere", func(i *spoke.WorkItem) { i.Upstream = "u9" })
	assert.Equal(t, refusal(t, other).Code, spoke.CodeNoUpstream)

	draining := a.Handle(epoch, spoke.ReportLoad{Upstream: "u", Report: spoke.LoadReport{Draining: true, AsOf: epoch}})
	assert.Equal(t, len(draining), 3, "all waiting items go elsewhere")
	assert.Equal(t, refusal(t, draining[:1]).Code, spoke.CodeNoUpstream)
	assert.Equal(t, refusal(t, submit(a, epoch, "drained")).Code, spoke.CodeNoUpstream)
}

// Guards against waiting items that are stranded at a host that no longer owns their
// upstream, and against a cut of the items that run there.
func TestLosesOwnership(t *testing.T) {
	a := place(1)
	submit(a, epoch, "running")
	submit(a, epoch, "waiting")
	actions := a.Handle(epoch, spoke.ConfigureAdmission{Ranks: ranks})
	assert.Equal(t, refusal(t, actions).Code, spoke.CodeNoUpstream)

	a.Handle(epoch, spoke.ConfigureAdmission{Ranks: ranks, Owned: []spoke.UpstreamID{"u"}})
	assert.Equal(t, a.Summary(epoch, "u").Running, 1, "running work is known again")
	assert.Equal(t, len(submit(a, epoch, "next")), 0, "the place is taken")
	assert.DeepEqual(t, a.Handle(epoch, spoke.WithdrawWork{Attempt: "running"}),
		[]spoke.AdmissionAction{spoke.GrantWork{Attempt: "next"}})
}

// Guards against preemption of the wrong items: the last of the least urgent rank goes
// first, the floor of its rank stays, and the rate is bounded.
func TestPreemptsLeastUrgentDownToFloor(t *testing.T) {
	a := place(4, sched.WithPreemption(1, 2))
	for _, attempt := range []string{"b1", "b2", "b3"} {
		submit(a, epoch, attempt, preemptible)
	}
	submit(a, epoch, "n1", inRank("normal"), preemptible)

	urgent := inRank("urgent")
	assert.DeepEqual(t, submit(a, epoch, "u1", urgent), []spoke.AdmissionAction{spoke.PreemptWork{Attempt: "b3"}})
	assert.DeepEqual(t, submit(a, epoch, "u2", urgent), []spoke.AdmissionAction{spoke.PreemptWork{Attempt: "b2"}})
	assert.Equal(t, len(submit(a, epoch, "u3", urgent)), 0, "above the rate")
	assert.DeepEqual(t, a.Handle(epoch, spoke.WithdrawWork{Attempt: "b3"}),
		[]spoke.AdmissionAction{spoke.GrantWork{Attempt: "u1"}})

	// b1 is the floor of its rank; n1 alone holds the 20% of its own.
	now := epoch.Add(400 * time.Millisecond)
	a.Handle(now, spoke.WithdrawWork{Attempt: "b2"})
	now = epoch.Add(1100 * time.Millisecond)
	for _, action := range submit(a, now, "u4", urgent) {
		assert.Assert(t, action != spoke.AdmissionAction(spoke.PreemptWork{Attempt: "b1"}), "floor of batch")
		assert.Assert(t, action != spoke.AdmissionAction(spoke.PreemptWork{Attempt: "n1"}), "floor of normal")
	}
}

// Guards against a flood of urgent work that turns into constant preemption.
func TestBoundsPreemptionRate(t *testing.T) {
	a := place(8, sched.WithPreemption(1, 2))
	for i := range 8 {
		submit(a, epoch, fmt.Sprint("b", i), preemptible)
	}
	preempted := 0
	for i := range 4 {
		preempted += len(submit(a, epoch, fmt.Sprint("u", i), inRank("urgent")))
	}
	assert.Equal(t, preempted, 2)
	assert.Equal(t, len(a.Handle(epoch.Add(400*time.Millisecond), spoke.AdmissionTick{})), 0)
}

// Guards against small workspaces that wait for places behind a big one, however often they ask.
func TestReserveFollowsSmallWorkspaces(t *testing.T) {
	for requests, want := range map[int]int{0: 16, 1: 15, 40: 13} {
		a, now, granted := place(16), epoch, 0
		submit(a, now, "first")
		for i := range requests {
			now = now.Add(500 * time.Millisecond)
			submit(a, now, fmt.Sprint(i), func(item *spoke.WorkItem) { item.Workspace = "b" })
			a.Handle(now, spoke.FinishWork{Attempt: spoke.AttemptID(fmt.Sprint(i)), Duration: 4 * time.Second})
		}
		a.Handle(now, spoke.WithdrawWork{Attempt: "first"})
		for i := range 20 {
			granted += len(submit(a, now, fmt.Sprint("big", i), func(item *spoke.WorkItem) { item.Workspace = "a" }))
		}
		assert.Equal(t, granted, want, "after %d requests of a small workspace", requests)
	}
}

// Guards against workspaces of one rank that get more than their weight: with all backlogged,
// normalized service differs by no more than the largest cost of each.
func TestFairQueueingBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := place(1)
		weights := map[spoke.WorkspaceID]float64{"a": 1, "b": 2, "c": 1}
		costs, owner := map[spoke.AttemptID]float64{}, map[spoke.AttemptID]spoke.WorkspaceID{}
		a.Handle(epoch, spoke.ConfigureAdmission{Ranks: ranks, Owned: []spoke.UpstreamID{"u"},
			Workspaces: []spoke.Workspace{{ID: "a", Weight: 1}, {ID: "b", Weight: 2}, {ID: "c", Weight: 1}}})
		const most = 5000
		n := map[spoke.WorkspaceID]int{"a": 200, "b": 40, "c": 20}
		first := submit(a, epoch, "first", func(i *spoke.WorkItem) { i.Workspace = "other" })
		for _, id := range []spoke.WorkspaceID{"a", "b", "c"} {
			for i := range n[id] {
				attempt := spoke.AttemptID(fmt.Sprint(id, i))
				cost := rapid.IntRange(1, most).Draw(t, "cost")
				costs[attempt], owner[attempt] = float64(cost), id
				submit(a, epoch, string(attempt), func(item *spoke.WorkItem) {
					item.Workspace, item.Cost = id, spoke.TokenCount(cost)
				})
			}
		}
		running := first[0].(spoke.GrantWork).Attempt
		served := map[spoke.WorkspaceID]float64{}
		for range 20 {
			grant := a.Handle(epoch, spoke.FinishWork{Attempt: running})[0].(spoke.GrantWork)
			running = grant.Attempt
			served[owner[running]] += costs[running] / weights[owner[running]]
			for _, x := range served {
				for _, id := range []spoke.WorkspaceID{"a", "b", "c"} {
					if x-served[id] > most/weights[id]+most {
						t.Fatalf("normalized service %v", served)
					}
				}
			}
		}
	})
}

// Guards against a retry storm: retries never exceed their share of the requests plus the
// saved burst and the reserve, per workspace and overall.
func TestRetryBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := sched.NewRetryBudget(sched.WithRetryBurst(3, 6), sched.WithRetryReserve(0.1))
		now, requests, retries := epoch, map[spoke.WorkspaceID]int{}, map[spoke.WorkspaceID]int{}
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			id := rapid.SampledFrom([]spoke.WorkspaceID{"a", "b", "c"}).Draw(t, "workspace")
			if rapid.Bool().Draw(t, "request") {
				budget.Deposit(now, id)
				requests[id]++
			} else if budget.Withdraw(now, id) {
				retries[id]++
			}
			reserve := now.Sub(epoch).Seconds() * 0.1
			if float64(retries[id]) > 3+0.1*float64(requests[id])+reserve+1e-6 {
				t.Fatalf("workspace %s: %d retries for %d requests", id, retries[id], requests[id])
			}
			all := retries["a"] + retries["b"] + retries["c"]
			if float64(all) > 6+0.1*float64(requests["a"]+requests["b"]+requests["c"])+reserve+1e-6 {
				t.Fatalf("%d retries overall", all)
			}
		}
	})
}
