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

	// NoHandover is the handover of a host that already follows its upstreams.
	NoHandover struct{}
)

// NewOwner starts an owner's admission task, which ends with the context.
func NewOwner(ctx context.Context, manifest spoke.ManifestSource, policy spoke.Admission, engine spoke.Engine, timer spoke.Timer, events spoke.EventSink) *Owner {
	admission := newAdmissionTask(policy, timer)
	go func() { _ = admission.run(ctx) }()
	return &Owner{owner{
		manifest: manifest, admission: admission, engine: engine, blocks: NoBlocks{},
		followers: NoHandover{},
		timer:     timer, events: events, life: ctx,
	}}
}

// Load returns the run unchanged.
func (NoBlocks) Load(_ context.Context, _ spoke.Upstream, dispatch spoke.Dispatch) spoke.RunSpec {
	return dispatch.Spec
}

// Await does not wait.
func (NoHandover) Await(context.Context, spoke.UpstreamID) {}

// Ran does nothing.
func (NoBlocks) Ran(spoke.Upstream, spoke.Dispatch, spoke.Usage, time.Duration) {}

// Swaps gives tests access to the swap task.
type Swaps struct{ *swapTask }

// NewSwaps returns a swap task of a holder of the orders lease.
func NewSwaps(holder spoke.HostID, manifest spoke.ManifestSource, leases spoke.Leases, engine spoke.Engine, isWatcher func() bool, timer spoke.Timer) Swaps {
	none := func() *spoke.Membership { return &spoke.Membership{} }
	return Swaps{&swapTask{
		holder: holder, manifest: manifest, views: newViewTable(manifest, none, route.Owner, timer),
		isWatcher: isWatcher, leases: leases, engine: engine, timer: timer,
		events: events.NewRecorder(holder, timer, 64), log: Quiet(),
	}}
}

// OutOfService lists the upstreams that wait for their swap.
func (s Swaps) OutOfService() []spoke.UpstreamID {
	return slices.Sorted(maps.Keys(s.Paused()))
}

// NewSharedRouter returns the router of a host over another one.
func NewSharedRouter(router spoke.Router) spoke.Router { return &sharedRouter{router: router} }

// Run competes for the lease and gives orders until the context ends.
func (s Swaps) Run(ctx context.Context) { _ = s.run(ctx) }

// Quiet returns a log without output.
func Quiet() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

type (
	// Virtual is a host without listeners, whose parts meet a network of the test.
	Virtual struct{ *Host }

	unopened struct {
		net.Listener
		address spoke.Address
	}
)

// Addr returns the address that the host tells its peers.
func (u unopened) Addr() net.Addr { return u }

// Network returns the network of the address.
func (u unopened) Network() string { return "tcp" }

// String returns the address.
func (u unopened) String() string { return string(u.address) }

// NewVirtual composes a host as New does; network carries the calls of other hosts and of
// the platform.
func NewVirtual(settings config.Entry, network http.RoundTripper, engine spoke.Engine) Virtual {
	clock := timer.NewSystem()
	h := &Host{
		settings: settings, listeners: Listeners{Internal: unopened{address: settings.Internal}},
		log: Quiet(), timer: clock, started: clock.Now(),
	}
	h.life, h.end = context.WithCancel(context.Background())
	h.events = events.NewRecorder(settings.Host, clock, settings.EventCapacity)
	h.platform = coord.New(settings.Platform, coord.WithTimer(clock), coord.WithTransport(network))
	h.composeMembership()
	h.members.client = wire.NewClient(wire.NewSigner(string(settings.PeerSecret)), clock, h.events, wire.WithTransport(network))
	h.composeQuarantine()
	h.composeOwner()
	h.owner.engine, h.followers.engine, h.swaps.engine, h.blocks.engine = engine, engine, engine, engine
	h.composeServers(nil)
	return Virtual{h}
}

// Run runs the tasks until Stop and returns when all have ended.
func (v Virtual) Run() {
	var tasks sync.WaitGroup
	for _, task := range v.tasks() {
		tasks.Go(func() { _ = task(v.life) })
	}
	tasks.Wait()
}

// Stop ends the host as a crash does.
func (v Virtual) Stop() { v.end() }

