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
	"magnoliaspoke.example/spoke/config"
	"magnoliaspoke.example/spoke/lease"
	"magnoliaspoke.example/spoke/link"
	"magnoliaspoke.example/spoke/peers"
	"magnoliaspoke.example/spoke/place"
)

const (
	// callerIdle and callerHeader are above what configurations allow callers.
	callerIdle   = 75 * time.Second
	callerHeader = 15 * time.Second
	headerLimit  = 64 << 10
	// announceEvery keeps this host listed and shows that the directory is in reach.
	announceEvery = 1500 * time.Millisecond
	// sweepEvery is the interval at which idle connections are looked at.
	sweepEvery = 4 * time.Second
	// directoryGap gathers changes of the directory.
	directoryGap = 200 * time.Millisecond
)

type (
	// Parts are what a host needs from the platform; all are required.
	Dependencies struct {
		Directory spoke.Directory
		Leases    spoke.Leases
		// OrdersLease names the lease whose holder gives orders.
		OrdersLease spoke.LeaseName
		Control     spoke.EngineControl
		Stores      spoke.StoreControl
		Codec       spoke.RelayCodec
		Timer       spoke.Timer
		// LeaseTimer also counts the time in which the machine is suspended.
		LeaseTimer spoke.Timer
		Log        logrus.FieldLogger
		// OnListening is called when all sockets are open; it may be nil.
		OnListening func()
	}

	// Host is an entry host that relays calls.
	Host struct {
		settings config.Relay
		parts    Dependencies
		known    *knowledge
		planner  *planner
		relayer  *relayer
		orders   *orders
		keeper   *lease.Keeper
		stores   *storeFollowers
		follower *follower
		// rank is the position of this host among all that may take the orders lease.
		rank      atomic.Int64
		socket    *peers.Socket
		peers     map[spoke.HostID]spoke.ListedPeer
		holder    atomic.Pointer[spoke.HostID]
		isLeaving atomic.Bool
	}
)

// New returns a host with its sockets for other hosts open.
func New(settings config.Relay, parts Dependencies) (*Host, error) {
	at := netip.AddrPortFrom(settings.Address, uint16(settings.PeerPort))
	socket, err := peers.Listen(at, parts.Log)
	if err != nil {
		return nil, err
	}
	h := &Host{
		settings: settings, parts: parts, socket: socket,
		known: newKnowledge(settings.ConfigApply, parts.Timer.Now),
		peers: make(map[spoke.HostID]spoke.ListedPeer),
	}
	marks := newMarks()
	h.planner = newPlanner(place.NewScheduler(place.Settings{
		Host: settings.Host, DataCentre: settings.DataCentre,
		RetryShare: float64(settings.RetryShare), RetryReserve: float64(settings.RetryReserve),
		RetryWindow: settings.RetryWindow, WeightsApply: settings.WeightsApply,
	}), parts.Timer, parts.Log, marks, h.known, socket.Send)
	h.relayer = &relayer{
		known: h.known, codec: parts.Codec, planner: h.planner, pool: link.New(), marks: marks,
		answers: &byteBudget{limit: int64(settings.Memory) / answersShare},
		log:     parts.Log, metrics: newMetrics(),
	}
	// A holder's name differs between two starts, so that an old process never passes for a new one.
	holder := spoke.HostID(fmt.Sprintf("%s-%d", settings.Host, time.Now().UnixNano()))
	h.keeper = lease.New(&freeLeases{Leases: parts.Leases, host: h, log: parts.Log}, parts.OrdersLease, holder, ordersTTL, lease.WithTimer(parts.LeaseTimer))
	h.orders = newOrders(holder, settings.OrdersPause, parts, h.keeper, h.planner)
	h.follower = &follower{
		directory: parts.Directory, timer: parts.Timer, known: h.known, log: parts.Log,
		gap: directoryGap, apply: h.apply, behind: make(chan spoke.Revision, 1),
		feed:   newFeed(h.known, parts.Timer.Now, parts.Log),
		client: newFeedClient(h.known.limit, parts.Timer.Now),
	}
	h.stores = newStoreFollowers(settings, parts, h.planner, h.known)
	h.planner.contested = h.stores.contest
	return h, nil
}

// Run serves until a signal to stop has been carried out or a task fails.
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
	task(h.announce)
	task(h.sweep)
	task(func(ctx context.Context) error { return h.socket.Receive(ctx, h.hear) })
	task(h.follower.run)
	callers := &http.Server{
		Handler: h.relayer, ReadHeaderTimeout: callerHeader, IdleTimeout: callerIdle, MaxHeaderBytes: headerLimit,
	}
	if err := h.listen(&group, callers, h.settings.Caller); err != nil {
		return err
	}
	readiness := &http.Server{Handler: http.HandlerFunc(h.serveReadiness), ReadHeaderTimeout: callerHeader}
	if err := h.listen(&group, readiness, h.settings.Readiness); err != nil {
		return err
	}
	news := http.NewServeMux()
	news.Handle("GET "+feedPath, h.follower.feed)
	if err := h.listen(&group, &http.Server{Handler: news, ReadHeaderTimeout: callerHeader}, h.socket.Address()); err != nil {
		return err
	}
	if h.settings.MetricsPort != 0 {
		at := netip.AddrPortFrom(h.settings.Address, uint16(h.settings.MetricsPort))
		if err := h.listen(&group, h.metricsServer(), spoke.Address(at.String())); err != nil {
			return err
		}
	}
	if h.parts.OnListening != nil {
		h.parts.OnListening()
	}
	task(func(ctx context.Context) error { return h.stopOn(ctx, signals, callers) })
	return h.explain(group.Run())
}

// explain turns the ends of tasks that were asked to stop into success.
func (h *Host) explain(err error) error {
	if errors.Is(err, errStopped) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (h *Host) listen(group *run.Group, server *http.Server, at spoke.Address) error {
	listener, err := net.Listen("tcp", string(at))
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	serve := func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			// The other tasks go on until the calls under way have ended.
			<-ended
		}
		return err
	}
	group.Add(serve, func(error) {
		close(ended)
		_ = server.Close()
	})
	return nil
}

// serveReadiness answers the platform's question whether this host takes new connections.
func (h *Host) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if h.isLeaving.Load() || h.known.table.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// announce keeps this host listed for its peers.
func (h *Host) announce(ctx context.Context) error {
	tick := h.parts.Timer.Every(announceEvery)
	defer tick.Stop()
	self := spoke.ListedPeer{ID: h.settings.Host, DataCentre: h.settings.DataCentre, Address: h.socket.Address()}
	for {
		if err := h.parts.Directory.Announce(ctx, self); err == nil {
			if h.follower.isDirect.Load() {
				h.known.confirm()
			}
		} else if ctx.Err() == nil {
			h.parts.Log.WithError(err).Info("announcement failed")
		}
		select {
		case <-tick.C():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sweep closes idle connections to upstreams that will not be used again.
func (h *Host) sweep(ctx context.Context) error {
	return runTask(ctx, h.parts.Timer, sweepEvery, nil, nil, func(context.Context) { h.relayer.pool.Sweep() })
}

// hear takes another host's account.
func (h *Host) hear(share spoke.HostReport) {
	if len(share.Marks) > 0 {
		h.relayer.marks.registry.Merge(time.Now(), share.Marks)
	}
	h.known.hear()
	h.follower.hear(share.Directory)
	h.planner.in <- planned{message: place.ReceiveReport{Report: share}}
}

func (h *Host) metricsServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", h.relayer.metrics)
	return &http.Server{Handler: mux, ReadHeaderTimeout: callerHeader}
}
