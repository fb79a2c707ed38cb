package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/place"
)

// Calls wait for 10 ms each, 25 of them a second. Guards against an interval that starts again with each of
// them and so never ends, while other hosts receive no reports.
func TestIntervalsEndWhileCallsWaitBriefly(t *testing.T) {
	const message = 10 * time.Millisecond
	interval := place.PollInterval{Busy: 50 * time.Millisecond, Idle: 100 * time.Millisecond}
	now := time.Unix(1000, 0)
	length := interval.AfterTick(false)
	end := now.Add(length)
	ended := 0
	for i := range 400 {
		now = now.Add(message)
		if !now.Before(end) {
			ended++
			length = interval.AfterTick(i%4 == 0)
			end = now.Add(length)
			continue
		}
		if seen := interval.AfterMessage(i%4 == 0); seen != length {
			length, end = seen, now.Add(seen)
		}
	}
	assert.Assert(t, ended >= 40, "%d intervals in four seconds", ended)
}

// Guards against intervals that stay short when no call waits any more.
func TestIntervalsBecomeLonger(t *testing.T) {
	interval := place.PollInterval{Busy: 50 * time.Millisecond, Idle: 100 * time.Millisecond}
	assert.Equal(t, interval.AfterMessage(true), interval.Busy)
	assert.Equal(t, interval.AfterMessage(false), interval.Busy)
	assert.Equal(t, interval.AfterTick(false), interval.Idle)
}

// In an installation of 15 hosts with a fifth of a core and small links, each host sent a report to all
// others every 20 ms: 700 reports a second at each, on top of a burst. Guards against reports that take the
// CPU time needed for calls.
func TestReportRateOfManyHostsIsBounded(t *testing.T) {
	const maxReceived = 450
	for hosts := 2; hosts <= 17; hosts++ {
		interval, reports := place.IntervalsFor(hosts)
		received := float64(hosts-1) / reports.Seconds()
		assert.Assert(t, received <= maxReceived, "%d hosts: %.0f reports a second", hosts, received)
		assert.Assert(t, interval.Busy <= 50*time.Millisecond)
	}
}
