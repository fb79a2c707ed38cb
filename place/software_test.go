package place_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// listSoftware lists engines with the given software versions in place of those of the scheduler.
func (ts *testScheduler) listSoftware(versions ...spoke.SoftwareVersion) {
	var listed []spoke.ListedUpstream
	for i, version := range versions {
		listed = append(listed, engine(i))
		listed[i].Software = version
	}
	ts.handle(place.SetUpstreams{IsSnapshot: true, Listed: listed})
}

// resumption returns a request that goes on with a stream of a software version.
func (ts *testScheduler) resumption(version spoke.SoftwareVersion) place.Request {
	request := ts.request(1, fmt.Sprint("s-", ts.next), 100, 50)
	request.Software = version
	return request
}

// fillEngines gives the only engine of a software version as many calls as it runs at once.
func (ts *testScheduler) fillEngines(version spoke.SoftwareVersion) {
	ts.t.Helper()
	for range 16 {
		granted := ts.grant(ts.resumption(version))
		ts.advance(20 * time.Millisecond)
		ts.handle(place.Began{Call: granted.Call})
	}
}

// Guards against streams that go on at another software version than the one that began them, under the load of many
// calls for few engines of the version.
func TestResumptionsArePlacedAtTheirSoftwareVersion(t *testing.T) {
	ts := newTestScheduler(t, 0)
	ts.listSoftware("v1", "v2", "v2", "v1", "v2", "v3")
	granted := make(map[spoke.SoftwareVersion]int)
	running := make(map[spoke.CallNumber]spoke.SoftwareVersion)
	record := func(actions []place.Action) {
		for _, action := range actions {
			if grant, isGrant := action.(place.Grant); isGrant {
				granted[grant.Upstream.Software]++
				if required := running[grant.Call]; required != "" {
					assert.Equal(t, grant.Upstream.Software, required)
				}
			}
		}
	}
	for i := range 300 {
		request := ts.resumption([]spoke.SoftwareVersion{"", "v1", "v3"}[i%3])
		running[request.Call] = request.Software
		record(ts.handle(request))
		if i%2 == 1 {
			ended := spoke.CallNumber(i / 2)
			record(ts.handle(place.Began{Call: ended}))
			record(ts.handle(place.Ended{Call: ended}))
		}
		record(ts.advance(20 * time.Millisecond))
	}
	assert.Assert(t, granted["v1"] > 0 && granted["v2"] > 0 && granted["v3"] > 0, "%v", granted)
}

// Guards against a call that waits until its deadline, or for another version, when no engine of its version is left.
func TestResumptionWithoutItsSoftwareVersionIsRefusedAtOnce(t *testing.T) {
	ts := newTestScheduler(t, 0)
	ts.listSoftware("v1", "v2")
	refused := ts.refusal(ts.resumption("v3"))
	assert.Equal(t, refused.Reason, place.RefusedSoftware)
	assert.Assert(t, refused.RetryAfter > 0)

	tried := ts.resumption("v1")
	tried.Tried = []spoke.UpstreamID{"engine-0"}
	assert.Equal(t, ts.refusal(tried).Reason, place.RefusedSoftware)

	ts.fillEngines("v1")
	ts.waits(ts.resumption("v1"))
	leaving := engine(0)
	leaving.Software, leaving.IsLeaving = "v1", true
	actions := ts.handle(place.SetUpstreams{Listed: []spoke.ListedUpstream{leaving}})
	assert.Equal(t, len(actions), 1, "%v", actions)
	assert.Equal(t, actions[0].(place.Refuse).Reason, place.RefusedSoftware)
}

// Guards against new calls that wait behind a resumption whose software version has no free engine.
func TestNewCallsDoNotWaitForSoftwareVersions(t *testing.T) {
	ts := newTestScheduler(t, 0)
	ts.listSoftware("v1", "v2")
	ts.fillEngines("v1")
	ts.waits(ts.resumption("v1"))
	granted := ts.grant(ts.request(1, "new", 100, 50))
	assert.Equal(t, granted.Upstream.Software, spoke.SoftwareVersion("v2"))
}

// Guards against streams that begin at a version that other hosts do not know of yet, and against calls that may get that
// version but wait behind those that may not.
func TestExcludedSoftwareVersionsGetNoCall(t *testing.T) {
	ts := newTestScheduler(t, 0)
	ts.listSoftware("v1", "v2")
	ts.fillExcluding(time.Minute)
	ts.waits(ts.excluding(time.Minute))
	assert.Equal(t, ts.grant(ts.resumption("v2")).Upstream.Software, spoke.SoftwareVersion("v2"))
	assert.Equal(t, ts.grant(ts.request(1, "new", 100, 50)).Upstream.Software, spoke.SoftwareVersion("v2"))
}

// excluding returns a request for a new stream that must not begin at v2 for some time.
func (ts *testScheduler) excluding(period time.Duration) place.Request {
	request := ts.resumption("")
	request.NotSoftware, request.NotSoftwareUntil = []spoke.SoftwareVersion{"v2"}, ts.now.Add(period)
	return request
}

// fillExcluding gives the only engine of v1 as many new streams as it runs at once.
func (ts *testScheduler) fillExcluding(period time.Duration) {
	ts.t.Helper()
	for range 16 {
		granted := ts.grant(ts.excluding(period))
		assert.Equal(ts.t, granted.Upstream.Software, spoke.SoftwareVersion("v1"))
		ts.advance(20 * time.Millisecond)
		ts.handle(place.Began{Call: granted.Call})
	}
}

// Guards against waiting streams that never begin at a version which has become known meanwhile, or are refused since the
// engines of all others leave.
func TestExclusionOfVersionEndsWhileCallWaits(t *testing.T) {
	for name, end := range map[string]func(*testScheduler) []place.Action{
		"time over": func(ts *testScheduler) []place.Action { return ts.advance(500 * time.Millisecond) },
		"others leave": func(ts *testScheduler) []place.Action {
			leaving := engine(0)
			leaving.Software, leaving.IsLeaving = "v1", true
			return ts.handle(place.SetUpstreams{Listed: []spoke.ListedUpstream{leaving}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			ts := newTestScheduler(t, 0)
			ts.listSoftware("v1", "v2")
			ts.fillExcluding(time.Minute)
			ts.waits(ts.excluding(500 * time.Millisecond))
			actions := end(ts)
			assert.Equal(t, len(actions), 1, "%v", actions)
			granted, isGrant := actions[0].(place.Grant)
			assert.Assert(t, isGrant, "%v", actions)
			assert.Equal(t, granted.Upstream.Software, spoke.SoftwareVersion("v2"))
		})
	}
}

// Guards against state of the software version before in the node of an engine that started again under its id.
func TestOtherSoftwareUnderSameIDIsANewUpstream(t *testing.T) {
	ts := newTestScheduler(t, 0)
	ts.listSoftware("v1")
	granted := ts.grant(ts.request(1, "a", 1000, 50))
	ts.handle(place.Began{Call: granted.Call})
	ts.handle(place.Ended{Call: granted.Call})
	assert.Assert(t, ts.grant(ts.request(1, "a", 1000, 50)).Cached > 0)
	ts.listSoftware("v2")
	assert.Equal(t, ts.grant(ts.request(1, "a", 1000, 50)).Cached, spoke.TokenCount(0))
}
