package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/place"
)

// Guards against a stop that counts from the moment at which a frozen host learns of the signal.
func TestSignalIsOlderThanPauseOfHost(t *testing.T) {
	var signal place.SignalTime
	start := time.Unix(1000, 0)
	assert.Equal(t, signal.Earliest(start), start)
	for step := range 10 {
		signal.NoneAt(start.Add(time.Duration(step) * time.Millisecond))
	}
	// The host is frozen. Its first look after that may come before the signal is delivered.
	thawed := start.Add(time.Second)
	signal.NoneAt(thawed)
	assert.Equal(t, signal.Earliest(thawed.Add(time.Millisecond)), start.Add(9*time.Millisecond))
	signal.NoneAt(thawed.Add(25 * time.Millisecond))
	assert.Equal(t, signal.Earliest(thawed.Add(26*time.Millisecond)), thawed)
}

// Guards against a time of a signal that lies before the host has run.
func TestSignalIsNotOlderThanFirstLook(t *testing.T) {
	var signal place.SignalTime
	start := time.Unix(1000, 0)
	signal.NoneAt(start)
	assert.Equal(t, signal.Earliest(start.Add(time.Second)), start)
}
