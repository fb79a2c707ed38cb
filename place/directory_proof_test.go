package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/place"
)

// Guards against knowledge of the directory that seems younger than its proof: a response with a change that waited in a
// buffer since the watch was sent, one that comes before the wait is over, one that a suspended process reads late, and an
// answer of another host that was long under way.
func TestAgesOfTheDirectoryRestOnProofs(t *testing.T) {
	const wait = 900 * time.Millisecond
	asked := time.Unix(1000, 0)
	after := asked.Add
	assert.Equal(t, place.ProvenByRead(asked), asked)
	assert.Equal(t, place.ProvenByWatch(asked, after(wait), wait, false), after(wait))
	assert.Equal(t, place.ProvenByWatch(asked, after(5*time.Second), wait, false), after(wait), "read late")
	assert.Equal(t, place.ProvenByWatch(asked, after(wait-1), wait, false), asked, "early")
	assert.Equal(t, place.ProvenByWatch(asked, after(time.Second), wait, true), asked, "with a change")
	underWay := place.UnderWay(asked, after(500*time.Millisecond), 400*time.Millisecond)
	assert.Equal(t, place.ProvenByPeer(after(500*time.Millisecond), 300*time.Millisecond, underWay), after(100*time.Millisecond))
	assert.Equal(t, place.UnderWay(asked, after(time.Second), 2*time.Second), time.Duration(0), "the clock of the other host is ahead")
	assert.Equal(t, place.UnderWay(asked, after(time.Second), -time.Second), time.Second)
}

// Guards against ages that shrink while they pass between hosts in a circle.
func TestAgesDoNotShrinkInACircle(t *testing.T) {
	const way, hold = 4 * time.Millisecond, 10 * time.Millisecond
	now := time.Unix(1000, 0)
	provenAt := now
	for range 1000 {
		asked, age := now, now.Add(way+hold).Sub(provenAt)
		now = now.Add(2*way + hold)
		assert.Assert(t, !place.ProvenByPeer(now, age, place.UnderWay(asked, now, hold)).After(provenAt))
		provenAt = place.ProvenByPeer(now, age, place.UnderWay(asked, now, hold))
	}
}
