package host

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/member"
	"magnoliaspoke.example/spoke/route"
	"magnoliaspoke.example/spoke/ticket"
)

const (
	// watchersPerDataCentre bounds the platform calls of a data centre; the second watcher covers
	// a failure of the first one until membership detects it.
	watchersPerDataCentre = 2
	// hostListPeriod bounds the delay that a watcher adds to changes of the platform's list.
	hostListPeriod = time.Second

	manifestInboxSize = 64
)

type (
	// manifestTask puts configurations in force and forwards them to other hosts.
	manifestTask struct {
		self       spoke.HostID
		dataCentre spoke.DataCentreID
		view       *ticket.View
		replicator *ticket.Replicator
		watcher    *ticket.Watcher
		hostList   spoke.HostList
		members    *memberTask
		timer      spoke.Timer
		events     spoke.EventSink
		log        logrus.FieldLogger

		inbox   chan manifestRequest
		leaving leavingList
	}

	// manifestRequest is a message to the replicator or, if reply is set, a request for the
	// update that follows a ticket number.
	manifestRequest struct {
		message ticket.ReplicatorMessage
		// done is closed when the message has been handled.
		done  chan<- struct{}
		since spoke.TicketNumber
		reply chan<- ticket.Update
	}
)

func (t *manifestTask) run(ctx context.Context) error {
	for {
		select {
		case manifest := <-t.watcher.Manifests():
			t.handle(ctx, ticket.ManifestRead{Manifest: manifest})
		case <-t.members.changed:
			t.watcher.SetActive(t.isWatcher())
			t.handle(ctx, ticket.MembershipUpdated{Membership: *t.members.View()})
		case request := <-t.inbox:
			t.handleRequest(ctx, request)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (t *manifestTask) handleRequest(ctx context.Context, request manifestRequest) {
	if request.reply != nil {
		update, _ := t.replicator.UpdateSince(request.since)
		request.reply <- update
		return
	}
	t.handle(ctx, request.message)
	if request.done != nil {
		close(request.done)
	}
}

func (t *manifestTask) handle(ctx context.Context, message ticket.ReplicatorMessage) {
	for _, action := range t.replicator.Handle(t.timer.Now(), message) {
		switch a := action.(type) {
		case ticket.Install:
			t.install(ctx, a.Manifest)
		case ticket.PushUpdate:
			go t.push(ctx, a)
		case ticket.FetchUpdate:
			go t.fetch(ctx, a)
		}
	}
}

func (t *manifestTask) install(ctx context.Context, manifest *spoke.Manifest) {
	if !t.view.Offer(manifest) {
		return
	}
	t.events.Record(spoke.Event{Kind: "configuration-in-force", Ticket: manifest.Number})
	t.log.WithField("ticket", manifest.Number).Info("configuration in force")
	_ = t.members.post(ctx, memberRequest{message: member.SetNumber{Number: manifest.Number}})
}

func (t *manifestTask) push(ctx context.Context, action ticket.PushUpdate) {
	encoded, err := ticket.EncodeUpdate(action.Update)
	if err == nil {
		err = t.members.client.PushUpdate(ctx, action.To.Address, t.self, encoded)
	}
	if err != nil {
		// The peer sees the number in heartbeats and fetches the updates that it misses.
		t.log.WithError(err).WithField("peer", action.To.ID).Debug("configuration update not pushed to peer")
	}
}

func (t *manifestTask) fetch(ctx context.Context, action ticket.FetchUpdate) {
	var update ticket.Update
	encoded, err := t.members.client.FetchUpdate(ctx, action.From.Address, action.After)
	if err == nil {
		update, err = ticket.DecodeUpdate(encoded)
	}
	if err != nil {
		t.log.WithError(err).WithField("peer", action.From.ID).Warn("configuration update not fetched from peer")
		_ = t.post(ctx, manifestRequest{message: ticket.FetchFailed{From: action.From.ID}})
		return
	}
	_ = t.post(ctx, manifestRequest{message: ticket.UpdateReceived{From: action.From.ID, Update: update}})
}

// InstallAccepted puts in force the manifest of a ticket that this host has accepted. It returns
// when that is done or the context ends.
func (t *manifestTask) InstallAccepted(ctx context.Context, manifest *spoke.Manifest) {
	done := make(chan struct{})
	if t.post(ctx, manifestRequest{message: ticket.ManifestRead{Manifest: manifest}, done: done}) != nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// TakeUpdate decodes and queues an update that another host has pushed.
func (t *manifestTask) TakeUpdate(ctx context.Context, from spoke.HostID, encoded []byte) error {
	update, err := ticket.DecodeUpdate(encoded)
	if err != nil {
		return err
	}
	return t.post(ctx, manifestRequest{message: ticket.UpdateReceived{From: from, Update: update}})
}

// UpdateSince returns the encoded update that follows a ticket number, nil before the
// first configuration.
func (t *manifestTask) UpdateSince(ctx context.Context, after spoke.TicketNumber) ([]byte, error) {
	if t.view.Current() == nil {
		return nil, nil
	}
	reply := make(chan ticket.Update, 1)
	if err := t.post(ctx, manifestRequest{since: after, reply: reply}); err != nil {
		return nil, err
	}
	select {
	case update := <-reply:
		return ticket.EncodeUpdate(update)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (t *manifestTask) post(ctx context.Context, request manifestRequest) error {
	select {
	case t.inbox <- request:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// pollHostList reads the platform's list of hosts while this host is a watcher.
func (t *manifestTask) pollHostList(ctx context.Context) error {
	ticks := t.timer.Every(hostListPeriod)
	defer ticks.Stop()
	for {
		// A former watcher continues while it reports leaving upstreams, so that they stay
		// excluded even if its successor cannot reach the platform.
		if t.isWatcher() || len(t.leaving.Upstreams()) > 0 {
			t.readHostList(ctx)
		}
		select {
		case <-ticks.C():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (t *manifestTask) readHostList(ctx context.Context) {
	listed, err := t.hostList.Hosts(ctx)
	if err != nil {
		// The last list stays in use, so that an outage does not return a leaving upstream to service.
		return
	}
	t.leaving.update(listed, t.view.Current())
}

// isWatcher reports whether this host is a watcher of its data centre. All hosts rank the live
// ones by the hash that also assigns owners, so that they agree on the watchers without a lease.
func (t *manifestTask) isWatcher() bool {
	members := t.members.View()
	var hosts []spoke.HostID
	for id, peer := range members.Peers {
		if peer.DataCentre == t.dataCentre && peer.CanOwn() {
			hosts = append(hosts, id)
		}
	}
	for range min(watchersPerDataCentre, len(hosts)) {
		chosen := route.Owner("watcher", hosts)
		if chosen == t.self {
			return true
		}
		hosts = slices.DeleteFunc(hosts, func(id spoke.HostID) bool { return id == chosen })
	}
	return false
}
