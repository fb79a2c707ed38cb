package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/place"
)

// Guards against hosts that all ask the first one that reports a newer table, instead of those that pass it on to them,
// since an earlier table once came later than others had it; and against a host that never asks.
func TestEachTableBeginsANewLag(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var lag place.TableLag
	assert.Assert(t, !lag.Observe(at(0), 1, 2))
	assert.Assert(t, !lag.Observe(at(300), 1, 2))
	// Table 2 has come into force in time; table 3 follows ten seconds later.
	assert.Assert(t, !lag.Observe(at(10_000), 2, 3))
	assert.Assert(t, !lag.Observe(at(10_400), 2, 4))
	assert.Assert(t, lag.Observe(at(10_500), 2, 4))
	assert.Assert(t, lag.Observe(at(11_000), 2, 3))
	assert.Assert(t, !lag.Observe(at(11_100), 4, 4))
	assert.Assert(t, !lag.Observe(at(11_200), 4, 5))
}
