package host

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/admin"
	"magnoliaspoke.example/spoke/cache"
	"magnoliaspoke.example/spoke/caller"
	"magnoliaspoke.example/spoke/claim"
	"magnoliaspoke.example/spoke/config"
	"magnoliaspoke.example/spoke/coord"
	"magnoliaspoke.example/spoke/crash"
	"magnoliaspoke.example/spoke/drain"
	"magnoliaspoke.example/spoke/engine"
	"magnoliaspoke.example/spoke/events"
	"magnoliaspoke.example/spoke/member"
	"magnoliaspoke.example/spoke/openai"
	"magnoliaspoke.example/spoke/plain"
	"magnoliaspoke.example/spoke/route"
	"magnoliaspoke.example/spoke/runner"
	"magnoliaspoke.example/spoke/ticket"
	"magnoliaspoke.example/spoke/wire"
)

const (
	// headerTimeout bounds how long a connection may take to send a request header.
	headerTimeout = 10 * time.Second
	// maxQuarantineMarks bounds the quarantine marks of a heartbeat; one takes about 100 bytes.
	maxQuarantineMarks = 100
	// claimsTimeout bounds how long a stopping host waits for its plain calls to end and for
	// the platform to store their claims.
	claimsTimeout = 5 * time.Second
)

type (
	// Host is an entry host.
	Host struct {
		settings  config.Entry
		listeners Listeners
		log       logrus.FieldLogger
		timer     spoke.Timer
		events    *events.Recorder

		manifestView   *ticket.View
		members        *memberTask
		manifest       *manifestTask
		views          *viewTable
		admission      *admissionTask
		pollers        *pollerTask
		digest         *digestTask
		swaps          *swapTask
		blocks         *blockTask
		crashes        *crash.Registry
		owner          *owner
		platform       *coord.Client
		claims         *claim.Claims
		calls          *plain.Executor
		drainer        *drainer
		callerServer   *http.Server
		internalServer *http.Server
		adminServer    *http.Server
		metricsServer  *http.Server
		metrics        *metrics
		started        time.Time

		// baseCtx ends when the host has drained; all tasks end with it.
		baseCtx context.Context
		cancel  context.CancelFunc
	}
)

// New returns a host that serves when Run is called; a receive from force cuts its drain short.
func New(settings config.Entry, listeners Listeners, log logrus.FieldLogger, timer spoke.Timer, force <-chan struct{}) *Host {
	h := &Host{settings: settings, listeners: listeners, log: log, timer: timer, started: timer.Now()}
	h.baseCtx, h.cancel = context.WithCancel(context.Background())
	h.events = events.NewRecorder(settings.Host, timer, settings.EventCapacity)
	h.platform = coord.New(settings.Platform, coord.WithTimer(timer))
	h.claims = claim.New(h.platform, claim.WithTimer(timer))
	h.composeMembership()
	h.composeQuarantine()
	h.composeOwner()
	h.composeServers(force)
	return h
}

func (h *Host) composeMembership() {
	signer := wire.NewSigner(string(h.settings.PeerSecret))
	client := wire.NewClient(signer, h.timer, h.events)
	// The incarnation is the start time, so that the records of a restarted host supersede
	// those of its earlier process.
	incarnation := spoke.Incarnation(h.timer.Now().UnixMilli())
	self := member.Record{
		ID:         h.settings.Host,
		DataCentre: h.settings.DataCentre,
		Address:    address(h.listeners.Internal),
	}
	table := member.New(self, incarnation, peerRecords(h.settings.Peers), uint64(incarnation),
		member.WithTimeouts(h.settings.SuspectAfter, h.settings.RemoveAfter))
	h.members = newMemberTask(h.settings.Host, table, client, h.timer, h.settings.HeartbeatInterval)
	h.manifestView = ticket.NewView()
	h.manifest = &manifestTask{
		self: h.settings.Host, dataCentre: h.settings.DataCentre,
		view: h.manifestView, replicator: ticket.NewReplicator(h.settings.Host, h.settings.DataCentre),
		watcher: ticket.NewWatcher(h.platform, h.manifestView, ticket.WithWatcherTimer(h.timer)), hostList: h.platform,
		members: h.members, timer: h.timer, events: h.events, log: h.log,
		inbox: make(chan manifestRequest, manifestInboxSize),
	}
}