// Drain announces the leave of the host to its peers.
func (v Virtual) Drain(ctx context.Context) { v.drainer.announce(ctx) }

// Internal returns the handler of the internal API.
func (v Virtual) Internal() http.Handler { return v.internal.Handler }

// Operators returns what the host offers to operators.
func (v Virtual) Operators() spoke.Administration {
	return administration{host: v.Host, acceptor: ticket.NewAcceptor(v.platform)}
}

// Views returns the upstreams of a service as the host sees them.
func (v Virtual) Views(service spoke.ServiceName) []spoke.UpstreamView { return v.views.Views(service) }

// Owned lists the upstreams that the host follows.
func (v Virtual) Owned() []spoke.UpstreamID { return v.followers.Owned() }

// Members returns the membership as the host sees it.
func (v Virtual) Members() *spoke.Membership { return v.members.View() }

// Dispatch hands an attempt to the owner of its upstream as the host sees it.
func (v Virtual) Dispatch(ctx context.Context, dispatch spoke.Dispatch) (spoke.RunStream, error) {
	d := &dispatcher{
		self: v.settings.Host, manifest: v.view, views: v.views, members: v.members,
		owner: v.owner, client: v.members.client,
	}
	return d.Dispatch(ctx, dispatch)
}

// Followers gives tests access to the followers of one host.
type Followers struct{ *followerTask }

// NewFollowers returns the followers of a host that owns all upstreams.
func NewFollowers(manifest spoke.ManifestSource, policy spoke.Admission, engine spoke.Engine) Followers {
	clock := timer.NewSystem()
	members := &spoke.Membership{Self: "h1", Peers: map[spoke.HostID]spoke.Peer{
		"h1": {ID: "h1", DataCentre: "dc1", State: spoke.PeerAlive},
	}}
	views := newViewTable(manifest, func() *spoke.Membership { return members }, route.Owner, timer.NewSystem())
	sink := events.NewRecorder("h1", clock, 64)
	return Followers{newFollowerTask(views, manifest, newAdmissionTask(policy, clock), engine, clock, sink)}
}

// Run follows and admits until the context ends.
func (f Followers) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = f.admission.run(ctx) })
	tasks.Go(func() { _ = f.run(ctx) })
	tasks.Wait()
}

// Seen returns what the host observed of an upstream: whether it is known and whether it is dead.
func (f Followers) Seen(id spoke.UpstreamID) (known, dead bool) {
	status, known := f.Status(id)
	return known, status.dead
}

// Index gives tests access to the index of an engine's prefix cache.
type Index struct{ *indexTask }

// NewIndex returns the index of an engine.
func NewIndex(engine spoke.Engine) Index {
	return Index{newIndexTask(spoke.Upstream{ID: "u1"}, engine, timer.NewSystem())}
}

// Run follows the engine until the context ends.
func (x Index) Run(ctx context.Context) { x.run(ctx) }

// Ask returns how many leading blocks are resident and whether one is in doubt.
func (x Index) Ask(ctx context.Context, keys ...spoke.BlockKey) (resident int, isDoubtful bool) {
	reply := x.ask(ctx, keys)
	return reply.resident, reply.isDoubtful
}

// MarkDoubtful marks blocks that no run may use.
func (x Index) MarkDoubtful(ctx context.Context, keys ...spoke.BlockKey) { x.markDoubtful(ctx, keys) }

// NewViews returns the views of a host by service.
func NewViews(manifest spoke.ManifestSource, members func() *spoke.Membership) func(spoke.ServiceName) []spoke.UpstreamView {
	return newViewTable(manifest, members, route.Owner, timer.NewSystem()).Views
}

// HoldAdmission makes the admission task take no message but through the function that it
// returns, which takes one.
func (f Followers) HoldAdmission() (takeOne func()) {
	f.admission.inbox = make(chan admissionRequest)
	return func() { <-f.admission.inbox }
}

// Reconcile looks at the ownership once.
func (f Followers) Reconcile(ctx context.Context) { f.reconcile(ctx) }

// BreakInternal closes the internal listener and its connections at once.
func (v Virtual) BreakInternal() { _ = v.internal.Close() }
