package place_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// engineModel simulates the time that an engine takes to its first event.
type engineModel struct {
	rate     float64
	overhead time.Duration
}

func (m engineModel) first(tokens spoke.TokenCount) time.Duration {
	return m.overhead + time.Duration(float64(tokens)/m.rate*float64(time.Millisecond))
}

// serveAlone serves prompts of two sizes on idle engines and returns the largest error of the last
// predictions.
func (ts *testScheduler) serveAlone(engine engineModel, calls int) (worst time.Duration) {
	for i := range calls {
		size := spoke.TokenCount(300)
		if i%3 == 0 {
			size = 6000
		}
		granted := ts.grant(ts.request(1, fmt.Sprint("session-", i), 0, size))
		took := engine.first(size)
		if deviation := (granted.Predicted - took).Abs(); i >= calls-6 {
			worst = max(worst, deviation)
		}
		ts.now = ts.now.Add(took)
		ts.handle(place.Began{Call: granted.Call})
		ts.now = ts.now.Add(time.Second)
		ts.handle(place.Ended{Call: granted.Call})
	}
	return worst
}

// At low load, engines prefill slower than usual and send first events some time after prefill. Guards
// against attributing that overhead to slow prefill, by which short prompts made every engine look five times
// slower.
func TestPrefillRateAndOverheadAreEstimated(t *testing.T) {
	for name, engine := range map[string]engineModel{
		"slow prefill, late first events": {rate: 51, overhead: 57 * time.Millisecond},
		"fast prefill":                    {rate: 101, overhead: 13 * time.Millisecond},
		"defaults":                        {rate: 80, overhead: 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			ts := newTestScheduler(t, 1)
			worst := ts.serveAlone(engine, 90)
			assert.Assert(t, worst < 10*time.Millisecond, "off by %s", worst)
		})
	}
}

// One engine among others is slow. Guards against calls that go there as often as to the others, and against
// healthy engines that look slow because of it.
func TestSlowEngineIsDistinguishedFromHealthyOnes(t *testing.T) {
	ts := newTestScheduler(t, 4)
	healthy := engineModel{rate: 51, overhead: 57 * time.Millisecond}
	slow := engineModel{rate: 51 / 4.0, overhead: 4 * 57 * time.Millisecond}
	counts := make(map[spoke.UpstreamID]int)
	for i := range 120 {
		granted := ts.grant(ts.request(1, fmt.Sprint("session-", i), 0, 3000))
		counts[granted.Upstream.ID]++
		took := healthy.first(3000)
		if granted.Upstream.ID == "engine-2" {
			took = slow.first(3000)
		}
		ts.now = ts.now.Add(took)
		ts.handle(place.Began{Call: granted.Call})
		ts.now = ts.now.Add(time.Second)
		ts.handle(place.Ended{Call: granted.Call})
	}
	assert.Assert(t, counts["engine-2"] <= 12, "%v", counts)
	granted := ts.grant(ts.request(1, "last", 0, 3000))
	deviation := (granted.Predicted - healthy.first(3000)).Abs()
	assert.Assert(t, deviation < 30*time.Millisecond, "off by %s", deviation)
}
