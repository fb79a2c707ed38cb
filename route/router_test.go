package route_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/route"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func view(id int) spoke.UpstreamView {
	return spoke.UpstreamView{
		Upstream: spoke.Upstream{ID: spoke.UpstreamID(fmt.Sprint("u", id)), Service: "language", DataCentre: "dc1", State: spoke.UpstreamServing},
		Owner:    "h1",
		Load:     spoke.LoadSummary{Limit: 8, Versions: map[spoke.ModelName]spoke.ModelVersion{"m": "v1"}},
	}
}

func makeViews(n int) []spoke.UpstreamView {
	views := make([]spoke.UpstreamView, n)
	for i := range views {
		views[i] = view(i)
	}
	return views
}

func query(keys ...byte) spoke.RouteQuery {
	q := spoke.RouteQuery{
		Service: "language", Model: "m", Version: "v1", DataCentre: "dc1",
		Rank: spoke.Rank{Name: "urgent", FirstTokenTarget: time.Second},
	}
	for _, k := range keys {
		q.Keys = append(q.Keys, spoke.BlockKey{k})
	}
	return q
}

// Guards against routing to upstreams that must not get the request, and against the use of unknown
// versions or other data centres while better upstreams are available.
func TestRoutersExcludeUnusableUpstreams(t *testing.T) {
	routers := map[string]spoke.Router{
		"affinity": route.NewAffinity(), "two choices": route.NewTwoChoices(1), "round robin": route.NewRoundRobin(),
	}
	rapid.Check(t, func(t *rapid.T) {
		views := makeViews(rapid.IntRange(0, 8).Draw(t, "n"))
		q := query(1, 2, 3)
		q.Exclude = map[spoke.UpstreamID]bool{}
		var local, remote, unknown []spoke.UpstreamID
		for i := range views {
			v := &views[i]
			v.Load.Running = rapid.IntRange(0, 20).Draw(t, "running")
			fault := rapid.IntRange(0, 10).Draw(t, "fault")
			applyFault(v, fault, q)
			switch fault {
			case 0, 1, 2:
				local = append(local, v.Upstream.ID)
			case 3:
				remote = append(remote, v.Upstream.ID)
			case 4:
				unknown = append(unknown, v.Upstream.ID)
			}
		}
		want := slices.Concat(local, unknown)
		if len(want) == 0 {
			want = remote
		}
		for name, router := range routers {
			got := router.Choose(now, q, views)
			if !slices.Equal(slices.Sorted(slices.Values(got)), slices.Sorted(slices.Values(want))) {
				t.Fatalf("%s chose %v, want %v", name, got, want)
			}
			for _, id := range got[:min(len(local), len(got))] {
				if slices.Contains(unknown, id) {
					t.Fatalf("%s put unknown version %s before known ones: %v", name, id, got)
				}
			}
		}
	})
}

func applyFault(v *spoke.UpstreamView, fault int, q spoke.RouteQuery) {
	switch fault {
	case 3:
		v.Upstream.DataCentre = "dc2"
	case 4:
		v.Load.Versions = nil
	case 5:
		v.Load.Versions = map[spoke.ModelName]spoke.ModelVersion{"m": "v0"}
	case 6:
		v.Load.Draining = true
	case 7:
		v.Load.Dead = true
	case 8:
		v.Owner = ""
	case 9:
		v.Upstream.State = spoke.UpstreamLeaving
	case 10:
		q.Exclude[v.Upstream.ID] = true
	}
}

// Guards against prompts with a long common prefix being spread over upstreams, also while they grow.
func TestAffinityRoutesCommonPrefixToOneUpstream(t *testing.T) {
	router, views := route.NewAffinity(), makeViews(9)
	first := router.Choose(now, query(1, 2), views)
	for tail := byte(3); tail < 20; tail++ {
		assert.DeepEqual(t, router.Choose(now, query(1, 2, tail, tail+1), views), first)
	}
}

// Guards against a hot prefix that overloads its upstream: it must spill to the next in hash order.
func TestAffinitySpillsInHashOrder(t *testing.T) {
	router, views := route.NewAffinity(), makeViews(9)
	first := router.Choose(now, query(1, 2), views)
	preferred := &views[slices.IndexFunc(views, func(v spoke.UpstreamView) bool { return v.Upstream.ID == first[0] })]

	preferred.Load.Running = 8
	assert.Equal(t, router.Choose(now, query(1, 2), views)[0], first[1], "load above the bound")
	preferred.Load.Running = 7
	assert.Equal(t, router.Choose(now, query(1, 2), views)[0], first[0], "free place")
	preferred.Load.Waits = map[spoke.RankName]time.Duration{"urgent": 2 * time.Second}
	assert.Equal(t, router.Choose(now, query(1, 2), views)[0], first[1], "wait above the target")
}

// Guards against a removed host causing reassignment of upstreams that it did not own, and against
// uneven ownership.
func TestOwnerReassignsOnlyUpstreamsOfRemovedHost(t *testing.T) {
	var hosts []spoke.HostID
	for i := range 7 {
		hosts = append(hosts, spoke.HostID(fmt.Sprint("h", i)))
	}
	owned := map[spoke.HostID]int{}
	for i := range 700 {
		upstream := spoke.UpstreamID(fmt.Sprint("u", i))
		before, after := route.Owner(upstream, hosts), route.Owner(upstream, hosts[1:])
		owned[before]++
		if before != hosts[0] {
			assert.Equal(t, before, after)
		}
	}
	for _, host := range hosts {
		assert.Assert(t, owned[host] > 60 && owned[host] < 140, "%s owns %d of 700", host, owned[host])
	}
	assert.Equal(t, route.Owner("u1", nil), spoke.HostID(""))
}

// Guards against an order in which another host takes a task over than the one that owns it once the first is removed.
func TestOrderIsThatOfTheNextOwners(t *testing.T) {
	var hosts []spoke.HostID
	for i := range 20 {
		hosts = append(hosts, spoke.HostID(fmt.Sprint("h", i)))
	}
	order := route.Order("u1", hosts)
	assert.Equal(t, len(order), len(hosts))
	for _, next := range order {
		assert.Equal(t, route.Owner("u1", hosts), next)
		hosts = slices.DeleteFunc(hosts, func(host spoke.HostID) bool { return host == next })
	}
}
