package cases_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/cmd/trial/cases"
	"magnoliaspoke.example/spoke/cmd/trial/load"
)

// Guards against counting a request in flight at the crash as one that ended before it.
func TestSamplesSplitAtCrash(t *testing.T) {
	crashed := time.Date(2026, 1, 1, 0, 0, 10, 0, time.UTC)
	sample := func(sent, ended time.Duration) cases.Sample {
		return cases.Sample{Answer: load.Answer{Sent: crashed.Add(sent)}, Ended: crashed.Add(ended)}
	}
	samples := cases.Samples{
		sample(-2*time.Second, -time.Second), sample(-time.Second, time.Second),
		sample(4*time.Second, 6*time.Second), sample(5*time.Second, 6*time.Second),
	}
	before, during, after := samples.SplitAtCrash(crashed)
	assert.Equal(t, len(before), 1)
	assert.Equal(t, before[0].Ended, samples[0].Ended)
	assert.Equal(t, len(during), 2)
	assert.Equal(t, during[0].Answer.Sent, samples[1].Answer.Sent)
	assert.Equal(t, during[1].Answer.Sent, samples[2].Answer.Sent)
	assert.Equal(t, len(after), 1)
	assert.Equal(t, after[0].Answer.Sent, samples[3].Answer.Sent)
}
