package place_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

func hostNames(count int) []spoke.HostID {
	var hosts []spoke.HostID
	for i := range count {
		hosts = append(hosts, spoke.HostID(fmt.Sprintf("host-%d", i)))
	}
	return hosts
}

// Guards against cells that differ between hosts, differ much in size, or change for most hosts when one
// joins.
func TestCellsAreEvenAndStable(t *testing.T) {
	hosts := hostNames(62)
	cells := make(map[spoke.HostID]int)
	sizes := make(map[int]int)
	for _, self := range hosts {
		cell, members, count := place.Cells(hosts, self)
		assert.Equal(t, count, 6)
		assert.Assert(t, slices.Contains(members, self))
		cells[self] = cell
		sizes[cell]++
	}
	for cell, size := range sizes {
		assert.Assert(t, size >= 9 && size <= 11, "cell %d has %d hosts", cell, size)
	}
	moved := 0
	more := append(hostNames(62), "host-new")
	for _, self := range hosts {
		if cell, _, count := place.Cells(more, self); count != 7 && cell != cells[self] {
			moved++
		}
	}
	assert.Assert(t, moved < 10, "%d hosts moved", moved)
	_, members, count := place.Cells(hostNames(7), "host-3")
	assert.Equal(t, count, 1)
	assert.Equal(t, len(members), 7)
}

// Guards against a host that uses engines of other cells, whose load it does not receive, while engines
// of its own cell are usable, and against refusing callers that other cells could serve.
func TestCellsDivideEngines(t *testing.T) {
	ts := newTestScheduler(t, 12)
	ts.handle(place.SetCell{Cell: 1, Count: 3})
	used := make(map[spoke.UpstreamID]bool)
	for i := range 40 {
		granted := ts.grant(ts.request(0, fmt.Sprint(i), 100, 100))
		used[granted.Upstream.ID] = true
		ts.now = ts.now.Add(20 * time.Millisecond)
		ts.handle(place.Began{Call: granted.Call})
		ts.handle(place.Ended{Call: granted.Call, Ending: place.EndServed})
	}
	assert.Equal(t, len(used), 4)
	for id := range used {
		ts.handle(place.Pause{Upstream: id, For: time.Minute})
	}
	other := ts.grant(ts.request(0, "x", 100, 100))
	assert.Assert(t, !used[other.Upstream.ID])
}

// Guards against calls to plain upstreams that hosts of other cells have filled, which only the load in
// their answers shows.
func TestLoadInAnswersIsUsed(t *testing.T) {
	ts := newTestScheduler(t, 0)
	first := ts.grant(ts.plainRequest())
	ts.handle(place.Ended{Call: first.Call, Ending: place.EndServed, Load: &spoke.UpstreamLoad{Running: 3, Waiting: 4, Slots: 3}})
	for range 3 {
		assert.Assert(t, ts.grant(ts.plainRequest()).Upstream.ID != first.Upstream.ID)
	}
}
