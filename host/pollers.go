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
	// reconcilePeriod bounds how long a new owner takes to start polling an upstream.
	reconcilePeriod = 250 * time.Millisecond
	// handoverTimeout bounds how long a run waits for this host to become the owner that its
	// requester already sees; changes of the membership arrive within one heartbeat.
	handoverTimeout = 500 * time.Millisecond
	// handoverCheckPeriod is the period at which a waiting run checks again.
	handoverCheckPeriod = 5 * time.Millisecond
)

type (
	// pollerTask runs one poller for each owned upstream.
	pollerTask struct {
		views     *viewTable
		manifest  spoke.ManifestSource
		admission *admissionTask
		engine    spoke.Engine
		timer     spoke.Timer
		events    spoke.EventSink
		runIndex  func(context.Context, spoke.Upstream)

		pollers   map[spoke.UpstreamID]*poller
		published atomic.Pointer[map[spoke.UpstreamID]*poller]
		// wake requests a reconciliation before the next tick.
		wake    chan struct{}
		applied *spoke.Manifest
	}
)

func newPollerTask(views *viewTable, manifest spoke.ManifestSource, admission *admissionTask, engine spoke.Engine, timer spoke.Timer, events spoke.EventSink) *pollerTask {
	task := &pollerTask{
		views: views, manifest: manifest, admission: admission, engine: engine, timer: timer, events: events,
		pollers: make(map[spoke.UpstreamID]*poller),
		wake:    make(chan struct{}, 1),
	}
	task.publish()
	return task
}

// Owned returns the upstreams that the task polls.
func (t *pollerTask) Owned() []spoke.UpstreamID {
	return sortedIDs(*t.published.Load())
}

// Await returns when the task polls an upstream, handoverTimeout has passed, or the context ends.
func (t *pollerTask) Await(ctx context.Context, id spoke.UpstreamID) {
	if t.isPolled(id) {
		return
	}
	timeout := t.timer.After(handoverTimeout)
	defer timeout.Stop()
	ticks := t.timer.Every(handoverCheckPeriod)
	defer ticks.Stop()
	for !t.isPolled(id) {
		select {
		case t.wake <- struct{}{}:
		default:
		}
		select {
		case <-ticks.C():
		case <-timeout.C():
			return
		case <-ctx.Done():
			return
		}
	}
}

func (t *pollerTask) isPolled(id spoke.UpstreamID) bool {
	_, ok := (*t.published.Load())[id]
	return ok
}

// Status returns what this host observed of an upstream that it owns.
func (t *pollerTask) Status(id spoke.UpstreamID) (upstreamStatus, bool) {
	poller, ok := (*t.published.Load())[id]
	if !ok {
		return upstreamStatus{}, false
	}
	status := poller.status.Load()
	if status == nil {
		return upstreamStatus{}, false
	}
	return *status, true
}

func (t *pollerTask) run(ctx context.Context) error {
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

func (t *pollerTask) reconcile(ctx context.Context) {
	owned := make(map[spoke.UpstreamID]spoke.Upstream)
	for _, upstream := range t.views.Owned() {
		owned[upstream.ID] = upstream
	}
	// The configuration is read after the upstreams, so that it contains their services.
	manifest := t.manifest.Current()
	changed := t.stopStale(owned)
	for id, upstream := range owned {
		if _, ok := t.pollers[id]; !ok {
			t.start(ctx, manifest, upstream)
			changed = true
		}
	}
	if changed || manifest != t.applied {
		t.configureAdmission(ctx, manifest)
	}
}

// stopStale stops the pollers of upstreams that changed or have another owner, and reports
// whether there were any.
func (t *pollerTask) stopStale(owned map[spoke.UpstreamID]spoke.Upstream) bool {
	changed := false
	for id, poller := range t.pollers {
		if upstream, ok := owned[id]; !ok || !poller.matches(upstream) {
			poller.cancel()
			delete(t.pollers, id)
			changed = true
		}
	}
	return changed
}

func (t *pollerTask) start(ctx context.Context, manifest *spoke.Manifest, upstream spoke.Upstream) {
	service, _ := manifest.Service(upstream.Service)
	ctx, cancel := context.WithCancel(ctx)
	poller := &poller{
		upstream: upstream, engine: t.engine, timer: t.timer, events: t.events, cancel: cancel,
		isPlain: service.Kind == spoke.ServicePlain,
		report: func(ctx context.Context, report spoke.LoadReport) {
			t.admission.Send(ctx, spoke.ReportLoad{Upstream: upstream.ID, Report: report})
		},
	}
	t.pollers[upstream.ID] = poller
	t.events.Record(spoke.Event{Kind: "upstream-owned", Upstream: upstream.ID})
	go poller.run(ctx)
	if t.runIndex != nil && !poller.isPlain {
		go t.runIndex(ctx, upstream)
	}
}

func (t *pollerTask) configureAdmission(ctx context.Context, manifest *spoke.Manifest) {
	t.applied = manifest
	// Runs that wait in Await must find the upstream configured in the admission.
	defer t.publish()
	t.admission.Send(ctx, spoke.ConfigureAdmission{
		Ranks:      manifest.Ranks(),
		Workspaces: manifest.Workspaces(),
		Owned:      sortedIDs(t.pollers),
	})
}

func (t *pollerTask) publish() {
	copied := maps.Clone(t.pollers)
	t.published.Store(&copied)
}

func sortedIDs(pollers map[spoke.UpstreamID]*poller) []spoke.UpstreamID {
	return slices.Sorted(maps.Keys(pollers))
}
