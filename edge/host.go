package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/caller"
	"magnoliaspoke.example/spoke/config"
	"magnoliaspoke.example/spoke/detour"
	"magnoliaspoke.example/spoke/drain"
	"magnoliaspoke.example/spoke/fetch"
	"magnoliaspoke.example/spoke/guard"
	"magnoliaspoke.example/spoke/lease"
	"magnoliaspoke.example/spoke/link"
	"magnoliaspoke.example/spoke/peers"
	"magnoliaspoke.example/spoke/place"
)

const (
	// callerIdleTimeout and callerHeaderTimeout are above the limits that configurations set for callers.
	callerIdleTimeout   = 75 * time.Second
	callerHeaderTimeout = 15 * time.Second
	maxHeaderBytes      = 64 << 10
	// announceInterval is the interval at which the host renews its directory entry, which also
	// checks that the directory is reachable.
	announceInterval = 1500 * time.Millisecond
	// sweepInterval is the interval at which idle upstream connections are checked.
	sweepInterval = 4 * time.Second
	// directoryBatchDelay is the pause between two directory watches, so that changes are batched.
	directoryBatchDelay = 200 * time.Millisecond
	// maxDetours bounds the connections of other hosts that this one relays.
	maxDetours = 512
)

type (
	// Dependencies are the services that a host uses; all are required unless stated otherwise.
	Dependencies struct {
		Directory spoke.Directory
		Leases    spoke.Leases
		// OrdersLease names the lease whose holder may order engines to load weights.
		OrdersLease spoke.LeaseName
		Control     spoke.EngineControl
		Stores      spoke.StoreControl
		Codec       spoke.RelayCodec
		Timer       spoke.Timer
		// LeaseTimer also advances while the machine is suspended.
		LeaseTimer spoke.Timer
		Log        logrus.FieldLogger
		// OnListening is called once all sockets are open; it may be nil.
		OnListening func()
	}

	// Host is an entry host that relays calls.
	Host struct {
		settings      config.Relay
		deps          Dependencies
		conf          *configState
		planner       *planner
		relayer       *relayer
		orders        *orders
		keeper        *lease.Keeper
		stores        *storeFollowers
		health        *healthChecks
		follower      *follower
		contentServer *contentServer
		ways          *ways
		detours       *detour.Handler
		guard         *guard.Guard
		offers        *tableOffers
		// ordersRank is the position of this host among all hosts that may acquire the orders lease.
		ordersRank   atomic.Int64
		socket       *peers.Socket
		peers        map[spoke.HostID]spoke.ListedPeer
		ordersHolder atomic.Pointer[spoke.HostID]
		isLeaving    atomic.Bool
	}
)

