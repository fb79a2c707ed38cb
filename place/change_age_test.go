package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/place"
)

// Replays how hosts of the VERSION incident received a change: after a snapshot and an idle watch, two polls of
// silent hosts take 1.3 s. Guards against ages that count from the receipt only, and against ages that include
// the time for which an idle call waited.
func TestChangeAgeIncludesTimeWithoutAnswers(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var age place.ChangeAge
	assert.Equal(t, age.OfSnapshot(at(4)), place.UnknownAge)
	assert.Equal(t, age.OfAnswer(at(0), at(4), 0), place.UnknownAge)
	age.CompleteSnapshot(at(0))
	// The watch was sent 10 ms after the read began and waited for 900 ms.
	assert.Equal(t, age.OfAnswer(at(10), at(910), 0), 60*time.Millisecond)
	age.CompleteAnswer(at(10), at(910), 0)
	// Two polls end without an answer, then a watch is answered within 5 ms.
	assert.Equal(t, age.OfAnswer(at(2210), at(2215), 0), 1355*time.Millisecond)
	assert.Equal(t, age.OfSnapshot(at(2215)), 1355*time.Millisecond)
}

// Guards against ages that leave out the time for which another host held a change back, or in which this host
// was suspended with the answer unread.
func TestChangeAgeIncludesOtherHostsAndSuspensions(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var age place.ChangeAge
	assert.Equal(t, age.OfReport(at(0), at(5), 450*time.Millisecond, 0), 455*time.Millisecond)
	age.CompleteReport(at(0), at(5), 300*time.Millisecond, 0)
	assert.Equal(t, age.CompleteAt(), at(-300))
	age.CompleteReport(at(0), at(5), place.UnknownAge, 0)
	assert.Equal(t, age.CompleteAt(), at(-300))
	assert.Equal(t, age.OfAnswer(at(10), at(4010), 4*time.Second), 4310*time.Millisecond)
	age.CompleteAnswer(at(10), at(4010), 4*time.Second)
	assert.Equal(t, age.CompleteAt(), at(10))
}
