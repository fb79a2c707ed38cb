package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/sched"
	"magnoliaspoke.example/spoke/sched/fifo"
)

// The tests of this file are trials on a model of one upstream, not measurements of the
// system. Capacity of the model is about 4 urgent or 1.7 batch items a second.

func urgent(workspace spoke.WorkspaceID, perSecond float64) load {
	return load{workspace: workspace, rank: "urgent", perSecond: perSecond, prefill: 0.2, decode: 2.5}
}

func batch(workspace spoke.WorkspaceID, perSecond float64) load {
	return load{workspace: workspace, rank: "batch", perSecond: perSecond, prefill: 0.4, decode: 6, preemptible: true}
}

func report(t *testing.T, name string, m *model) {
	t.Helper()
	t.Logf("%s: limit %.1f", name, m.limit())
	for stream, r := range m.results {
		t.Logf("%s: %s: %s", name, stream, r)
	}
}

// Guards against urgent work that waits behind a flood of the least urgent work.
func TestTrialUrgentInBatchFlood(t *testing.T) {
	alone := newModel(sched.NewAdmission(), 1, urgent("a", 0.8)).run()
	flood := newModel(sched.NewAdmission(), 1, urgent("a", 0.8), batch("b", 8.5)).run()
	first := newModel(fifo.NewAdmission(16), 1, urgent("a", 0.8), batch("b", 8.5)).run()
	report(t, "alone", alone)
	report(t, "flood", flood)
	report(t, "fifo", first)

	base, got := alone.results["a/urgent"], flood.results["a/urgent"]
	assert.Assert(t, got.p95() <= base.p95()*12/10, "p95 %s, alone %s", got.p95(), base.p95())
	assert.Equal(t, got.refused, 0)
	assert.Assert(t, first.results["a/urgent"].p95() > 2*got.p95(), "the baseline is as good")
}

// Guards against other ranks being starved by a flood of the most urgent work.
func TestTrialFloorsInUrgentFlood(t *testing.T) {
	normal := load{workspace: "b", rank: "normal", perSecond: 2, prefill: 0.2, decode: 2.5}
	m := newModel(sched.NewAdmission(), 2, urgent("a", 20), batch("b", 1.5), normal).run()
	strict := newModel(fifo.NewAdmission(16, fifo.WithPriority()), 2, urgent("a", 20), batch("b", 1.5), normal).run()
	report(t, "flood", m)
	report(t, "strict priority", strict)
	assert.Equal(t, strict.results["b/batch"].cost, spoke.TokenCount(0), "the baseline starves batch work")
	var total spoke.TokenCount
	for _, r := range m.results {
		total += r.cost
	}
	for stream, floor := range map[string]float64{"b/normal": 0.2, "b/batch": 0.1} {
		share := float64(m.results[stream].cost) / float64(total)
		t.Logf("%s has %.3f", stream, share)
		assert.Assert(t, share >= floor*0.95, "%s has a share of %.3f, floor %.1f", stream, share, floor)
	}
	// Without held places this run preempts batch work some 600 times.
	assert.Assert(t, m.results["b/batch"].preempted < 20)
}

// Guards against a workspace that asks twenty times as much as others slowing them down.
func TestTrialSmallWorkspaces(t *testing.T) {
	small := []load{urgent("s1", 0.2), urgent("s2", 0.2), urgent("s3", 0.2)}
	alone := newModel(sched.NewAdmission(), 3, small[0]).run()
	mixed := newModel(sched.NewAdmission(), 3, append(small, urgent("big", 4))...).run()
	first := newModel(fifo.NewAdmission(16), 3, append(small, urgent("big", 4))...).run()
	report(t, "alone", alone)
	report(t, "mixed", mixed)
	report(t, "fifo", first)
	base, got := alone.results["s1/urgent"].p95(), mixed.results["s1/urgent"].p95()
	assert.Assert(t, got <= base*15/10, "p95 %s, alone %s", got, base)
	for _, l := range small {
		assert.Assert(t, mixed.results[string(l.workspace)+"/urgent"].refused <= 1)
	}
}

// Guards against goodput that collapses in overload, and against late refusals.
func TestTrialGoodputInOverload(t *testing.T) {
	mix := func(scale float64) []load { return []load{urgent("a", 2*scale), batch("b", 0.8*scale)} }
	worth := func(m *model) float64 {
		return float64(10*m.results["a/urgent"].timely(ranks[0].FirstTokenTarget) +
			m.results["b/batch"].timely(ranks[2].FirstTokenTarget))
	}
	full := newModel(sched.NewAdmission(), 4, mix(1)...).run()
	over := newModel(sched.NewAdmission(), 4, mix(5)...).run()
	first := newModel(fifo.NewAdmission(16), 4, mix(5)...).run()
	report(t, "capacity", full)
	report(t, "5x", over)
	report(t, "fifo 5x", first)
	t.Logf("worth at capacity %.0f, at 5x %.0f, fifo at 5x %.0f", worth(full), worth(over), worth(first))
	assert.Assert(t, worth(over) >= 0.9*worth(full))
	assert.Assert(t, worth(first) < worth(over))
	assert.Assert(t, over.results["a/urgent"].refusalDelay <= ranks[0].FirstTokenTarget+50*time.Millisecond)
}

// Guards against a limit far from the slots of the upstream, found from load reports, or from
// latencies alone as plain services have no reports.
func TestTrialLimitFindsSlots(t *testing.T) {
	for _, plain := range []bool{false, true} {
		for _, initial := range []int{2, 8, 60} {
			m := newModel(sched.NewAdmission(sched.WithLimits(initial, 1, 256)), 5, batch("a", 4), batch("b", 4))
			m.plain = plain
			m.run()
			t.Logf("plain %t, from %d: mean limit %.1f of 16 slots", plain, initial, m.limit())
			if plain {
				assert.Assert(t, m.limit() > 8 && m.limit() < 32)
			} else {
				assert.Assert(t, m.limit() > 15 && m.limit() < 17)
			}
		}
	}
}
