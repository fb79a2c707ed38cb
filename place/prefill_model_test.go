package place_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// engineModel is how long an engine of a test takes to its first event.
type engineModel struct {
	rate float64
	step time.Duration
}

func (m engineModel) first(tokens spoke.TokenCount) time.Duration {
	return m.step + time.Duration(float64(tokens)/m.rate*float64(time.Millisecond))
}

// serveAlone lets idle engines serve prompts of two sizes and returns how far the predictions of the
// last ones were off.
func (tr *trial) serveAlone(engine engineModel, calls int) (worst time.Duration) {
	for i := range calls {
		size := spoke.TokenCount(300)
		if i%3 == 0 {
			size = 6000
		}
		granted := tr.grant(tr.ask(1, fmt.Sprint("session-", i), 0, size))
		took := engine.first(size)
		if off := (granted.Predicted - took).Abs(); i >= calls-6 {
			worst = max(worst, off)
		}
		tr.now = tr.now.Add(took)
		tr.handle(place.Began{Call: granted.Call})
		tr.now = tr.now.Add(time.Second)
		tr.handle(place.Ended{Call: granted.Call})
	}
	return worst
}

// Replays a calm day on engines that read slower than usual and whose first events come some time
// after reading. Guards against predictions that take that time for slow reading, by which short
// prompts made every engine look five times slower.
func TestReadingAndDelayOfFirstEventsAreLearned(t *testing.T) {
	for name, engine := range map[string]engineModel{
		"slow readers, late first events": {rate: 51, step: 57 * time.Millisecond},
		"fast readers":                    {rate: 101, step: 13 * time.Millisecond},
		"usual ones":                      {rate: 80, step: 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			tr := newTrial(t, 1)
			worst := tr.serveAlone(engine, 90)
			assert.Assert(t, worst < 10*time.Millisecond, "off by %s", worst)
		})
	}
}

// Replays one slow engine among sound ones. Guards against calls that go on to it as to the others,
// and against sound engines that look slow beside it.
func TestSlowEngineIsToldFromSoundOnes(t *testing.T) {
	tr := newTrial(t, 4)
	sound := engineModel{rate: 51, step: 57 * time.Millisecond}
	slow := engineModel{rate: 51 / 4.0, step: 4 * 57 * time.Millisecond}
	counts := make(map[spoke.UpstreamID]int)
	for i := range 120 {
		granted := tr.grant(tr.ask(1, fmt.Sprint("session-", i), 0, 3000))
		counts[granted.Upstream.ID]++
		took := sound.first(3000)
		if granted.Upstream.ID == "engine-2" {
			took = slow.first(3000)
		}
		tr.now = tr.now.Add(took)
		tr.handle(place.Began{Call: granted.Call})
		tr.now = tr.now.Add(time.Second)
		tr.handle(place.Ended{Call: granted.Call})
	}
	assert.Assert(t, counts["engine-2"] <= 12, "%v", counts)
	granted := tr.grant(tr.ask(1, "last", 0, 3000))
	off := (granted.Predicted - sound.first(3000)).Abs()
	assert.Assert(t, off < 30*time.Millisecond, "off by %s", off)
}
