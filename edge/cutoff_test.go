package edge_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// soundTime is the time of load before a cut, whose first part does not count.
	soundTime = 2500 * time.Millisecond
	warmTime  = 700 * time.Millisecond
	// afterCut is the time after a cut from which first tries have to be served.
	afterCut = 4 * time.Second
	cutTime  = 8 * time.Second

	// leastShare is the least share of first tries that are served at hosts that are cut off, in parts of that at others.
	leastShare = 2.0 / 3
	// leastOthers is the least share that are served at the other hosts, in parts of that before the cut.
	leastOthers = 0.9
	// leastBefore is the least share that are served before the cut.
	leastBefore = 0.95
)

// cutGroups lists the hosts that lose their ways to all engines: one, those of a data centre, all but one.
func cutGroups() map[string][]int {
	return map[string][]int{"one host": {1}, "a data centre": {0, 3}, "all but one": {0, 1, 2, 3}}
}

// Guards against hosts without a way to engines that serve no calls while others reach all engines, and against hosts
// that take those others down with them.
func TestCutOffHostsServe(t *testing.T) {
	for _, form := range []cutForm{cutHangs, cutResets} {
		t.Run(string(form), func(t *testing.T) { checkCutForm(t, form) })
	}
}

// Guards against the same while the connections that are open at the cut live on.
func TestHostsWithOpenConnectionsServe(t *testing.T) {
	checkCutForm(t, cutRefuses)
}

func checkCutForm(t *testing.T, form cutForm) {
	for name, cutOff := range cutGroups() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkCutOff(t, form, cutOff)
		})
	}
}

func checkCutOff(t *testing.T, form cutForm, cutOff []int) {
	hosts := startCutOff(t)
	tries := &firstTries{t: t, hosts: hosts}
	end := make(chan struct{})
	time.AfterFunc(soundTime+cutTime, func() { close(end) })
	begun, cutAt := time.Now(), make(chan time.Time, 1)
	time.AfterFunc(soundTime, func() {
		cutAt <- time.Now()
		for _, host := range cutOff {
			hosts[host].ways.cut(form)
		}
	})
	tries.run(end)
	cut := <-cutAt
	isCutOff := func(host int) bool { return slices.Contains(cutOff, host) }
	isOther := func(host int) bool { return !isCutOff(host) }
	before := tries.between(begun.Add(warmTime), cut.Add(-tryDeadline/10), isOther)
	atCutOff := tries.between(cut.Add(afterCut), cut.Add(cutTime), isCutOff)
	atOthers := tries.between(cut.Add(afterCut), cut.Add(cutTime), isOther)
	t.Logf("before the cut, hosts that keep their ways: %s", before)
	t.Logf("from %s on, hosts that are cut off: %s", afterCut, atCutOff)
	t.Logf("from %s on, the others: %s", afterCut, atOthers)
	assert.Check(t, before.share() >= leastBefore, "the load is not served before the cut, so that the test shows nothing")
	assert.Check(t, atOthers.share() >= leastOthers*before.share(), "the others serve less than before the cut")
	assert.Check(t, atCutOff.share() >= leastShare*atOthers.share(), "hosts that are cut off serve less than the others")
	repeats := hosts[0].onceOnlyRepeats()
	assert.Check(t, len(repeats) == 0, "once-only calls that ran again: %v", repeats)
}
