package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

func entry(id spoke.UpstreamID, start, sequence int64, isLeaving bool) spoke.ListedUpstream {
	return spoke.ListedUpstream{ID: id, Started: time.UnixMilli(start), Sequence: sequence, IsLeaving: isLeaving}
}

// Guards against older entries that count after the directory has returned from a copy: an engine that is leaving and
// looks ready, one that has left, one that has started again since; and against engines that do not count although
// they are listed again.
func TestOlderEntriesDoNotCount(t *testing.T) {
	now := time.Unix(1000, 0)
	var latest place.LatestEntries
	latest.Update(now, spoke.DirectoryChange{IsSnapshot: true, Upstreams: []spoke.ListedUpstream{
		entry("leaving", 1, 5, true), entry("left", 1, 5, false), entry("restarted", 2, 1, false), entry("unlisted", 1, 5, false),
	}})
	latest.Update(now, spoke.DirectoryChange{RemovedUpstreams: []spoke.UpstreamID{"left"}})
	latest.Return(now)
	returned := spoke.DirectoryChange{IsSnapshot: true, KeepsUnlisted: true, Upstreams: []spoke.ListedUpstream{
		entry("leaving", 1, 4, false), entry("left", 1, 5, false), entry("restarted", 1, 9, false), entry("new", 1, 1, false),
	}}
	got := latest.Update(now.Add(time.Second), returned)
	assert.DeepEqual(t, got.Upstreams, []spoke.ListedUpstream{entry("leaving", 1, 5, true), entry("restarted", 2, 1, false), entry("new", 1, 1, false)})

	// The engine that had left writes again, another one under its id has started, and time has passed.
	again := func(at time.Duration, written spoke.ListedUpstream) int {
		return len(latest.Update(now.Add(at), spoke.DirectoryChange{Upstreams: []spoke.ListedUpstream{written}}).Upstreams)
	}
	assert.Equal(t, again(2*time.Second, entry("left", 1, 5, false)), 0)
	assert.Equal(t, again(20*time.Second, entry("left", 1, 5, false)), 1)
	latest.Update(now.Add(21*time.Second), spoke.DirectoryChange{RemovedUpstreams: []spoke.UpstreamID{"left"}})
	latest.Return(now.Add(22 * time.Second))
	assert.Equal(t, again(23*time.Second, entry("left", 1, 6, false)), 1)
	latest.Update(now.Add(24*time.Second), spoke.DirectoryChange{RemovedUpstreams: []spoke.UpstreamID{"left"}})
	assert.Equal(t, again(25*time.Second, entry("left", 7, 1, false)), 1)
}

// Guards against an engine that is no longer followed, since another writer has left an entry with a high number or a
// late start under its id.
func TestOddNumbersDoNotStopUpdates(t *testing.T) {
	now := time.Unix(1000, 0)
	var latest place.LatestEntries
	for _, written := range []spoke.ListedUpstream{entry("engine", 1, 1<<60, false), entry("engine", 1<<40, 1, false), entry("engine", 1, 2, true)} {
		got := latest.Update(now, spoke.DirectoryChange{Upstreams: []spoke.ListedUpstream{written}})
		assert.DeepEqual(t, got.Upstreams, []spoke.ListedUpstream{written})
	}
}
