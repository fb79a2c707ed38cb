package ticket

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// maxSnapshots is the number of snapshots that a host keeps as bases of updates. At 2,200
	// changes a day, one every 39 s, 16 snapshots cover peers that are minutes behind.
	maxSnapshots = 16
	// pushGrace is how long a host that is behind a peer waits for a push before it fetches.
	pushGrace = 300 * time.Millisecond
	// fetchTimeout is how long a host waits for a fetch before it tries another peer.
	fetchTimeout = time.Second
)

type (
	// ReplicatorMessage is an input of a Replicator.
	ReplicatorMessage interface{ isReplicatorMessage() }

	// ManifestRead reports a manifest that this host read from the platform or committed to it.
	ManifestRead struct{ Manifest *spoke.Manifest }
	// UpdateReceived reports an update that a peer pushed or returned from a fetch.
	UpdateReceived struct {
		From   spoke.HostID
		Update Update
	}
	// FetchFailed reports that a fetch from a peer failed.
	FetchFailed struct{ From spoke.HostID }
	// MembershipUpdated reports the members and their digests; it must be sent after each heartbeat.
	MembershipUpdated struct{ Membership spoke.Membership }

	// ReplicatorAction is an output of a Replicator.
	ReplicatorAction interface{ isReplicatorAction() }

	// Install puts a manifest in force at this host.
	Install struct{ Manifest *spoke.Manifest }
	// PushUpdate sends an update to a peer. A failed push need not be retried, since the peer
	// fetches what it misses.
	PushUpdate struct {
		To     spoke.Peer
		Update Update
	}
	// FetchUpdate requests from a peer the update that follows a ticket number.
	FetchUpdate struct {
		From  spoke.Peer
		After spoke.TicketNumber
	}

	// Replicator decides how manifests are replicated between hosts. It does no I/O and is not
	// safe for concurrent use. The host that reads a new manifest from the platform pushes it to
	// all hosts of its data centre and to one host of each other data centre, which pushes it to
	// its own. Hosts detect missed pushes by the ticket numbers in heartbeats and fetch them.
	Replicator struct {
		self       spoke.HostID
		dataCentre spoke.DataCentreID
		peers      map[spoke.HostID]spoke.Peer
		// snapshots holds the most recent manifests in force, the newest last.
		snapshots []*spoke.Manifest
		// behindSince is when this host first found a peer with a higher number, zero if there is none.
		behindSince time.Time
		fetchFrom   spoke.HostID
		fetchUntil  time.Time
	}
)

func (ManifestRead) isReplicatorMessage()      {}
func (UpdateReceived) isReplicatorMessage()    {}
func (FetchFailed) isReplicatorMessage()       {}
func (MembershipUpdated) isReplicatorMessage() {}

func (Install) isReplicatorAction()     {}
func (PushUpdate) isReplicatorAction()  {}
func (FetchUpdate) isReplicatorAction() {}

// NewReplicator returns the Replicator of one host.
func NewReplicator(self spoke.HostID, dataCentre spoke.DataCentreID) *Replicator {
	return &Replicator{self: self, dataCentre: dataCentre}
}

// Handle processes one message and returns the actions to take.
func (r *Replicator) Handle(now time.Time, message ReplicatorMessage) []ReplicatorAction {
	switch m := message.(type) {
	case ManifestRead:
		return r.install(m.Manifest, func(spoke.Peer) bool { return true })
	case UpdateReceived:
		return r.receive(now, m)
	case FetchFailed:
		if r.fetchFrom == m.From {
			r.fetchFrom, r.fetchUntil = "", time.Time{}
		}
	case MembershipUpdated:
		r.peers = maps.Clone(m.Membership.Peers)
		delete(r.peers, r.self)
		return r.repair(now)
	}
	return nil
}

// UpdateSince returns the update for a peer that fetches from a ticket number, which is complete
// if there is no snapshot of that number. It returns false before the first manifest.
func (r *Replicator) UpdateSince(after spoke.TicketNumber) (Update, bool) {
	current := r.current()
	if current == nil {
		return Update{}, false
	}
	return UpdateBetween(r.snapshot(after), current), true
}

func (r *Replicator) receive(now time.Time, m UpdateReceived) []ReplicatorAction {
	if r.fetchFrom == m.From {
		r.fetchFrom, r.fetchUntil = "", time.Time{}
	}
	from, known := r.peers[m.From]
	next, err := m.Update.Apply(r.current())
	if err != nil && known {
		return r.fetch(now, from)
	}
	if err != nil {
		return nil
	}
	remote := known && from.DataCentre != r.dataCentre
	return r.install(next, func(peer spoke.Peer) bool { return remote && peer.DataCentre == r.dataCentre })
}

