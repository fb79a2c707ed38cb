package host

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/config"
	"magnoliaspoke.example/spoke/coord"
	"magnoliaspoke.example/spoke/events"
	"magnoliaspoke.example/spoke/route"
	"magnoliaspoke.example/spoke/ticket"
	"magnoliaspoke.example/spoke/timer"
	"magnoliaspoke.example/spoke/wire"
)

type (
	// Owner gives tests access to the runs of an owner.
	Owner struct{ owner }

	// NoBlocks is a block loader without blocks.
	NoBlocks struct{}

	// NoHandover is the handover of a host that already polls its upstreams.
	NoHandover struct{}
)

// NewOwner starts an owner's admission task, which ends with the context.
func NewOwner(ctx context.Context, manifest spoke.ManifestSource, policy spoke.Admission, engine spoke.Engine, timer spoke.Timer, events spoke.EventSink) *Owner {
	admission := newAdmissionTask(policy, timer)
	go func() { _ = admission.run(ctx) }()
	return &Owner{owner{
		manifest: manifest, admission: admission, engine: engine, blocks: NoBlocks{},
		handover: NoHandover{},
		timer:    timer, events: events, baseCtx: ctx,
	}}
}

// Load returns the run unchanged.
func (NoBlocks) Load(_ context.Context, _ spoke.Upstream, dispatch spoke.Dispatch) spoke.RunSpec {
	return dispatch.Spec
}

// Await does not wait.
func (NoHandover) Await(context.Context, spoke.UpstreamID) {}

// RunFinished does nothing.
func (NoBlocks) RunFinished(spoke.Upstream, spoke.Dispatch, spoke.Usage, time.Duration) {}

// SwapTask gives tests access to the swap task.
type SwapTask struct{ *swapTask }

// NewSwapTask returns a swap task that competes for the orders lease under the holder's ID.
func NewSwapTask(holder spoke.HostID, manifest spoke.ManifestSource, leases spoke.Leases, engine spoke.Engine, isWatcher func() bool, timer spoke.Timer) SwapTask {
	none := func() *spoke.Membership { return &spoke.Membership{} }
	return SwapTask{&swapTask{
		holder: holder, manifest: manifest, views: newViewTable(manifest, none, route.Owner, timer),
		isWatcher: isWatcher, leases: leases, engine: engine, timer: timer,
		events: events.NewRecorder(holder, timer, 64), log: DiscardLog(),
	}}
}

// OutOfService returns the upstreams that wait for their swap.
func (s SwapTask) OutOfService() []spoke.UpstreamID {
	return slices.Sorted(maps.Keys(s.Paused()))
}

// NewSharedRouter returns the router of a host, which wraps another one.
func NewSharedRouter(router spoke.Router) spoke.Router { return &sharedRouter{router: router} }

// Run competes for the lease and sends orders until the context ends.
func (s SwapTask) Run(ctx context.Context) { _ = s.run(ctx) }

// DiscardLog returns a log without output.
func DiscardLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

type (
	// TestHost is a host for tests; NewTestHost returns one without listeners, on a fake network.
	TestHost struct{ *Host }

	addressListener struct {
		net.Listener
		address spoke.Address
	}
)

// Addr returns the address that the host announces to its peers.
func (l addressListener) Addr() net.Addr { return l }

// Network returns the network of the address.
func (l addressListener) Network() string { return "tcp" }

// String returns the address.
func (l addressListener) String() string { return string(l.address) }

// NewTestHost assembles a host as New does; network carries its calls to other hosts and to
// the platform.
func NewTestHost(settings config.Entry, network http.RoundTripper, engine spoke.Engine) TestHost {
	clock := timer.NewSystem()
	h := &Host{
		settings: settings, listeners: Listeners{Internal: addressListener{address: settings.Internal}},
		log: DiscardLog(), timer: clock, started: clock.Now(),
	}
	h.baseCtx, h.cancel = context.WithCancel(context.Background())
	h.events = events.NewRecorder(settings.Host, clock, settings.EventCapacity)
	h.platform = coord.New(settings.Platform, coord.WithTimer(clock), coord.WithTransport(network))
	h.composeMembership()
	h.members.client = wire.NewClient(wire.NewSigner(string(settings.PeerSecret)), clock, h.events, wire.WithTransport(network))
	h.composeQuarantine()
	h.composeOwner()
	h.owner.engine, h.pollers.engine, h.swaps.engine, h.blocks.engine = engine, engine, engine, engine
	h.composeServers(nil)
	return TestHost{h}
}