func (h *Host) composeOwner() {
	engines := engine.New(engine.WithTimer(h.timer))
	h.views = newViewTable(h.manifestView, h.members.View, route.Owner, h.timer)
	h.admission = newAdmissionTask(newAdmission(h.settings.Admission, uint64(h.timer.Now().UnixNano())), h.timer)
	h.pollers = newPollerTask(h.views, h.manifestView, h.admission, engines, h.timer, h.events)
	h.views.status = h.pollers.Status
	h.blocks = newBlockTask(h.manifestView, engines, h.timer, h.events, importOptions(h.settings.Imports)...)
	h.pollers.runIndex = h.blocks.runIndex
	h.owner = &owner{
		manifest: h.manifestView, handover: h.pollers, admission: h.admission, engine: engines, blocks: h.blocks,
		timer: h.timer, events: h.events, baseCtx: h.baseCtx,
	}
	h.swaps = &swapTask{
		// A lease holder must differ between two processes of one host, since the
		// platform grants a held lease again to the same holder.
		holder:   spoke.HostID(string(h.settings.Host) + "/" + strconv.FormatInt(h.started.UnixNano(), 10)),
		manifest: h.manifestView, views: h.views, isWatcher: h.manifest.isWatcher,
		leases: h.platform, engine: engines, credential: string(h.settings.OrderCredential),
		timer: h.timer, events: h.events, log: h.log,
	}
	h.digest = &digestTask{
		manifest: h.manifestView, admission: h.admission, pollers: h.pollers, members: h.members,
		marks: h.quarantineMarks, leaving: h.manifest.leaving.Upstreams, paused: h.swaps.Paused,
		timer: h.timer,
	}
}

// composeQuarantine makes the registry announce suspects and marks to all hosts before the caller
// gets its final answer, since the caller may send the request again at once.
func (h *Host) composeQuarantine() {
	h.crashes = crash.New(crash.WithAnnounce(func(mark spoke.QuarantineMark) {
		h.events.Record(spoke.Event{Kind: "quarantine-mark", Detail: strconv.Itoa(mark.Deaths) + " deaths"})
		ctx, cancel := context.WithTimeout(h.baseCtx, announceTimeout)
		defer cancel()
		if err := h.members.Announce(ctx, member.AddMark{Mark: mark}); err != nil {
			h.log.WithError(err).Warn("quarantine mark not announced to every peer")
		}
	}))
	h.members.onMarks = func(marks []spoke.QuarantineMark) { h.crashes.Merge(h.timer.Now(), marks) }
}

func (h *Host) quarantineMarks(now time.Time) []spoke.QuarantineMark {
	return h.crashes.Marks(now, maxQuarantineMarks)
}

func (h *Host) composeServers(force <-chan struct{}) {
	signer := wire.NewSigner(string(h.settings.PeerSecret))
	dispatcher := &dispatcher{
		self: h.settings.Host, manifest: h.manifestView, views: h.views, members: h.members,
		owner: h.owner, client: h.members.client, plain: plain.NewClient(),
	}
	budget := newRetryBudget(h.timer)
	router := &sharedRouter{router: newRouter(h.settings.Routing, h.timer.Now())}
	h.calls = plain.NewExecutor(plain.Dependencies{
		Manifests: h.manifestView, Views: h.views, Router: router, Dispatcher: dispatcher,
		Claims: h.claims, Timer: h.timer,
	},
		plain.WithHost(h.settings.Host),
		plain.WithDataCentre(h.settings.DataCentre),
		plain.WithBudget(budget),
		plain.WithQuarantine(h.crashes),
		plain.WithEvents(h.events),
		plain.WithLog(h.log),
	)
	requests := runner.New(runner.Dependencies{
		Manifests: h.manifestView, Views: h.views, Router: router, Dispatcher: dispatcher, Timer: h.timer,
	},
		runner.WithDataCentre(h.settings.DataCentre),
		runner.WithBudget(budget),
		runner.WithCalls(h.calls.Call),
		runner.WithKeys(blockKeys),
		runner.WithQuarantine(h.crashes),
		runner.WithEvents(h.events),
	)
	callerAPI := openai.New(requests, h.manifestView, openai.WithLog(h.log), openai.WithEndOfRequests(func() time.Time { return h.drainer.endOfRequests() }))
	h.metrics = newMetrics(h)
	h.callerServer = openai.NewServer(callerAPI)
	h.internalServer = server(wire.NewServer(peerAPI{h}, signer, h.timer, h.events))
	h.metricsServer = server(h.metrics)
	adminAPI := administration{host: h, acceptor: ticket.NewAcceptor(h.platform)}
	h.adminServer = server(admin.NewHandler(adminAPI, ticketCodec{}, h.settings.AdminKeys, admin.WithLog(h.log)))
	h.drainer = &drainer{
		callerServer: h.callerServer, callerListener: h.listeners.Caller, connections: drain.NewConnections(), requests: drain.NewRequests(),
		internalServer: h.internalServer, members: h.members, timer: h.timer,
		events: h.events, log: h.log, delay: h.settings.DrainDelay, deadline: h.settings.DrainDeadline,
		begin: make(chan struct{}, 1), force: force,
	}
	h.callerServer.ConnState = h.drainer.connections.ObserveState
	h.callerServer.Handler = h.drainer.withConnectionClose(h.withReadiness(h.metrics.countRequests(caller.Handle(h.drainer.requests.Handle(callerAPI)))))
}

