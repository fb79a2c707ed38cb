package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/place"
)

// Replays calls that each wait for 10 ms, 25 of them a second. Guards against a step that begins
// anew with each of them and so never ends, while other hosts hear nothing.
func TestStepsEndWhileCallsWaitForMoments(t *testing.T) {
	const message = 10 * time.Millisecond
	steps := place.PollInterval{Busy: 50 * time.Millisecond, Idle: 100 * time.Millisecond}
	now := time.Unix(1000, 0)
	length := steps.AfterTick(false)
	end := now.Add(length)
	ended := 0
	for i := range 400 {
		now = now.Add(message)
		if !now.Before(end) {
			ended++
			length = steps.AfterTick(i%4 == 0)
			end = now.Add(length)
			continue
		}
		if seen := steps.AfterMessage(i%4 == 0); seen != length {
			length, end = seen, now.Add(seen)
		}
	}
	assert.Assert(t, ended >= 40, "%d steps in four seconds", ended)
}

// Guards against steps that stay short when nothing waits any more.
func TestStepsBecomeLonger(t *testing.T) {
	steps := place.PollInterval{Busy: 50 * time.Millisecond, Idle: 100 * time.Millisecond}
	assert.Equal(t, steps.AfterMessage(true), steps.Busy)
	assert.Equal(t, steps.AfterMessage(false), steps.Busy)
	assert.Equal(t, steps.AfterTick(false), steps.Idle)
}

// Replays an installation of 15 hosts with a fifth of a core and small links, each of which sent an
// account to all others every 20 ms: 700 accounts a second at each, on top of a burst. Guards against
// accounts that take the time in which calls are answered.
func TestAccountsOfManyHostsComeSeldom(t *testing.T) {
	const mostHeard = 450
	for hosts := 2; hosts <= 17; hosts++ {
		steps, accounts := place.IntervalsFor(hosts)
		heard := float64(hosts-1) / accounts.Seconds()
		assert.Assert(t, heard <= mostHeard, "%d hosts: %.0f accounts a second", hosts, heard)
		assert.Assert(t, steps.Busy <= 50*time.Millisecond)
	}
}
