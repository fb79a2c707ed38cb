package origin_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/origin"
)

func listed(id spoke.UpstreamID, software spoke.SoftwareVersion) spoke.ListedUpstream {
	return spoke.ListedUpstream{ID: id, Service: "models", Software: software, Started: begin}
}

func snapshot(upstreams ...spoke.ListedUpstream) spoke.DirectoryChange {
	return spoke.DirectoryChange{IsSnapshot: true, Upstreams: upstreams}
}

// Guards against streams that are taken to be of the only version listed while those of a version that has just gone
// still run, and against messages about streams long after it has gone.
func TestVersionCountsForATimeAfterItIsGone(t *testing.T) {
	for name, gone := range map[string]spoke.DirectoryChange{
		"removed":         {RemovedUpstreams: []spoke.UpstreamID{"i-1"}},
		"not in snapshot": snapshot(listed("i-2", "v2")),
		"id used again":   {Upstreams: []spoke.ListedUpstream{listed("i-1", "v2")}},
	} {
		t.Run(name, func(t *testing.T) {
			versions := origin.NewVersions()
			versions.Apply(begin, snapshot(listed("i-1", "v1"), listed("i-2", "v2")))
			goneAt := begin.Add(time.Hour)
			assert.Equal(t, len(versions.Of(goneAt, "models")), 2)
			versions.Apply(goneAt, gone)
			assert.Equal(t, len(versions.Of(goneAt.Add(origin.Retention), "models")), 2)
			assert.DeepEqual(t, versions.Of(goneAt.Add(origin.Retention+time.Second), "models"), []spoke.SoftwareVersion{"v2"})
			assert.Equal(t, len(versions.Several(goneAt.Add(origin.Retention+time.Second))), 0)
		})
	}
}

// Guards against entries that are kept after an outage, and against those of other services, that count wrongly.
func TestVersionsOfOtherServicesAndKeptEntries(t *testing.T) {
	versions := origin.NewVersions()
	desk := spoke.ListedUpstream{ID: "d", Service: "desk", Software: "v7"}
	versions.Apply(begin, snapshot(listed("i-1", "v1"), desk))
	kept := snapshot(listed("i-2", "v1"))
	kept.KeepsUnlisted = true
	versions.Apply(begin, kept)
	later := begin.Add(2 * origin.Retention)
	assert.DeepEqual(t, versions.Of(later, "models"), []spoke.SoftwareVersion{"v1"})
	assert.DeepEqual(t, versions.Of(later, "desk"), []spoke.SoftwareVersion{"v7"})
	assert.Equal(t, len(versions.Several(later)), 0)
}

// Guards against a host that has just started and takes streams of a version that was listed before for those of the
// only one that it has seen itself, and against reports between hosts that keep a version for ever.
func TestStartedHostLearnsOfEarlierVersions(t *testing.T) {
	old, started := origin.NewVersions(), origin.NewVersions()
	old.Apply(begin, snapshot(listed("i-1", "v1"), listed("i-2", "v2")))
	old.Apply(begin, snapshot(listed("i-2", "v2")))
	started.Apply(begin, snapshot(listed("i-2", "v2")))
	const delay = 300 * time.Millisecond
	now := begin
	for now.Sub(begin) < origin.Retention+10*time.Second {
		report := old.Several(now)
		now = now.Add(delay)
		started.Observe(now, report)
		if now.Sub(begin) < origin.Retention {
			assert.Equal(t, len(started.Of(now, "models")), 2, now.Sub(begin).String())
		}
		report = started.Several(now)
		now = now.Add(delay)
		old.Observe(now, report)
	}
	assert.Equal(t, len(old.Of(now, "models"))+len(started.Of(now, "models")), 2)
}

// Guards against streams that begin at a version while hosts without news of the directory do not miss it yet, and against
// calls that are kept from most upstreams, or for longer.
func TestNewVersionBeginsNoStreamAtFirst(t *testing.T) {
	const settling = time.Second
	versions := origin.NewVersions()
	unsettled := func(now time.Time) []spoke.SoftwareVersion {
		found, _ := versions.Unsettled(now, "models", settling)
		return found
	}
	versions.Apply(begin, snapshot(listed("i-1", "v1"), listed("i-2", "v1"), listed("i-3", "v1")))
	assert.Equal(t, len(unsettled(begin)), 0)
	// The only version of a host that has just started is no new one.
	now := begin.Add(settling / 4)
	added := spoke.DirectoryChange{Upstreams: []spoke.ListedUpstream{listed("i-4", "v2")}}
	versions.Apply(now, added)
	// Another entry of the only upstream of the version does not begin the time anew.
	versions.Apply(now.Add(settling/2), added)
	found, until := versions.Unsettled(now.Add(settling-1), "models", settling)
	assert.DeepEqual(t, found, []spoke.SoftwareVersion{"v2"})
	assert.Equal(t, until, now.Add(settling))
	assert.Equal(t, len(unsettled(now.Add(settling))), 0)

	leaving := []spoke.ListedUpstream{listed("i-1", "v1"), listed("i-2", "v1"), listed("i-3", "v1")}
	for i := range leaving {
		leaving[i].IsLeaving = true
	}
	versions.Apply(now, spoke.DirectoryChange{Upstreams: leaving})
	assert.Equal(t, len(unsettled(now)), 0)
}

// Guards against an engine that starts again under its id with another version, which goes unnoticed, and against
// doubts about streams when only other fields of an entry change.
func TestRestartWithOtherSoftwareIsNoticed(t *testing.T) {
	versions := origin.NewVersions()
	versions.Apply(begin, snapshot(listed("i-1", "v1"), listed("i-2", "v1")))
	same := listed("i-2", "v1")
	same.IsLeaving, same.Started = true, begin.Add(time.Minute)
	again := listed("i-1", "v2")
	again.Started = begin.Add(time.Minute)
	restarts := versions.Apply(begin, spoke.DirectoryChange{Upstreams: []spoke.ListedUpstream{same, again}})
	assert.DeepEqual(t, restarts, []origin.Restart{{Upstream: "i-1", Started: again.Started}})
	assert.Assert(t, versions.IsReplaced(listed("i-1", "v1")))
	assert.Assert(t, !versions.IsReplaced(listed("i-2", "v1")))
	assert.Assert(t, !versions.IsReplaced(listed("i-9", "v1")))
}
