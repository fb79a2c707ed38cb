package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/sched"
	"magnoliaspoke.example/spoke/sched/fifo"
)

// The tests of this file simulate one upstream; they do not measure the system. The capacity of
// the simulated upstream is about 4 urgent or 1.7 batch items per second.

func urgent(workspace spoke.WorkspaceID, perSecond float64) workload {
	return workload{workspace: workspace, rank: "urgent", perSecond: perSecond, prefill: 0.2, decode: 2.5}
}

func batch(workspace spoke.WorkspaceID, perSecond float64) workload {
	return workload{workspace: workspace, rank: "batch", perSecond: perSecond, prefill: 0.4, decode: 6, preemptible: true}
}

func logResults(t *testing.T, name string, sim *simulator) {
	t.Helper()
	t.Logf("%s: limit %.1f", name, sim.meanLimit())
	for stream, r := range sim.results {
		t.Logf("%s: %s: %s", name, stream, r)
	}
}

// Guards against urgent work that waits behind a flood of work of the least urgent rank.
func TestSimulatedUrgentLatencyInBatchFlood(t *testing.T) {
	alone := newSimulator(sched.NewAdmission(), 1, urgent("a", 0.8)).run()
	flood := newSimulator(sched.NewAdmission(), 1, urgent("a", 0.8), batch("b", 8.5)).run()
	fifoRun := newSimulator(fifo.NewAdmission(16), 1, urgent("a", 0.8), batch("b", 8.5)).run()
	logResults(t, "alone", alone)
	logResults(t, "flood", flood)
	logResults(t, "fifo", fifoRun)

	baseline, got := alone.results["a/urgent"], flood.results["a/urgent"]
	assert.Assert(t, got.p95() <= baseline.p95()*12/10, "p95 %s, alone %s", got.p95(), baseline.p95())
	assert.Equal(t, got.refused, 0)
	assert.Assert(t, fifoRun.results["a/urgent"].p95() > 2*got.p95(), "the baseline is as good")
}

// Guards against starvation of other ranks by a flood of work of the most urgent rank.
func TestSimulatedFloorsInUrgentFlood(t *testing.T) {
	normal := workload{workspace: "b", rank: "normal", perSecond: 2, prefill: 0.2, decode: 2.5}
	sim := newSimulator(sched.NewAdmission(), 2, urgent("a", 20), batch("b", 1.5), normal).run()
	strict := newSimulator(fifo.NewAdmission(16, fifo.WithPriority()), 2, urgent("a", 20), batch("b", 1.5), normal).run()
	logResults(t, "flood", sim)
	logResults(t, "strict priority", strict)
	assert.Equal(t, strict.results["b/batch"].cost, spoke.TokenCount(0), "the baseline starves batch work")
	var total spoke.TokenCount
	for _, r := range sim.results {
		total += r.cost
	}
	for stream, floor := range map[string]float64{"b/normal": 0.2, "b/batch": 0.1} {
		share := float64(sim.results[stream].cost) / float64(total)
		t.Logf("%s has %.3f", stream, share)
		assert.Assert(t, share >= floor*0.95, "%s has a share of %.3f, floor %.1f", stream, share, floor)
	}
	// Without limiting batch work to its floor, this run has about 600 preemptions of batch work.
	assert.Assert(t, sim.results["b/batch"].preempted < 20)
}

// Guards against a workspace that slows down others by sending twenty times their requests.
func TestSimulatedSmallWorkspaceLatency(t *testing.T) {
	small := []workload{urgent("s1", 0.2), urgent("s2", 0.2), urgent("s3", 0.2)}
	alone := newSimulator(sched.NewAdmission(), 3, small[0]).run()
	mixed := newSimulator(sched.NewAdmission(), 3, append(small, urgent("big", 4))...).run()
	fifoRun := newSimulator(fifo.NewAdmission(16), 3, append(small, urgent("big", 4))...).run()
	logResults(t, "alone", alone)
	logResults(t, "mixed", mixed)
	logResults(t, "fifo", fifoRun)
	baseline, got := alone.results["s1/urgent"].p95(), mixed.results["s1/urgent"].p95()
	assert.Assert(t, got <= baseline*15/10, "p95 %s, alone %s", got, baseline)
	for _, l := range small {
		assert.Assert(t, mixed.results[string(l.workspace)+"/urgent"].refused <= 1)
	}
}

// Guards against a collapse of goodput in overload, and against late refusals. An urgent answer
// in time counts as ten batch answers.
func TestSimulatedGoodputInOverload(t *testing.T) {
	mix := func(scale float64) []workload { return []workload{urgent("a", 2*scale), batch("b", 0.8*scale)} }
	goodput := func(sim *simulator) float64 {
		return float64(10*sim.results["a/urgent"].timely(ranks[0].FirstTokenTarget) +
			sim.results["b/batch"].timely(ranks[2].FirstTokenTarget))
	}
	full := newSimulator(sched.NewAdmission(), 4, mix(1)...).run()
	over := newSimulator(sched.NewAdmission(), 4, mix(5)...).run()
	fifoRun := newSimulator(fifo.NewAdmission(16), 4, mix(5)...).run()
	logResults(t, "capacity", full)
	logResults(t, "5x", over)
	logResults(t, "fifo 5x", fifoRun)
	t.Logf("weighted goodput at capacity %.0f, at 5x %.0f, fifo at 5x %.0f", goodput(full), goodput(over), goodput(fifoRun))
	assert.Assert(t, goodput(over) >= 0.9*goodput(full))
	assert.Assert(t, goodput(fifoRun) < goodput(over))
	assert.Assert(t, over.results["a/urgent"].refusalDelay <= ranks[0].FirstTokenTarget+50*time.Millisecond)
}

// Guards against a limit that rises with the latency of a loaded service of short calls, because
// the loaded latency is taken as the baseline, and against late refusals.
func TestSimulatedLimitForShortCalls(t *testing.T) {
	call := func(rank spoke.RankName, perSecond float64) workload {
		return workload{workspace: "a", rank: rank, perSecond: perSecond, prefill: 0.02, decode: 0.02}
	}
	sim := newSimulator(sched.NewAdmission(), 3, call("urgent", 100), call("batch", 490))
	sim.plain, sim.length = true, 2*warmUp
	logResults(t, "short calls", sim.run())
	assert.Assert(t, sim.meanLimit() > 12 && sim.meanLimit() < 24)
	assert.Assert(t, sim.results["a/urgent"].p95() < 50*time.Millisecond)
	assert.Assert(t, sim.results["a/batch"].lateRefusals < sim.results["a/batch"].refused/20)
}

// Guards against a limit that does not converge to the slots of the upstream, either from load
// reports or from latencies alone, since plain services send no reports.
func TestSimulatedLimitConvergesToSlots(t *testing.T) {
	for _, plain := range []bool{false, true} {
		for _, initial := range []int{2, 8, 60} {
			sim := newSimulator(sched.NewAdmission(sched.WithLimits(initial, 1, 256)), 5, batch("a", 4), batch("b", 4))
			sim.plain = plain
			sim.run()
			t.Logf("plain %t, from %d: mean limit %.1f of 16 slots", plain, initial, sim.meanLimit())
			if plain {
				assert.Assert(t, sim.meanLimit() > 8 && sim.meanLimit() < 32)
			} else {
				assert.Assert(t, sim.meanLimit() > 15 && sim.meanLimit() < 17)
			}
		}
	}
}
