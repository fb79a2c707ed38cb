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
	// keptSnapshots is how many snapshots a host keeps to compute updates from; 2,200 changes
	// a day are one in 39 s, so 16 cover peers that are minutes behind.
	keptSnapshots = 16
	// pushGrace is how long a host waits for a push before it fetches what a peer has.
	pushGrace = 300 * time.Millisecond
	// fetchTimeout is how long a fetch may stay unanswered before another peer is asked.
	fetchTimeout = time.Second
)

type (
	// SpreadMessage is an input of a Spread.
	ReplicatorMessage interface{ isSpreadMessage() }

	// ManifestRead reports a manifest that this host read from the platform.
	ManifestRead struct{ Manifest *spoke.Manifest }
	// UpdateReceived reports an update that a peer pushed, or its answer to a fetch.
	UpdateReceived struct {
		From   spoke.HostID
		Update Update
	}
	// FetchFailed reports that a peer did not answer a fetch.
	FetchFailed struct{ From spoke.HostID }
	// PeersSeen reports the members and their digests; it is to be sent after each heartbeat.
	MembershipUpdated struct{ Membership spoke.Membership }

	// SpreadAction is an output of a Spread.
	SpreadAction interface{ isSpreadAction() }

	// Install puts a manifest in force at this host.
	Install struct{ Manifest *spoke.Manifest }
	// PushUpdate sends an update to a peer; a failed push need not be repeated.
	PushUpdate struct {
		To     spoke.Peer
		Update Update
	}
	// FetchUpdate asks a peer for the update that follows a number.
	FetchUpdate struct {
		From  spoke.Peer
		After spoke.TicketNumber
	}

	// Spread decides how manifests travel between hosts; it is pure and single-threaded.
	// The host that reads a new manifest from the platform pushes it to its data centre and to
	// one host of each other one, which pushes it on; numbers in heartbeats repair what is missed.
	Replicator struct {
		self       spoke.HostID
		dataCentre spoke.DataCentreID
		peers      map[spoke.HostID]spoke.Peer
		// snapshots holds the last manifests in force, the newest last.
		snapshots []*spoke.Manifest
		// behindSince is the time since when a peer has had a higher number.
		behindSince time.Time
		fetchFrom   spoke.HostID
		fetchUntil  time.Time
	}
)

func (ManifestRead) isSpreadMessage()      {}
func (UpdateReceived) isSpreadMessage()    {}
func (FetchFailed) isSpreadMessage()       {}
func (MembershipUpdated) isSpreadMessage() {}

func (Install) isSpreadAction()     {}
func (PushUpdate) isSpreadAction()  {}
func (FetchUpdate) isSpreadAction() {}

// NewSpread returns the decisions of one host.
func NewReplicator(self spoke.HostID, dataCentre spoke.DataCentreID) *Replicator {
	return &Replicator{self: self, dataCentre: dataCentre}
}

// Handle takes one message and returns the actions that follow from it.
func (s *Replicator) Handle(now time.Time, message ReplicatorMessage) []SpreadAction {
	switch m := message.(type) {
	case ManifestRead:
		return s.adopt(m.Manifest, func(spoke.Peer) bool { return true })
	case UpdateReceived:
		return s.receive(now, m)
	case FetchFailed:
		if s.fetchFrom == m.From {
			s.fetchFrom, s.fetchUntil = "", time.Time{}
		}
	case MembershipUpdated:
		s.peers = maps.Clone(m.Membership.Peers)
		delete(s.peers, s.self)
		return s.repair(now)
	}
	return nil
}

// UpdateSince returns the update that answers a peer's fetch, whole if the peer is far behind;
// it reports false before the first manifest.
func (s *Replicator) UpdateSince(after spoke.TicketNumber) (Update, bool) {
	current := s.current()
	if current == nil {
		return Update{}, false
	}
	return UpdateBetween(s.snapshot(after), current), true
}

func (s *Replicator) receive(now time.Time, m UpdateReceived) []SpreadAction {
	if s.fetchFrom == m.From {
		s.fetchFrom, s.fetchUntil = "", time.Time{}
	}
	from, known := s.peers[m.From]
	next, err := m.Update.Apply(s.current())
	if err != nil && known {
		return s.fetch(now, from)
	}
	if err != nil {
		return nil
	}
	foreign := known && from.DataCentre != s.dataCentre
	return s.adopt(next, func(peer spoke.Peer) bool { return foreign && peer.DataCentre == s.dataCentre })
}

