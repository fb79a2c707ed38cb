package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// Guards against a host that has found its ways lost and still keeps its calls from upstreams that it could not connect to.
func TestFailedConnectionsOfLostWaysAreForgotten(t *testing.T) {
	ts := newTestScheduler(t, 2)
	for range 2 {
		granted := ts.grant(ts.request(0, "s", 100, 100))
		ts.handle(place.Ended{Call: granted.Call, Ending: place.EndUnreachable})
	}
	waiting := ts.request(0, "s", 100, 100)
	ts.waits(waiting)

	assert.Equal(t, ts.grant(place.WaysLost{}).Call, waiting.Call)
}

// Guards against calls that hang on lost ways and count as work of the engines, here and in load reports.
func TestCallsSentOnLostWaysDoNotCount(t *testing.T) {
	ts := newTestScheduler(t, 1)
	lost := ts.grant(ts.request(2, "s", 5000, 5000))
	ts.waits(ts.request(2, "other", 5000, 5000))
	ts.advance(5 * time.Second)
	ts.scheduler.LoadReport(ts.now, false)

	ts.grant(place.WaysLost{})

	own := ts.scheduler.LoadReport(ts.now, true).Upstreams
	assert.Equal(t, len(own), 1)
	assert.Equal(t, own[0].Runs, 1, "the call that hangs does not count")
	assert.Equal(t, own[0].Prefill, spoke.TokenCount(10000))

	ts.handle(place.Began{Call: lost.Call})
	assert.Equal(t, ts.scheduler.LoadReport(ts.now, true).Upstreams[0].Runs, 2, "a call that begins after all counts again")
}
