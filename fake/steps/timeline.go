package steps

import (
	"cmp"
	"slices"
	"time"
)

type (
	// Timeline runs actions at their times, without waiting.
	Timeline struct {
		now time.Time
		due []action
	}

	action struct {
		at time.Time
		do func()
	}
)

// NewTimeline returns a timeline that stands at a time.
func NewTimeline(start time.Time) *Timeline { return &Timeline{now: start} }

// Now returns the time of the action that runs, or of the last one.
func (t *Timeline) Now() time.Time { return t.now }

// After adds an action; those of the same time run in the order in which they were added.
func (t *Timeline) After(delay time.Duration, do func()) {
	next := action{t.now.Add(delay), do}
	behind, _ := slices.BinarySearchFunc(t.due, next, func(a, b action) int { return cmp.Or(a.at.Compare(b.at), -1) })
	t.due = slices.Insert(t.due, behind, next)
}

// Run runs the actions up to a time.
func (t *Timeline) Run(until time.Time) {
	for len(t.due) > 0 && !t.due[0].at.After(until) {
		next := t.due[0]
		t.due = t.due[1:]
		t.now = next.at
		next.do()
	}
	t.now = until
}
