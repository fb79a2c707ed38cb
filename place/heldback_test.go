package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// Both hosts learned late that weights are wanted, and a link holds a report of one of them back for two seconds. Guards
// against an age that stays too low although later reports arrive in time.
func TestAgeOfHeldBackReportIsCorrectedByLaterOnes(t *testing.T) {
	host, other := newTestScheduler(t, 1), newTestSchedulerFor(t, "host-2", 1)
	for _, ts := range []*testScheduler{host, other} {
		ts.handle(place.SetWantedWeights{Wanted: spoke.WantedWeights{Model: model, Version: 2}, Age: 3 * time.Second, IsEstimate: true})
	}
	heldBack := other.scheduler.LoadReport(other.now, true)
	for _, ts := range []*testScheduler{host, other} {
		ts.now = ts.now.Add(2 * time.Second)
	}
	host.handle(place.ReceiveReport{Report: heldBack})
	other.handle(place.ReceiveReport{Report: host.scheduler.LoadReport(host.now, true)})
	host.handle(place.ReceiveReport{Report: other.scheduler.LoadReport(other.now, true)})
	host.now = host.now.Add(time.Second)
	assert.Equal(t, host.refusal(host.request(0, "s", 500, 200)).Reason, place.RefusedWeights)
}
