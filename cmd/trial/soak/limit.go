package soak

import (
	"slices"
	"time"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

const (
	// limitGrace is the time after an engine first named a limit from which hosts must keep it.
	limitGrace = 3 * time.Second
	// limitSpan is the span in which a limited engine may get limitFactor times what its limit allows and
	// limitSlack requests.
	limitSpan   = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// checkLimits checks that the hosts together sent each limited engine no more than its limit allows. The host
// that process faults applied to is excused.
func (c *callers) checkLimits(faulty *host) {
	senders := make(map[string]*host)
	for _, result := range c.outcomes {
		senders[result.id] = result.host
	}
	for _, e := range append(slices.Clone(c.testbed.engines), c.testbed.retired...) {
		if !e.isLimited {
			continue
		}
		arrivals := slices.DeleteFunc(e.Arrivals(), func(a fake.Arrival) bool { return senders[a.ID] == faulty })
		if most := mostWithin(arrivals); float64(most) > limitFactor*float64(c.testbed.limit)*limitSpan.Seconds()+limitSlack {
			c.violationf("engine %s with a limit of %g a second got %d requests in %s", e.ID, float64(c.testbed.limit), most, limitSpan)
		}
	}
}

// mostWithin returns the most arrivals in any limitSpan that ends limitGrace after the first arrival or later.
func mostWithin(arrivals []fake.Arrival) int {
	most, first := 0, 0
	for last, arrival := range arrivals {
		for arrival.At.Sub(arrivals[first].At) >= limitSpan {
			first++
		}
		if arrival.At.Sub(arrivals[0].At) >= limitGrace {
			most = max(most, last-first+1)
		}
	}
	return most
}
