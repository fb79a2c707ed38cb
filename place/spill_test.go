package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// Replays a burst in a data centre of which one of two engines is frozen, while both engines of
// the other data centre are free. Guards against calls that are refused for a wait that the other
// data centre would have spared them.
func TestWorkSpillsToTheOtherDataCentre(t *testing.T) {
	const calls = 40
	tr := newTrial(t, 2)
	for i := 2; i < 4; i++ {
		far := engine(i)
		far.DataCentre = "b"
		tr.list(far)
	}
	tr.handle(place.Pause{Upstream: "engine-0", For: time.Minute})
	granted := make(map[spoke.UpstreamID]int)
	for range calls {
		for _, action := range tr.handle(tr.ask(2, "session", 0, 2000)) {
			grant, ok := action.(place.Grant)
			assert.Assert(t, ok, "%#v", action)
			granted[grant.Upstream.ID]++
			tr.handle(place.Began{Call: grant.Call})
		}
		tr.now = tr.now.Add(10 * time.Millisecond)
	}
	assert.Equal(t, granted["engine-0"], 0)
	assert.Assert(t, granted["engine-1"] > 0)
	assert.Assert(t, granted["engine-2"]+granted["engine-3"] >= calls/3, "%v", granted)
}
