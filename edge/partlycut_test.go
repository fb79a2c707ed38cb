package edge_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

// Guards against hosts that refuse calls although each engine is reached by some of them: each host has lost its ways to
// half of the engines, so that half of the hosts that it asks for a detour do not reach the engine either.
func TestHostsThatReachHalfOfTheEnginesServe(t *testing.T) {
	for _, form := range []cutForm{cutHangs, cutResets, cutRefuses} {
		t.Run(string(form), func(t *testing.T) {
			t.Parallel()
			hosts := startCutOff(t)
			tries := &firstTries{t: t, hosts: hosts}
			end, cutAt := make(chan struct{}), make(chan time.Time, 1)
			begun := time.Now()
			time.AfterFunc(soundTime+cutTime, func() { close(end) })
			time.AfterFunc(soundTime, func() {
				cutAt <- time.Now()
				for i, host := range hosts {
					host.ways.cut(form, everySecond(host.engines, i)...)
				}
			})
			tries.run(end)
			cut := <-cutAt
			all := func(int) bool { return true }
			before := tries.between(begun.Add(warmTime), cut.Add(-tryDeadline/10), all)
			after := tries.between(cut.Add(afterCut), cut.Add(cutTime), all)
			t.Logf("before the cut: %s", before)
			t.Logf("from %s on: %s", afterCut, after)
			assert.Check(t, before.share() >= leastBefore, "the load is not served before the cut, so that the test shows nothing")
			assert.Check(t, after.share() >= leastOthers*before.share(), "hosts serve less than before the cut")
			repeats := hosts[0].onceOnlyRepeats()
			assert.Check(t, len(repeats) == 0, "once-only calls that ran again: %v", repeats)
		})
	}
}

func everySecond(engines []*fake.Engine, first int) []*fake.Engine {
	var chosen []*fake.Engine
	for i := first % 2; i < len(engines); i += 2 {
		chosen = append(chosen, engines[i])
	}
	return chosen
}
