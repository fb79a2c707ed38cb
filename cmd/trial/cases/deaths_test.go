package cases

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/cmd/trial/load"
)

// Guards against a request that was in flight at a death and counts as one from before it.
func TestSamplesAroundADeath(t *testing.T) {
	death := time.Date(2026, 1, 1, 0, 0, 10, 0, time.UTC)
	sample := func(sent, ended time.Duration) Sample {
		return Sample{Answer: load.Answer{Sent: death.Add(sent)}, Ended: death.Add(ended)}
	}
	samples := Samples{
		sample(-2*time.Second, -time.Second), sample(-time.Second, time.Second),
		sample(recovery-1, recovery+time.Second), sample(recovery, recovery+time.Second),
	}
	before, during, after := samples.around(death)
	assert.DeepEqual(t, before, samples[:1])
	assert.DeepEqual(t, during, samples[1:3])
	assert.DeepEqual(t, after, samples[3:])
}