// New returns a host whose socket for messages from other hosts is open.
func New(settings config.Relay, deps Dependencies) (*Host, error) {
	at := netip.AddrPortFrom(settings.Address, uint16(settings.PeerPort))
	socket, err := peers.Listen(at, deps.Log)
	if err != nil {
		return nil, err
	}
	h := &Host{
		settings: settings, deps: deps, socket: socket,
		conf:  newConfigState(settings.ConfigApply, deps.LeaseTimer.Now),
		peers: make(map[spoke.HostID]spoke.ListedPeer),
	}
	quarantine, metrics := newQuarantine(), newMetrics()
	h.guard = newGuard(settings, h.conf, deps.Log)
	metrics.guard = h.guard
	parts := newPartQuarantine(settings.Host, deps.Log, metrics)
	h.ways = newWays(settings.Host, deps.Log, metrics, func() { h.post(place.WaysLost{}) })
	deps.Log.WithFields(logrus.Fields{"region": settings.Regions[settings.DataCentre], "data-centres": len(settings.Regions)}).Info("regions of data centres")
	h.ways.regions, h.ways.region = settings.Regions, settings.Regions[settings.DataCentre]
	h.ways.onFailed = func(id spoke.UpstreamID) { h.post(place.ConnectionFailed{Upstream: id}) }
	h.planner = newPlanner(place.NewScheduler(place.Settings{
		Host: settings.Host, DataCentre: settings.DataCentre,
		RetryShare: float64(settings.RetryShare), RetryReserve: float64(settings.RetryReserve),
		RetryWindow: settings.RetryWindow, WeightsApply: settings.WeightsApply, Regions: settings.Regions,
		ComparesSpeed: settings.ComparesSpeed, ColdFactor: settings.ColdFactor, ColdSlack: settings.ColdSlack,
	}), deps.Timer, deps.LeaseTimer, deps.Log, quarantine, parts, h.conf, metrics, socket.Send)
	h.planner.takesNoDetours = func() bool { return h.isLeaving.Load() || h.ways.isCutOff() }
	h.planner.origins = newOrigins(h.self(), h.conf, deps.Timer, deps.Log, metrics, socket.Send)
	evacuations := newEvacuations(settings.EvacuationApply, deps.LeaseTimer.Now, deps.Log, metrics)
	h.detours = detour.NewHandler(h.relayed, detour.WithLog(deps.Log), detour.WithLimit(maxDetours), detour.WithDial(h.ways.dialForOthers))
	h.relayer = &relayer{
		conf: h.conf, codec: deps.Codec, planner: h.planner, quarantine: quarantine, parts: parts, origins: h.planner.origins,
		pool: link.New(link.WithDial(h.ways.Dial), link.WithReuse(h.ways.mayReuse)), ways: h.ways,
		answerMemory: fetch.NewMemory(settings.Memory / answerMemoryDivisor),
		listed:       newListedUpstreams(), heard: newHeardAnswers(), leaveNotice: settings.LeaveNotice, evacuations: evacuations,
		underWay: newCallsUnderWay(), times: newCallTimes(), requests: drain.NewRequests(),
		log: deps.Log, metrics: metrics,
	}
	h.health = &healthChecks{
		pool: h.relayer.pool, codec: deps.Codec, timer: deps.Timer, metrics: metrics, log: deps.Log,
		in: make(chan place.CheckHealth, maxHealthChecks), post: h.post,
	}
	h.planner.checkHealth = h.health.ask
	// The holder name differs at each start, so that a previous process of this host never counts
	// as the holder of a lease that the new one acquired.
	holder := spoke.HostID(fmt.Sprintf("%s-%d", settings.Host, time.Now().UnixNano()))
	h.keeper = lease.New(&throttledLeases{Leases: deps.Leases, host: h, log: deps.Log}, deps.OrdersLease, holder, ordersTTL, lease.WithTimer(deps.LeaseTimer))
	h.orders = newOrders(holder, settings.OrdersPause, deps, h.keeper, h.planner, h.ways)
	kept := newContents()
	h.contentServer = newContentServer(kept, deps.Log, metrics)
	h.follower = &follower{
		directory: deps.Directory, timer: deps.Timer, boot: deps.LeaseTimer, conf: h.conf, log: deps.Log,
		batchDelay: directoryBatchDelay, apply: h.applyChange, newer: make(chan spoke.Revision, 1),
		feed:     newFeed(h.conf, deps.LeaseTimer.Now, deps.Log, metrics),
		client:   newFeedClient(h.conf.staleAfter, deps.LeaseTimer.Now),
		contents: kept, contentClient: newContentClient(kept, deps.Directory, h.conf.staleAfter),
		offered: make(chan spoke.DirectoryChange, 1), hasRead: make(chan struct{}),
	}
	h.offers = newTableOffers(h.follower.contentClient, h.conf, deps.Log, h.follower.offered)
	h.stores = newStoreFollowers(settings, deps, h.planner, h.conf)
	h.planner.reportConflict = h.stores.recordConflict
	return h, nil
}

// Run serves calls until a stop requested by a signal is complete or a task fails.
func (h *Host) Run(signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group run.Group
	task := func(work func(context.Context) error) {
		taskCtx, stop := context.WithCancel(ctx)
		group.Add(func() error { return work(taskCtx) }, func(error) { stop() })
	}
	task(h.planner.run)
	task(h.orders.run)
	task(h.keeper.Run)
	task(h.stores.run)
	task(h.health.run)
	task(h.announce)
	task(h.sweep)
	task(h.guardCallers)
	task(func(ctx context.Context) error { return h.socket.Receive(ctx, h.receiveLoad) })
	task(h.follower.run)
	task(h.offers.run)
	task(h.relayer.origins.run)
	task(func(ctx context.Context) error { return h.ways.run(ctx, h.deps.Timer) })
	callers, err := newCallerServer(h.relayer, h.settings.Caller, h.guard)
	if err != nil {
		return err
	}
	h.serve(&group, callers.Server, callers.listener, serveCallers)
	readiness := &http.Server{Handler: http.HandlerFunc(h.serveReadiness), ReadHeaderTimeout: callerHeaderTimeout}
	if err := h.listen(&group, readiness, h.settings.Readiness, guard.Readiness); err != nil {
		return err
	}
	peerMux := http.NewServeMux()
	peerMux.Handle("GET "+feedPath, h.follower.feed)
	peerMux.Handle("GET "+contentPath, h.contentServer)
	peerMux.Handle("GET "+originPath, h.relayer.origins)
	peerMux.Handle("GET "+detour.Path, h.detours)
	if err := h.listen(&group, &http.Server{Handler: peerMux, ReadHeaderTimeout: callerHeaderTimeout}, h.socket.Address(), guard.Peers); err != nil {
		return err
	}
	if h.settings.MetricsPort != 0 {
		at := netip.AddrPortFrom(h.settings.Address, uint16(h.settings.MetricsPort))
		if err := h.listen(&group, h.metricsServer(), spoke.Address(at.String()), guard.Metrics); err != nil {
			return err
		}
	}
	if h.deps.OnListening != nil {
		h.deps.OnListening()
	}
	task(func(ctx context.Context) error { return h.awaitStop(ctx, signals, callers) })
	return h.runResult(group.Run())
}

