package soak

import (
	"fmt"
	"net/http"
	"slices"
)

const (
	// Of first tries at hosts that are cut off, wayLeastShare of the share at the others has to be served, unless no more
	// than wayFailures and wayFailureShare of all fail there. The same holds for the others and the time before the cuts.
	wayLeastShare   = 2.0 / 3
	wayFailures     = 10
	wayFailureShare = 1.0 / 50
)

// wayTally counts first tries.
type wayTally struct {
	sent, served int
	statuses     map[int]int
}

// checkWays checks that hosts that reach no engine served first tries nearly as often as the others, and the others nearly
// as often as before. The host to which process faults applied is excused.
func (c *callers) checkWays(faulty *host) {
	if len(c.testbed.wayCuts) == 0 {
		return
	}
	before, allOthers, first := newWayTally(), newWayTally(), c.testbed.wayCuts[0].from
	for _, result := range c.outcomes {
		if result.host != faulty && result.sentAt.Before(first.Add(-callerTimeout)) {
			before.add(result)
		}
	}
	for _, cut := range c.testbed.wayCuts {
		atCutOff, atOthers := newWayTally(), newWayTally()
		for _, result := range c.outcomes {
			switch {
			case result.host == faulty || result.sentAt.Before(cut.from.Add(wayGrace)) || result.sentAt.After(cut.until.Add(-callerTimeout)):
			case slices.Contains(cut.hosts, result.host):
				atCutOff.add(result)
			default:
				atOthers.add(result)
				allOthers.add(result)
			}
		}
		c.compareWays(fmt.Sprintf("ways of %d hosts cut, %s: they", len(cut.hosts), cut.form), atCutOff, atOthers)
	}
	c.compareWays("cuts of ways: hosts that keep theirs", allOthers, before)
}

// compareWays checks that first tries are served nearly as often as others.
func (c *callers) compareWays(what string, tries, others *wayTally) {
	text := fmt.Sprintf("%s %s, the others or before %s", what, tries, others)
	c.testbed.wayResults = append(c.testbed.wayResults, text)
	hasFailures := float64(tries.sent-tries.served) > wayFailures+wayFailureShare*float64(tries.sent+others.sent)
	if hasFailures && tries.share() < wayLeastShare*others.share() {
		c.violationf("%s", text)
	}
}

func newWayTally() *wayTally { return &wayTally{statuses: make(map[int]int)} }

func (t *wayTally) add(result outcome) {
	t.sent++
	t.statuses[result.status]++
	if result.status == http.StatusOK && !result.isCut {
		t.served++
	}
}

func (t *wayTally) share() float64 { return float64(t.served) / float64(max(t.sent, 1)) }

// String returns how many calls were served, and all by status.
func (t *wayTally) String() string {
	return fmt.Sprintf("served %d of %d %v", t.served, t.sent, t.statuses)
}
