package host

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/admin"
	"magnoliaspoke.example/spoke/cache"
	"magnoliaspoke.example/spoke/claim"
	"magnoliaspoke.example/spoke/config"
	"magnoliaspoke.example/spoke/coord"
	"magnoliaspoke.example/spoke/crash"
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
	// headerTimeout ends connections that send no whole header.
	headerTimeout = 10 * time.Second
	// maxMarks bounds the quarantine marks of a heartbeat; one takes about 100 bytes.
	maxMarks = 100
	// claimsLimit bounds how long a stopped host waits for the platform.
	claimsLimit = 5 * time.Second
)

type (
	// Host is an entry host.
	Host struct {
		settings  config.Entry
		listeners Listeners
		log       logrus.FieldLogger
		timer     spoke.Timer
		events    *events.Recorder

		view      *ticket.View
		members   *memberTask
		manifest  *manifestTask
		views     *viewTable
		admission *admissionTask
		followers *followerTask
		digest    *digestTask
		swaps     *swapTask
		blocks    *blockTask
		crashes   *crash.Registry
		owner     *owner
		platform  *coord.Client
		claims    *claim.Claims
		calls     *plain.Executor
		drainer   *drainer
		caller    *http.Server
		internal  *http.Server
		admin     *http.Server
		exporter  *http.Server
		metrics   *metrics
		started   time.Time

		// life ends when the host is drained; work ends with it.
		life context.Context
		end  context.CancelFunc
	}
)

// New composes a host; force ends a drain that takes too long.
func New(settings config.Entry, listeners Listeners, log logrus.FieldLogger, timer spoke.Timer, force <-chan struct{}) *Host {
	h := &Host{settings: settings, listeners: listeners, log: log, timer: timer, started: timer.Now()}
	h.life, h.end = context.WithCancel(context.Background())
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
	// A restarted host must outrank its earlier process, so its start time is its incarnation.
	incarnation := spoke.Incarnation(h.timer.Now().UnixMilli())
	self := member.Record{
		ID:         h.settings.Host,
		DataCentre: h.settings.DataCentre,
		Address:    address(h.listeners.Internal),
	}
	table := member.New(self, incarnation, contacts(h.settings.Peers), uint64(incarnation),
		member.WithTimeouts(h.settings.SuspectAfter, h.settings.RemoveAfter))
	h.members = newMemberTask(h.settings.Host, table, client, h.timer, h.settings.HeartbeatInterval)
	h.view = ticket.NewView()
	h.manifest = &manifestTask{
		self: h.settings.Host, dc: h.settings.DataCentre,
		view: h.view, spread: ticket.NewReplicator(h.settings.Host, h.settings.DataCentre),
		watcher: ticket.NewWatcher(h.platform, h.view, ticket.WithWatcherTimer(h.timer)), list: h.platform,
		members: h.members, timer: h.timer, events: h.events, log: h.log,
		inbox: make(chan manifestRequest, manifestInbox),
	}
}

func (h *Host) composeOwner() {
	engines := engine.New(engine.WithTimer(h.timer))
	h.views = newViewTable(h.view, h.members.View, route.Owner, h.timer)
	h.admission = newAdmissionTask(newAdmission(h.settings.Admission, uint64(h.timer.Now().UnixNano())), h.timer)
	h.followers = newFollowerTask(h.views, h.view, h.admission, engines, h.timer, h.events)
	h.views.status = h.followers.Status
	h.blocks = newBlockTask(h.view, engines, h.timer, h.events, importOptions(h.settings.Imports)...)
	h.followers.watch = h.blocks.watch
	h.owner = &owner{
		manifest: h.view, followers: h.followers, admission: h.admission, engine: engines, blocks: h.blocks,
		timer: h.timer, events: h.events, life: h.life,
	}
	h.swaps = &swapTask{
		// A lease holder must differ between two processes of one host, since the
		// platform grants a held lease again to the same holder.
		holder:   spoke.HostID(string(h.settings.Host) + "/" + strconv.FormatInt(h.started.UnixNano(), 10)),
		manifest: h.view, views: h.views, isWatcher: h.manifest.isWatcher,
		leases: h.platform, engine: engines, credential: string(h.settings.OrderCredential),
		timer: h.timer, events: h.events, log: h.log,
	}
	h.digest = &digestTask{
		manifest: h.view, admission: h.admission, followers: h.followers, members: h.members,
		marks: h.marks, leaving: h.manifest.leaving.Upstreams, paused: h.swaps.Paused,
		timer: h.timer,
	}
}

// composeQuarantine shares suspects and marks with all hosts of the data centre
// before the caller gets its final answer, since it may send the request again at once.
func (h *Host) composeQuarantine() {
	h.crashes = crash.New(crash.WithAnnounce(func(mark spoke.QuarantineMark) {
		h.events.Record(spoke.Event{Kind: "quarantine-mark", Detail: strconv.Itoa(mark.Deaths) + " deaths"})
		ctx, cancel := context.WithTimeout(h.life, announceLimit)
		defer cancel()
		if err := h.members.Announce(ctx, member.AddMark{Mark: mark}); err != nil {
			h.log.WithError(err).Warn("not every peer heard of a quarantine mark")
		}
	}))
	h.members.marks = func(marks []spoke.QuarantineMark) { h.crashes.Merge(h.timer.Now(), marks) }
}