// runResult maps the errors of a graceful stop and of cancelled tasks to nil.
func (h *Host) runResult(err error) error {
	if errors.Is(err, errStopped) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (h *Host) listen(group *run.Group, server *http.Server, at spoke.Address, bounds guard.Group) error {
	listener, err := net.Listen("tcp", string(at))
	if err != nil {
		return err
	}
	h.serve(group, server, h.guard.Protect(server, listener, bounds), (*http.Server).Serve)
	return nil
}

// serveCallers serves the calls of callers.
func serveCallers(server *http.Server, at net.Listener) error { return caller.Serve(server, at) }

func (h *Host) serve(group *run.Group, server *http.Server, listener net.Listener, serveOn func(*http.Server, net.Listener) error) {
	ended := make(chan struct{})
	serve := func() error {
		err := serveOn(server, listener)
		if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
			// The other tasks continue until the calls in flight have ended.
			<-ended
		}
		return err
	}
	group.Add(serve, func(error) {
		close(ended)
		_ = server.Close()
	})
}

// serveReadiness answers the platform's readiness probe: whether this host accepts new connections.
func (h *Host) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if h.isLeaving.Load() || h.conf.servedTable() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// announce keeps this host listed in the directory for its peers, once it has read whom that lists without it.
func (h *Host) announce(ctx context.Context) error {
	tick := h.deps.Timer.Every(announceInterval)
	defer tick.Stop()
	self := spoke.ListedPeer{ID: h.settings.Host, DataCentre: h.settings.DataCentre, Address: h.socket.Address()}
	select {
	case <-h.follower.hasRead:
	case <-ctx.Done():
		return ctx.Err()
	}
	// A record is kept up to date once it has been written, whoever watches the directory then.
	isRecorded := false
	for {
		err := h.deps.Directory.Announce(ctx, self)
		if err == nil && h.follower.isDirect.Load() {
			isRecorded = true
		}
		if err == nil && isRecorded {
			err = h.recordSoftware(ctx)
		}
		if err != nil && ctx.Err() == nil {
			h.deps.Log.WithError(err).Info("announcement of this host in the directory failed")
		}
		select {
		case <-tick.C():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// recordSoftware keeps the software versions of all services with the announcement, for hosts that start after all have
// ended without notice.
func (h *Host) recordSoftware(ctx context.Context) error {
	versions := h.relayer.origins.recordable()
	if len(versions) == 0 {
		return nil
	}
	return h.deps.Directory.RecordSoftware(ctx, versions)
}

// sweep closes idle upstream connections that will not be used again.
func (h *Host) sweep(ctx context.Context) error {
	return runTask(ctx, h.deps.Timer, sweepInterval, nil, nil, func(context.Context) {
		h.relayer.pool.Sweep()
		h.relayer.heard.sweep(time.Now())
	})
}

// receiveLoad handles the load report of another host.
func (h *Host) receiveLoad(report spoke.HostReport) {
	h.relayer.origins.receive(report)
	if len(report.Origins) > 0 {
		return
	}
	if h.ways.receive(report) {
		h.relayer.pool.Sweep()
	}
	h.relayer.evacuations.receive(report)
	if len(report.Brittle) > 0 {
		h.relayer.quarantine.registry.ReceiveBrittle(time.Now(), report.Host, report.Brittle)
	}
	if len(report.Marks) > 0 {
		h.relayer.quarantine.registry.Merge(time.Now(), report.Marks)
	}
	delay := h.conf.recentPause()
	h.relayer.parts.receive(time.Now(), report)
	h.conf.recordPeerReport(delay)
	h.follower.receiveView(report.Directory)
	h.offers.offer(report.Host, report.Directory.Table)
	h.stores.receive(report)
	h.planner.in <- schedulerMessage{message: place.ReceiveReport{Report: report, At: h.deps.Timer.Now(), MaxDelay: delay}}
}

func (h *Host) metricsServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", h.relayer.metrics)
	return &http.Server{Handler: mux, ReadHeaderTimeout: callerHeaderTimeout}
}
