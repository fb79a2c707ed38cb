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
	// watchersPerDataCentre bounds the platform calls of a data centre; the
	// second watcher covers the first one's death until membership notices it.
	watchersPerDataCentre = 2
	// watchWait is the length of one long poll.
	watchWait = 10 * time.Second
	// watchRetry spaces the tries while the platform is out.
	watchRetry = time.Second
	// loadTimeout bounds one read of the configuration.
	loadTimeout = 3 * time.Second
	// hostListPeriod bounds the delay that the watcher adds to the platform's list.
	hostListPeriod = time.Second
)

type (
	// manifestTask brings the configuration in force up to date from the
	// platform, if the host is a watcher of its data centre, and from peers.
	manifestTask struct {
		self    spoke.HostID
		dc      spoke.DataCentreID
		view    *ticket.View
		loader  *ticket.Loader
		store   spoke.KeyValue
		list    spoke.HostList
		members *memberTask
		timer   spoke.Timer
		events  spoke.EventSink
		log     logrus.FieldLogger

		revision spoke.Revision
		leaving  leavingList
	}
)

// runPeers fetches the configuration of peers that have a newer one.
func (t *manifestTask) runPeers(ctx context.Context) error {
	for {
		select {
		case peer := <-t.members.newer:
			if peer.Digest.Number > t.view.Number() {
				t.fetch(ctx, peer)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (t *manifestTask) fetch(ctx context.Context, peer spoke.Peer) {
	encoded, err := t.members.client.Manifest(ctx, peer.Address)
	if err != nil {
		t.log.WithError(err).WithField("peer", peer.ID).Warn("configuration of peer not read")
		return
	}
	manifest, err := ticket.DecodeManifest(encoded)
	if err != nil {
		t.log.WithError(err).WithField("peer", peer.ID).Error("configuration of peer not decoded")
		return
	}
	t.offer(ctx, manifest, "peer "+string(peer.ID))
}

// runPlatform watches the platform while the host is a watcher.
func (t *manifestTask) runPlatform(ctx context.Context) error {
	t.load(ctx)
	for ctx.Err() == nil {
		if !t.isWatcher() {
			t.pause(ctx, watchRetry)
			continue
		}
		_, revision, err := t.store.Watch(ctx, ticket.ManifestKey, t.revision, watchWait)
		if err != nil || !t.load(ctx) {
			t.pause(ctx, watchRetry)
			continue
		}
		t.revision = max(t.revision, revision)
	}
	return ctx.Err()
}

// runHostList reads the platform's list of hosts while the host is a watcher.
func (t *manifestTask) runHostList(ctx context.Context) error {
	for ctx.Err() == nil {
		// A former watcher goes on while it reports leaving upstreams, so that they
		// stay excluded even if its successor cannot reach the platform.
		if t.isWatcher() || len(t.leaving.Upstreams()) > 0 {
			t.readList(ctx)
		}
		t.pause(ctx, hostListPeriod)
	}
	return ctx.Err()
}

func (t *manifestTask) readList(ctx context.Context) {
	listed, err := t.list.Hosts(ctx)
	if err != nil {
		// The last list stands: an outage does not bring a leaving upstream back.
		return
	}
	t.leaving.update(listed, t.view.Current())
}

func (t *manifestTask) load(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	manifest, revision, err := t.loader.Load(ctx)
	if err != nil {
		t.log.WithError(err).Debug("configuration not read from the platform")
		return false
	}
	t.revision = max(t.revision, revision)
	if manifest.Number > 0 {
		t.offer(ctx, manifest, "platform")
	}
	return true
}

// offer puts a manifest in force if it is newer, and tells the peers at once.
func (t *manifestTask) offer(ctx context.Context, manifest *spoke.Manifest, source string) {
	if !t.view.Offer(manifest) {
		return
	}
	if err := t.loader.Seed(manifest); err != nil {
		t.log.WithError(err).Error("configuration not cached")
	}
	t.events.Record(spoke.Event{Kind: "configuration-in-force", Ticket: manifest.Number, Detail: "from " + source})
	t.log.WithFields(logrus.Fields{"ticket": manifest.Number, "source": source}).Info("configuration in force")
	_ = t.members.post(ctx, memberRequest{message: member.SetNumber{Number: manifest.Number}})
	_ = t.members.post(ctx, memberRequest{message: member.Spread{}})
}

// isWatcher ranks the live hosts of the data centre by the same hash as
// ownership, so that no lease call is needed to agree on the watchers.
func (t *manifestTask) isWatcher() bool {
	members := t.members.View()
	var hosts []spoke.HostID
	for id, peer := range members.Peers {
		if peer.DataCentre == t.dc && peer.CanOwn() {
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

func (t *manifestTask) pause(ctx context.Context, delay time.Duration) {
	tick := t.timer.After(delay)
	defer tick.Stop()
	select {
	case <-tick.C():
	case <-ctx.Done():
	}
}