// Run runs the tasks until Stop and returns when all have ended.
func (h TestHost) Run() {
	var tasks sync.WaitGroup
	for _, task := range h.tasks() {
		tasks.Go(func() { _ = task(h.baseCtx) })
	}
	tasks.Wait()
}

// Stop stops the host without a drain, as a crash does.
func (h TestHost) Stop() { h.cancel() }

// AnnounceDrain marks the host as draining and announces that to its peers.
func (h TestHost) AnnounceDrain(ctx context.Context) { h.drainer.announce(ctx) }

// Internal returns the handler of the internal API.
func (h TestHost) Internal() http.Handler { return h.internalServer.Handler }

// Administration returns the administration API of the host.
func (h TestHost) Administration() spoke.Administration {
	return administration{host: h.Host, acceptor: ticket.NewAcceptor(h.platform)}
}

// Views returns the host's views of the upstreams of a service.
func (h TestHost) Views(name spoke.ServiceName) []spoke.UpstreamView { return h.views.Views(name) }

// Owned returns the upstreams that the host polls.
func (h TestHost) Owned() []spoke.UpstreamID { return h.pollers.Owned() }

// Members returns the host's view of the membership.
func (h TestHost) Members() *spoke.Membership { return h.members.View() }

// Dispatch sends an attempt to the owner of its upstream in the host's view.
func (h TestHost) Dispatch(ctx context.Context, dispatch spoke.Dispatch) (spoke.RunStream, error) {
	d := &dispatcher{
		self: h.settings.Host, manifest: h.manifestView, views: h.views, members: h.members,
		owner: h.owner, client: h.members.client,
	}
	return d.Dispatch(ctx, dispatch)
}

// PollerTask gives tests access to the pollers of one host.
type PollerTask struct{ *pollerTask }

// NewPollerTask returns the pollers of a host that owns all upstreams.
func NewPollerTask(manifest spoke.ManifestSource, policy spoke.Admission, engine spoke.Engine) PollerTask {
	clock := timer.NewSystem()
	members := &spoke.Membership{Self: "h1", Peers: map[spoke.HostID]spoke.Peer{
		"h1": {ID: "h1", DataCentre: "dc1", State: spoke.PeerAlive},
	}}
	views := newViewTable(manifest, func() *spoke.Membership { return members }, route.Owner, timer.NewSystem())
	sink := events.NewRecorder("h1", clock, 64)
	return PollerTask{newPollerTask(views, manifest, newAdmissionTask(policy, clock), engine, clock, sink)}
}

// Run runs the pollers and the admission until the context ends.
func (p PollerTask) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = p.admission.run(ctx) })
	tasks.Go(func() { _ = p.run(ctx) })
	tasks.Wait()
}

// Observed returns whether the host has observed an upstream and whether it counts as dead.
func (p PollerTask) Observed(id spoke.UpstreamID) (known, dead bool) {
	status, known := p.Status(id)
	return known, status.dead
}

// Index gives tests access to the index of an engine's prefix cache.
type Index struct{ *indexTask }

// NewIndex returns the index of an engine.
func NewIndex(engine spoke.Engine) Index {
	return Index{newIndexTask(spoke.Upstream{ID: "u1"}, engine, timer.NewSystem())}
}

// Run reads the engine's cache events until the context ends.
func (x Index) Run(ctx context.Context) { x.run(ctx) }

// Query returns how many leading blocks are resident and whether one is in doubt.
func (x Index) Query(ctx context.Context, keys ...spoke.BlockKey) (resident int, isDoubtful bool) {
	reply := x.query(ctx, keys)
	return reply.resident, reply.isDoubtful
}

// MarkDoubtful marks blocks that no run may use.
func (x Index) MarkDoubtful(ctx context.Context, keys ...spoke.BlockKey) { x.markDoubtful(ctx, keys) }

// NewViews returns the views of a host by service.
func NewViews(manifest spoke.ManifestSource, members func() *spoke.Membership) func(spoke.ServiceName) []spoke.UpstreamView {
	return newViewTable(manifest, members, route.Owner, timer.NewSystem()).Views
}

// BlockAdmission replaces the inbox of the admission task by one without a buffer and without
// a reader; the returned function receives one message from it.
func (p PollerTask) BlockAdmission() (takeOne func()) {
	p.admission.inbox = make(chan admissionRequest)
	return func() { <-p.admission.inbox }
}

// Reconcile adapts the pollers to the ownership once.
func (p PollerTask) Reconcile(ctx context.Context) { p.reconcile(ctx) }

// CloseInternalServer closes the internal listener and its connections at once.
func (h TestHost) CloseInternalServer() { _ = h.internalServer.Close() }