func server(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
}

func peerRecords(peers []config.Peer) []member.Record {
	records := make([]member.Record, 0, len(peers))
	for _, peer := range peers {
		records = append(records, member.Record{ID: peer.Host, DataCentre: peer.DataCentre, Address: peer.Address})
	}
	return records
}

// Run serves until the context ends, drains, and returns when everything has stopped.
func (h *Host) Run(ctx context.Context) error {
	var group run.Group
	for _, task := range h.tasks() {
		group.Add(func() error { return task(h.baseCtx) }, func(error) { h.cancel() })
	}
	// The drain shuts the first two servers down; the others serve until it has ended.
	h.addServer(&group, func() error { return caller.Serve(h.callerServer, h.drainer.connections.Listen(h.listeners.Caller)) }, nil)
	h.addServer(&group, func() error { return h.internalServer.Serve(h.listeners.Internal) }, nil)
	h.addServer(&group, func() error { return h.adminServer.Serve(h.listeners.Admin) }, h.adminServer)
	h.addServer(&group, func() error { return h.metricsServer.Serve(h.listeners.Metrics) }, h.metricsServer)
	group.Add(func() error { return h.drainer.run(ctx) }, func(error) { h.drainer.Begin() })
	err := group.Run()
	h.finishClaims()
	h.listeners.Close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// tasks returns the tasks that run until the base context ends.
func (h *Host) tasks() []func(context.Context) error {
	return []func(context.Context) error{
		h.members.run, h.admission.run, h.pollers.run, h.digest.run, h.swaps.run, h.blocks.run,
		h.manifest.run, h.manifest.watcher.Run, h.manifest.pollHostList,
	}
}

// finishClaims waits until the recorded answers of non-repeatable calls are stored on the
// platform, for at most claimsTimeout.
func (h *Host) finishClaims() {
	ctx, cancel := context.WithTimeout(context.Background(), claimsTimeout)
	defer cancel()
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		h.calls.Wait()
	}()
	select {
	case <-finished:
	case <-ctx.Done():
		h.log.Warn("plain calls still running after the drain")
	}
	if err := h.claims.Close(ctx); err != nil {
		h.log.WithError(err).Warn("pending claims not stored on the platform")
	}
}

// addServer adds a server to the group. A server that the drain has shut down does not end the
// group, because requests may still be in progress. closeOnStop, if not nil, is closed when the
// group stops, which would otherwise wait for it indefinitely.
func (h *Host) addServer(group *run.Group, serve func() error, closeOnStop *http.Server) {
	group.Add(func() error {
		err := serve()
		if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
			<-h.baseCtx.Done()
			return nil
		}
		return err
	}, func(error) {
		h.cancel()
		if closeOnStop != nil {
			_ = closeOnStop.Close()
		}
	})
}

// IsReady reports whether the host has a configuration and is not draining.
func (h *Host) IsReady() bool {
	return h.manifestView.Current() != nil && !h.drainer.draining.Load()
}

// blockKeys returns the keys of a prompt's blocks, by which routing finds an upstream that caches
// the blocks.
func blockKeys(request spoke.Request, version spoke.ModelVersion) []spoke.BlockKey {
	scope := cache.Scope{
		Service: request.Service, Workspace: request.Workspace,
		Model: request.Model, Version: version, Adapter: request.Adapter,
	}
	return scope.Keys(request.Prompt)
}
