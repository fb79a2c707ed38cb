package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// During a burst, one of two engines of a data centre is frozen, while both engines of the other data
// centre are free. Guards against calls that are refused for their expected wait although the other data
// centre could serve them.
func TestWorkSpillsToTheOtherDataCentre(t *testing.T) {
	const calls = 40
	ts := newTestScheduler(t, 2)
	for i := 2; i < 4; i++ {
		remote := engine(i)
		remote.DataCentre = "b"
		ts.list(remote)
	}
	ts.handle(place.Pause{Upstream: "engine-0", For: time.Minute})
	granted := make(map[spoke.UpstreamID]int)
	for range calls {
		for _, action := range ts.handle(ts.request(2, "session", 0, 2000)) {
			grant, ok := action.(place.Grant)
			assert.Assert(t, ok, "%#v", action)
			granted[grant.Upstream.ID]++
			ts.handle(place.Began{Call: grant.Call})
		}
		ts.now = ts.now.Add(10 * time.Millisecond)
	}
	assert.Equal(t, granted["engine-0"], 0)
	assert.Assert(t, granted["engine-1"] > 0)
	assert.Assert(t, granted["engine-2"]+granted["engine-3"] >= calls/3, "%v", granted)
}