// install puts a newer manifest in force and pushes it to the peers that pass the filter, but to
// only one peer of each other data centre.
func (r *Replicator) install(m *spoke.Manifest, filter func(spoke.Peer) bool) []ReplicatorAction {
	if number(m) <= number(r.current()) {
		return nil
	}
	r.snapshots = append(r.snapshots, m)
	if len(r.snapshots) > maxSnapshots {
		r.snapshots = slices.Delete(r.snapshots, 0, 1)
	}
	r.behindSince = time.Time{}
	actions := []ReplicatorAction{Install{m}}
	pushed := make(map[spoke.DataCentreID]bool)
	updates := make(map[spoke.TicketNumber]Update)
	for _, peer := range r.reachable() {
		remote := peer.DataCentre != r.dataCentre
		if !filter(peer) || peer.Digest.Number >= m.Number || remote && pushed[peer.DataCentre] {
			continue
		}
		pushed[peer.DataCentre] = true
		base := r.snapshot(peer.Digest.Number)
		update, ok := updates[number(base)]
		if !ok {
			update = UpdateBetween(base, m)
			updates[number(base)] = update
		}
		actions = append(actions, PushUpdate{To: peer, Update: update})
	}
	return actions
}

// repair fetches from a peer with a higher number if no push arrives within pushGrace. A host
// without a manifest fetches at once.
func (r *Replicator) repair(now time.Time) []ReplicatorAction {
	newest, found := r.newestPeer()
	if !found {
		r.behindSince = time.Time{}
		return nil
	}
	if r.behindSince.IsZero() {
		r.behindSince = now
	}
	awaitsPush := r.current() != nil && now.Sub(r.behindSince) < pushGrace
	if awaitsPush || r.fetchFrom != "" && now.Before(r.fetchUntil) {
		return nil
	}
	return r.fetch(now, newest)
}

func (r *Replicator) fetch(now time.Time, from spoke.Peer) []ReplicatorAction {
	r.fetchFrom, r.fetchUntil = from.ID, now.Add(fetchTimeout)
	return []ReplicatorAction{FetchUpdate{From: from, After: number(r.current())}}
}

// newestPeer returns the peer to fetch from, or false if no peer has a higher number than this
// host. It avoids the peer of an unanswered fetch, then prefers the highest number, then peers
// of this data centre. Ties are broken by peerHash, so that hosts choose different peers.
func (r *Replicator) newestPeer() (spoke.Peer, bool) {
	var candidates []spoke.Peer
	for _, peer := range r.reachable() {
		if peer.Digest.Number > number(r.current()) {
			candidates = append(candidates, peer)
		}
	}
	if len(candidates) == 0 {
		return spoke.Peer{}, false
	}
	return slices.MinFunc(candidates, func(a, b spoke.Peer) int {
		return cmp.Or(
			compareBools(a.ID == r.fetchFrom, b.ID == r.fetchFrom),
			cmp.Compare(b.Digest.Number, a.Digest.Number),
			compareBools(a.DataCentre != r.dataCentre, b.DataCentre != r.dataCentre),
			cmp.Compare(r.peerHash(a.ID), r.peerHash(b.ID)),
		)
	}), true
}

// reachable returns the peers that are not dead, suspected ones last, in an order that differs
// from host to host.
func (r *Replicator) reachable() []spoke.Peer {
	peers := slices.Collect(maps.Values(r.peers))
	peers = slices.DeleteFunc(peers, func(p spoke.Peer) bool { return p.State == spoke.PeerDead })
	slices.SortFunc(peers, func(a, b spoke.Peer) int {
		return cmp.Or(
			compareBools(a.State == spoke.PeerSuspect, b.State == spoke.PeerSuspect),
			cmp.Compare(r.peerHash(a.ID), r.peerHash(b.ID)),
		)
	})
	return peers
}

func (r *Replicator) peerHash(peer spoke.HostID) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(string(r.self) + "\x00" + string(peer)))
	return sum.Sum64()
}

func (r *Replicator) current() *spoke.Manifest {
	if len(r.snapshots) == 0 {
		return nil
	}
	return r.snapshots[len(r.snapshots)-1]
}

// snapshot returns the snapshot with the number, nil if it is not kept.
func (r *Replicator) snapshot(n spoke.TicketNumber) *spoke.Manifest {
	for _, m := range r.snapshots {
		if m.Number == n {
			return m
		}
	}
	return nil
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
