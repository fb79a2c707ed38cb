package host

import (
	"sync/atomic"
	"time"

	"magnoliaspoke.example/spoke"
)

type (
	// ownerFunc chooses the owner of an upstream among hosts.
	ownerFunc func(upstream spoke.UpstreamID, hosts []spoke.HostID) spoke.HostID

	// viewTable combines configuration, membership and this host's observations into upstream views.
	viewTable struct {
		manifest spoke.ManifestSource
		members  func() *spoke.Membership
		status   func(spoke.UpstreamID) (upstreamStatus, bool)
		owner    ownerFunc
		timer    spoke.Timer
		cached   atomic.Pointer[ownership]
		marks    atomic.Pointer[upstreamMarks]
	}

	// upstreamMarks holds the upstreams that the hosts of one membership report as leaving or paused.
	upstreamMarks struct {
		members *spoke.Membership
		leaving map[spoke.UpstreamID]bool
		paused  map[spoke.UpstreamID]time.Time
	}

	// ownership is the assignment of upstreams to hosts for one manifest and one set of hosts.
	ownership struct {
		manifest  *spoke.Manifest
		epoch     uint64
		byService map[spoke.ServiceName][]spoke.UpstreamView
		owners    map[spoke.UpstreamID]spoke.HostID
	}
)

func newViewTable(manifest spoke.ManifestSource, members func() *spoke.Membership, owner ownerFunc, timer spoke.Timer) *viewTable {
	return &viewTable{
		manifest: manifest, members: members, owner: owner, timer: timer,
		status: func(spoke.UpstreamID) (upstreamStatus, bool) { return upstreamStatus{}, false },
	}
}

// Views returns one view for each configured upstream of the service.
func (v *viewTable) Views(service spoke.ServiceName) []spoke.UpstreamView {
	members := v.members()
	assigned := v.ownership(members).byService[service]
	marks := v.marksFor(members)
	now := v.timer.Now()
	views := make([]spoke.UpstreamView, len(assigned))
	for i, view := range assigned {
		view.Load = members.Peers[view.Owner].Digest.Loads[view.Upstream.ID]
		if status, ok := v.status(view.Upstream.ID); ok {
			status.applyTo(&view.Load)
		}
		if marks.leaving[view.Upstream.ID] {
			view.Load.Draining = true
		}
		view.Load.Paused = now.Before(marks.paused[view.Upstream.ID])
		views[i] = view
	}
	return views
}

// Owner returns the host that owns an upstream, empty if no host of its data centre is reachable.
func (v *viewTable) Owner(upstream spoke.UpstreamID) spoke.HostID {
	return v.ownership(v.members()).owners[upstream]
}

// Owned returns the upstreams that this host owns.
func (v *viewTable) Owned() []spoke.Upstream {
	members := v.members()
	var owned []spoke.Upstream
	for _, views := range v.ownership(members).byService {
		for _, view := range views {
			if view.Owner == members.Self {
				owned = append(owned, view.Upstream)
			}
		}
	}
	return owned
}

func (v *viewTable) ownership(members *spoke.Membership) *ownership {
	manifest := v.manifest.Current()
	cached := v.cached.Load()
	if cached != nil && cached.manifest == manifest && cached.epoch == members.Epoch {
		return cached
	}
	fresh := v.assign(manifest, members)
	v.cached.Store(fresh)
	return fresh
}

func (v *viewTable) assign(manifest *spoke.Manifest, members *spoke.Membership) *ownership {
	hosts := make(map[spoke.DataCentreID][]spoke.HostID)
	for id, peer := range members.Peers {
		if peer.CanOwn() {
			hosts[peer.DataCentre] = append(hosts[peer.DataCentre], id)
		}
	}
	result := &ownership{
		manifest: manifest, epoch: members.Epoch,
		byService: make(map[spoke.ServiceName][]spoke.UpstreamView),
		owners:    make(map[spoke.UpstreamID]spoke.HostID),
	}
	for _, upstream := range manifest.Upstreams() {
		view := spoke.UpstreamView{Upstream: upstream}
		if candidates := hosts[upstream.DataCentre]; len(candidates) > 0 {
			view.Owner = v.owner(upstream.ID, candidates)
		}
		result.byService[upstream.Service] = append(result.byService[upstream.Service], view)
		result.owners[upstream.ID] = view.Owner
	}
	return result
}

// marksFor caches its result for one membership, since a scan of all hosts on each request
// would be most of the cost of the views.
func (v *viewTable) marksFor(members *spoke.Membership) *upstreamMarks {
	if cached := v.marks.Load(); cached != nil && cached.members == members {
		return cached
	}
	marks := &upstreamMarks{
		members: members,
		leaving: make(map[spoke.UpstreamID]bool),
		paused:  make(map[spoke.UpstreamID]time.Time),
	}
	for _, peer := range members.Peers {
		if peer.State == spoke.PeerDead {
			continue
		}
		for _, id := range peer.Digest.Leaving {
			marks.leaving[id] = true
		}
		for id, until := range peer.Digest.Paused {
			if until.After(marks.paused[id]) {
				marks.paused[id] = until
			}
		}
	}
	v.marks.Store(marks)
	return marks
}