// adopt puts a newer manifest in force and pushes it to the peers that the filter passes,
// to one only of each other data centre.
func (s *Replicator) adopt(m *spoke.Manifest, filter func(spoke.Peer) bool) []SpreadAction {
	if number(m) <= number(s.current()) {
		return nil
	}
	s.snapshots = append(s.snapshots, m)
	if len(s.snapshots) > keptSnapshots {
		s.snapshots = slices.Delete(s.snapshots, 0, 1)
	}
	s.behindSince = time.Time{}
	actions := []SpreadAction{Install{m}}
	reached := make(map[spoke.DataCentreID]bool)
	updates := make(map[spoke.TicketNumber]Update)
	for _, peer := range s.reachable() {
		foreign := peer.DataCentre != s.dataCentre
		if !filter(peer) || peer.Digest.Number >= m.Number || foreign && reached[peer.DataCentre] {
			continue
		}
		reached[peer.DataCentre] = true
		base := s.snapshot(peer.Digest.Number)
		update, made := updates[number(base)]
		if !made {
			update = UpdateBetween(base, m)
			updates[number(base)] = update
		}
		actions = append(actions, PushUpdate{To: peer, Update: update})
	}
	return actions
}

// repair fetches from a peer with a higher number if no push brings it in time.
func (s *Replicator) repair(now time.Time) []SpreadAction {
	best, found := s.best()
	if !found {
		s.behindSince = time.Time{}
		return nil
	}
	if s.behindSince.IsZero() {
		s.behindSince = now
	}
	waits := s.current() != nil && now.Sub(s.behindSince) < pushGrace
	if waits || s.fetchFrom != "" && now.Before(s.fetchUntil) {
		return nil
	}
	return s.fetch(now, best)
}

func (s *Replicator) fetch(now time.Time, from spoke.Peer) []SpreadAction {
	s.fetchFrom, s.fetchUntil = from.ID, now.Add(fetchTimeout)
	return []SpreadAction{FetchUpdate{From: from, After: number(s.current())}}
}

// best returns a peer with the highest number above the own one, of the own data centre if there
// is one; hosts choose differently, and another one than before after an unanswered fetch.
func (s *Replicator) best() (spoke.Peer, bool) {
	var candidates []spoke.Peer
	for _, peer := range s.reachable() {
		if peer.Digest.Number > number(s.current()) {
			candidates = append(candidates, peer)
		}
	}
	if len(candidates) == 0 {
		return spoke.Peer{}, false
	}
	return slices.MinFunc(candidates, func(a, b spoke.Peer) int {
		return cmp.Or(
			order(a.ID == s.fetchFrom, b.ID == s.fetchFrom),
			cmp.Compare(b.Digest.Number, a.Digest.Number),
			order(a.DataCentre != s.dataCentre, b.DataCentre != s.dataCentre),
			cmp.Compare(s.weigh(a.ID), s.weigh(b.ID)),
		)
	}), true
}

// reachable returns the peers that are not dead, in an order of this host's own.
func (s *Replicator) reachable() []spoke.Peer {
	peers := slices.Collect(maps.Values(s.peers))
	peers = slices.DeleteFunc(peers, func(p spoke.Peer) bool { return p.State == spoke.PeerDead })
	slices.SortFunc(peers, func(a, b spoke.Peer) int {
		return cmp.Or(
			order(a.State == spoke.PeerSuspect, b.State == spoke.PeerSuspect),
			cmp.Compare(s.weigh(a.ID), s.weigh(b.ID)),
		)
	})
	return peers
}

func (s *Replicator) weigh(peer spoke.HostID) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(string(s.self) + "\x00" + string(peer)))
	return sum.Sum64()
}

func (s *Replicator) current() *spoke.Manifest {
	if len(s.snapshots) == 0 {
		return nil
	}
	return s.snapshots[len(s.snapshots)-1]
}

// snapshot returns the kept manifest of a number, nil if there is none.
func (s *Replicator) snapshot(n spoke.TicketNumber) *spoke.Manifest {
	for _, m := range s.snapshots {
		if m.Number == n {
			return m
		}
	}
	return nil
}

// order sorts false before true.
func order(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