func (h *Host) marks(now time.Time) []spoke.QuarantineMark {
	return h.crashes.Marks(now, maxMarks)
}

func (h *Host) composeServers(force <-chan struct{}) {
	signer := wire.NewSigner(string(h.settings.PeerSecret))
	dispatcher := &dispatcher{
		self: h.settings.Host, manifest: h.view, views: h.views, members: h.members,
		owner: h.owner, client: h.members.client, plain: plain.NewClient(),
	}
	budget := newRetryBudget(h.timer)
	router := &sharedRouter{router: newRouter(h.settings.Routing, h.timer.Now())}
	h.calls = plain.NewExecutor(plain.Dependencies{
		Manifests: h.view, Views: h.views, Router: router, Dispatcher: dispatcher,
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
		Manifests: h.view, Views: h.views, Router: router, Dispatcher: dispatcher, Timer: h.timer,
	},
		runner.WithDataCentre(h.settings.DataCentre),
		runner.WithBudget(budget),
		runner.WithCalls(h.calls.Call),
		runner.WithKeys(blockKeys),
		runner.WithQuarantine(h.crashes),
		runner.WithEvents(h.events),
	)
	front := openai.New(requests, h.view, openai.WithLog(h.log))
	h.metrics = newMetrics(h)
	h.caller = openai.NewServer(front)
	h.internal = server(wire.NewServer(peerAPI{h}, signer, h.timer, h.events))
	h.exporter = server(h.metrics)
	operators := administration{host: h, acceptor: ticket.NewAcceptor(h.platform)}
	h.admin = server(admin.NewHandler(operators, ticketCodec{}, h.settings.AdminKeys, admin.WithLog(h.log)))
	h.drainer = &drainer{
		caller: h.caller, internal: h.internal, members: h.members, timer: h.timer,
		events: h.events, log: h.log, delay: h.settings.DrainDelay, deadline: h.settings.DrainDeadline,
		begin: make(chan struct{}, 1), force: force,
	}
	h.caller.Handler = h.drainer.closing(h.ready(h.metrics.counted(front)))
}

func server(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
}

func contacts(peers []config.Peer) []member.Record {
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
		group.Add(func() error { return task(h.life) }, func(error) { h.end() })
	}
	// The drain shuts the first two servers down; the others serve until it has ended.
	h.addServer(&group, func() error { return h.caller.Serve(h.listeners.Caller) }, nil)
	h.addServer(&group, func() error { return h.internal.Serve(h.listeners.Internal) }, nil)
	h.addServer(&group, func() error { return h.admin.Serve(h.listeners.Admin) }, h.admin)
	h.addServer(&group, func() error { return h.exporter.Serve(h.listeners.Metrics) }, h.exporter)
	group.Add(func() error { return h.drainer.run(ctx) }, func(error) { h.drainer.Begin() })
	err := group.Run()
	h.finishClaims()
	h.listeners.Close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// tasks lists what runs for as long as the host lives.
func (h *Host) tasks() []func(context.Context) error {
	return []func(context.Context) error{
		h.members.run, h.admission.run, h.followers.run, h.digest.run, h.swaps.run, h.blocks.run,
		h.manifest.run, h.manifest.watcher.Run, h.manifest.runHostList,
	}
}

// finishClaims lets recorded answers of non-repeatable calls reach the platform.
func (h *Host) finishClaims() {
	ctx, cancel := context.WithTimeout(context.Background(), claimsLimit)
	defer cancel()
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		h.calls.Wait()
	}()
	select {
	case <-finished:
	case <-ctx.Done():
		h.log.Warn("calls still run at the end of the drain")
	}
	if err := h.claims.Close(ctx); err != nil {
		h.log.WithError(err).Warn("claims not finished")
	}
}

// addServer keeps the group running when a server is shut down by the drain,
// because requests may still be in progress. A server that is given is closed with the group,
// which otherwise waits for it without end.
func (h *Host) addServer(group *run.Group, serve func() error, closed *http.Server) {
	group.Add(func() error {
		err := serve()
		if errors.Is(err, http.ErrServerClosed) {
			<-h.life.Done()
			return nil
		}
		return err
	}, func(error) {
		h.end()
		if closed != nil {
			_ = closed.Close()
		}
	})
}

// IsReady reports whether the host accepts work.
func (h *Host) IsReady() bool {
	return h.view.Current() != nil && !h.drainer.draining.Load()
}

// blockKeys names the blocks of a prompt, so that routing finds the upstream that has them.
func blockKeys(request spoke.Request, version spoke.ModelVersion) []spoke.BlockKey {
	scope := cache.Scope{
		Service: request.Service, Workspace: request.Workspace,
		Model: request.Model, Version: version, Adapter: request.Adapter,
	}
	return scope.Keys(request.Prompt)
}
