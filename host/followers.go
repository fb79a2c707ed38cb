package host

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// reconcilePeriod bounds how long a new owner takes to start following an upstream.
	reconcilePeriod = 250 * time.Millisecond
	// handoverLimit bounds how long a run waits for this host to become the owner that its
	// requester already sees; the news of a change arrives within one heartbeat.
	handoverLimit = 500 * time.Millisecond
	// handoverCheck is the period at which a waiting run looks again.
	handoverCheck = 5 * time.Millisecond
)

type (
	// followerTask keeps one follower for each owned upstream.
	followerTask struct {
		views     *viewTable
		manifest  spoke.ManifestSource
		admission *admissionTask
		engine    spoke.Engine
		timer     spoke.Timer
		events    spoke.EventSink
		watch     func(context.Context, spoke.Upstream)

		followers map[spoke.UpstreamID]*follower
		shared    atomic.Pointer[map[spoke.UpstreamID]*follower]
		// wake asks for a reconciliation before its time.
		wake    chan struct{}
		applied *spoke.Manifest
	}
)

func newFollowerTask(views *viewTable, manifest spoke.ManifestSource, admission *admissionTask, engine spoke.Engine, timer spoke.Timer, events spoke.EventSink) *followerTask {
	task := &followerTask{
		views: views, manifest: manifest, admission: admission, engine: engine, timer: timer, events: events,
		followers: make(map[spoke.UpstreamID]*follower),
		wake:      make(chan struct{}, 1),
	}
	task.share()
	return task
}

// Owned lists the upstreams that the task follows.
func (t *followerTask) Owned() []spoke.UpstreamID {
	return sortedIDs(*t.shared.Load())
}

// Await returns when the task follows an upstream or the limit of a handover has passed.
func (t *followerTask) Await(ctx context.Context, id spoke.UpstreamID) {
	if t.follows(id) {
		return
	}
	limit := t.timer.After(handoverLimit)
	defer limit.Stop()
	ticks := t.timer.Every(handoverCheck)
	defer ticks.Stop()
	for !t.follows(id) {
		select {
		case t.wake <- struct{}{}:
		default:
		}
		select {
		case <-ticks.C():
		case <-limit.C():
			return
		case <-ctx.Done():
			return
		}
	}
}

func (t *followerTask) follows(id spoke.UpstreamID) bool {
	_, ok := (*t.shared.Load())[id]
	return ok
}

// Status returns what the own host observed of an upstream that it owns.
func (t *followerTask) Status(id spoke.UpstreamID) (upstreamStatus, bool) {
	follower, ok := (*t.shared.Load())[id]
	if !ok {
		return upstreamStatus{}, false
	}
	status := follower.status.Load()
	if status == nil {
		return upstreamStatus{}, false
	}
	return *status, true
}

func (t *followerTask) run(ctx context.Context) error {
	ticks := t.timer.Every(reconcilePeriod)
	defer ticks.Stop()
	for {
		t.reconcile(ctx)
		select {
		case <-ticks.C():
		case <-t.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (t *followerTask) reconcile(ctx context.Context) {
	owned := make(map[spoke.UpstreamID]spoke.Upstream)
	for _, upstream := range t.views.Owned() {
		owned[upstream.ID] = upstream
	}
	// The configuration is read after the upstreams, so that it holds their services.
	manifest := t.manifest.Current()
	changed := t.dropOthers(owned)
	for id, upstream := range owned {
		if _, ok := t.followers[id]; !ok {
			t.start(ctx, manifest, upstream)
			changed = true
		}
	}
	if changed || manifest != t.applied {
		t.configure(ctx, manifest)
	}
}

// dropOthers ends the followers of upstreams that changed or have another owner.
func (t *followerTask) dropOthers(owned map[spoke.UpstreamID]spoke.Upstream) bool {
	changed := false
	for id, follower := range t.followers {
		if upstream, ok := owned[id]; !ok || !follower.follows(upstream) {
			follower.cancel()
			delete(t.followers, id)
			changed = true
		}
	}
	return changed
}

func (t *followerTask) start(ctx context.Context, manifest *spoke.Manifest, upstream spoke.Upstream) {
	service, _ := manifest.Service(upstream.Service)
	ctx, cancel := context.WithCancel(ctx)
	follower := &follower{
		upstream: upstream, engine: t.engine, timer: t.timer, events: t.events, cancel: cancel,
		isPlain: service.Kind == spoke.ServicePlain,
		report: func(ctx context.Context, report spoke.LoadReport) {
			t.admission.Send(ctx, spoke.ReportLoad{Upstream: upstream.ID, Report: report})
		},
	}
	t.followers[upstream.ID] = follower
	t.events.Record(spoke.Event{Kind: "upstream-owned", Upstream: upstream.ID})
	go follower.run(ctx)
	if t.watch != nil && !follower.isPlain {
		go t.watch(ctx, upstream)
	}
}

func (t *followerTask) configure(ctx context.Context, manifest *spoke.Manifest) {
	t.applied = manifest
	// A run that waits for the upstream must find it configured.
	defer t.share()
	t.admission.Send(ctx, spoke.ConfigureAdmission{
		Ranks:      manifest.Ranks(),
		Workspaces: manifest.Workspaces(),
		Owned:      sortedIDs(t.followers),
	})
}

func (t *followerTask) share() {
	copied := maps.Clone(t.followers)
	t.shared.Store(&copied)
}

func sortedIDs(followers map[spoke.UpstreamID]*follower) []spoke.UpstreamID {
	return slices.Sorted(maps.Keys(followers))
}
