package member

import (
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

type (
	// Table is the membership state of one host. It does no input or output and is not safe
	// for concurrent use.
	Table struct {
		self     spoke.HostID
		hosts    map[spoke.HostID]*entry
		contacts []Record
		random   *rand.Rand
		round    uint64
		// now is the time of the message being handled.
		now time.Time

		fanOut       int
		suspectAfter time.Duration
		removeAfter  time.Duration
	}

	entry struct {
		record        Record
		beat          Beat
		lastHeartbeat time.Time
		refused       bool
	}
)

// New returns a table that holds only the local host, self. The contacts come from the
// settings and may receive heartbeats from the first round on.
func New(self Record, incarnation spoke.Incarnation, contacts []Record, seed uint64, opts ...Option) *Table {
	table := &Table{
		self:         self.ID,
		hosts:        make(map[spoke.HostID]*entry),
		contacts:     contacts,
		random:       rand.New(rand.NewPCG(seed, uint64(incarnation))),
		fanOut:       defaultFanOut,
		suspectAfter: defaultSuspectAfter,
		removeAfter:  defaultRemoveAfter,
	}
	table.hosts[self.ID] = &entry{record: self, beat: Beat{Incarnation: incarnation, Count: 1, Version: 1, LoadsVersion: 1}}
	for _, opt := range opts {
		opt.apply(table)
	}
	return table
}

// Handle processes one message and returns the actions to carry out.
func (t *Table) Handle(now time.Time, message Message) []Action {
	t.now = now
	switch m := message.(type) {
	case Tick:
		t.expire(now)
		return t.tick()
	case Received:
		t.merge(now, m.Heartbeat)
		return []Action{Reply{t.heartbeatFor(m.Heartbeat)}}
	case Answered:
		t.merge(now, m.Heartbeat)
	case ConnectionRefused:
		t.markRefused(m.Host)
	case SetDigest:
		t.setDigest(m.Digest)
	case SetNumber:
		t.changeSelf(func(r *Record) { r.Digest.Number = max(r.Digest.Number, m.Number) })
	case AddMark:
		t.changeSelf(func(r *Record) { r.Digest.Marks = append(slices.Clone(r.Digest.Marks), m.Mark) })
		return t.broadcast()
	case Leave:
		t.changeSelf(func(r *Record) { r.Leaving = true })
		return t.broadcastLocal()
	}
	return nil
}

// View returns all hosts of the table with their state at the given time.
func (t *Table) View(now time.Time) map[spoke.HostID]spoke.Peer {
	peers := make(map[spoke.HostID]spoke.Peer, len(t.hosts))
	for id, host := range t.hosts {
		peers[id] = spoke.Peer{
			ID:          id,
			DataCentre:  host.record.DataCentre,
			Address:     t.address(host.record),
			Incarnation: host.beat.Incarnation,
			State:       t.state(now, host),
			Digest:      host.record.Digest,
		}
	}
	return peers
}

func (t *Table) state(now time.Time, host *entry) spoke.PeerState {
	if host.record.ID == t.self {
		return selfState(host.record)
	}
	sinceHeartbeat := now.Sub(host.lastHeartbeat)
	timeoutFactor := time.Duration(1)
	if !t.isLocal(host.record) {
		timeoutFactor = remoteTimeoutFactor
	}
	switch {
	case host.refused || sinceHeartbeat > timeoutFactor*t.removeAfter:
		return spoke.PeerDead
	case host.record.Leaving:
		return spoke.PeerLeaving
	case sinceHeartbeat > timeoutFactor*t.suspectAfter:
		return spoke.PeerSuspect
	}
	return spoke.PeerAlive
}

// address returns the address of the settings if there is one, because a data centre
// may reach a host by an address that other data centres do not use.
func (t *Table) address(record Record) spoke.Address {
	for _, contact := range t.contacts {
		if contact.ID == record.ID {
			return contact.Address
		}
	}
	return record.Address
}

func selfState(record Record) spoke.PeerState {
	if record.Leaving {
		return spoke.PeerLeaving
	}
	return spoke.PeerAlive
}

func (t *Table) changeSelf(change func(*Record)) {
	own := t.hosts[t.self]
	change(&own.record)
	own.beat.Version++
}

// setDigest versions the loads separately from the rest of the digest, because loads are
// forwarded only within the local data centre.
func (t *Table) setDigest(digest spoke.Digest) {
	own := t.hosts[t.self]
	// A digest collected before the number was raised must not lower it.
	digest.Number = max(own.record.Digest.Number, digest.Number)
	loads := digest.Loads
	digest.Loads = own.record.Digest.Loads
	if !reflect.DeepEqual(digest, own.record.Digest) {
		own.beat.Version++
	}
	digest.Loads = loads
	own.record.Digest = digest
	own.beat.LoadsVersion++
}

func (t *Table) markRefused(id spoke.HostID) {
	if host, ok := t.hosts[id]; ok && id != t.self {
		host.refused = true
	}
}

func (t *Table) merge(now time.Time, received Heartbeat) {
	records := make(map[spoke.HostID]Record, len(received.Records))
	for _, record := range received.Records {
		records[record.ID] = record
	}
	for id, beat := range received.Beats {
		if id == t.self {
			t.raiseIncarnation(beat)
			continue
		}
		record, hasRecord := records[id]
		t.mergeHost(now, id, beat, record, hasRecord)
	}
	if sender, ok := t.hosts[received.From]; ok && received.From != t.self {
		sender.lastHeartbeat = now
		sender.refused = false
	}
}

// raiseIncarnation raises the incarnation above that of an earlier process of this host
// whose record peers still hold, so that they replace it by the current one.
func (t *Table) raiseIncarnation(received Beat) {
	own := t.hosts[t.self]
	if received.Incarnation > own.beat.Incarnation {
		own.beat.Incarnation = received.Incarnation + 1
	}
}

func (t *Table) mergeHost(now time.Time, id spoke.HostID, beat Beat, record Record, hasRecord bool) {
	host, known := t.hosts[id]
	if !known {
		if !hasRecord {
			return
		}
		host = &entry{}
		t.hosts[id] = host
	}
	if beat.Incarnation > host.beat.Incarnation {
		// Zero versions make the next exchange request the record and the loads
		// if this heartbeat does not carry them.
		host.beat.Version, host.beat.LoadsVersion = 0, 0
	}
	hasNewerLoads := beat.hasNewerLoadsThan(host.beat) && !host.beat.hasNewerRecordThan(beat)
	if hasRecord && (beat.hasNewerRecordThan(host.beat) || hasNewerLoads) {
		host.replaceRecord(record, beat)
	}
	if beat.isNewerThan(host.beat) {
		host.lastHeartbeat = now
		host.refused = false
		host.beat.Incarnation = beat.Incarnation
		host.beat.Count = beat.Count
	}
}

// replaceRecord replaces the record; a partial record keeps the loads received last.
func (e *entry) replaceRecord(record Record, beat Beat) {
	if record.Partial {
		record.Digest.Loads = e.record.Digest.Loads
		record.Partial = false
	} else {
		e.beat.LoadsVersion = beat.LoadsVersion
	}
	e.record = record
	e.beat.Version = beat.Version
}

func (b Beat) isNewerThan(other Beat) bool {
	if b.Incarnation != other.Incarnation {
		return b.Incarnation > other.Incarnation
	}
	return b.Count > other.Count
}

func (b Beat) hasNewerRecordThan(other Beat) bool {
	if b.Incarnation != other.Incarnation {
		return b.Incarnation > other.Incarnation
	}
	return b.Version > other.Version
}

func (b Beat) hasNewerLoadsThan(other Beat) bool {
	if b.Incarnation != other.Incarnation {
		return b.Incarnation > other.Incarnation
	}
	return b.LoadsVersion > other.LoadsVersion
}

// heartbeatFor builds a heartbeat with the records that are missing or outdated at the
// other host according to the beats that it sent.
func (t *Table) heartbeatFor(other Heartbeat) Heartbeat {
	response := t.heartbeat(other.Remote)
	for id := range response.Beats {
		if id == t.self {
			continue
		}
		peerBeat, known := other.Beats[id]
		host := t.hosts[id]
		isLocal := t.isLocal(host.record)
		switch {
		case isLocal && (!known || host.beat.hasNewerRecordThan(peerBeat) || host.beat.hasNewerLoadsThan(peerBeat)):
			response.Records = append(response.Records, host.record)
		case !isLocal && (!known || host.beat.hasNewerRecordThan(peerBeat)):
			response.Records = append(response.Records, host.record.withoutLoads())
		}
	}
	return response
}

func (r Record) withoutLoads() Record {
	r.Digest.Loads = nil
	r.Partial = true
	return r
}

func (t *Table) isLocal(record Record) bool {
	return record.DataCentre == t.hosts[t.self].record.DataCentre
}

func (t *Table) heartbeat(remote bool) Heartbeat {
	own := t.hosts[t.self]
	beats := make(map[spoke.HostID]Beat, len(t.hosts))
	for id, host := range t.hosts {
		if t.isForwarded(t.now, host, remote) {
			beats[id] = host.beat
		}
	}
	return Heartbeat{From: t.self, Beats: beats, Records: []Record{own.record}, Remote: remote}
}

func (t *Table) tick() []Action {
	t.round++
	t.hosts[t.self].beat.Count++
	targets := t.sample(t.localPeers(), t.fanOut)
	if len(targets) == 0 || t.round%remoteIntervalRounds != 0 {
		return append(t.sendTo(targets, t.heartbeat(false)), t.remoteSends()...)
	}
	actions := t.sendTo(targets[:1], t.heartbeat(true))
	actions = append(actions, t.sendTo(targets[1:], t.heartbeat(false))...)
	return append(actions, t.remoteSends()...)
}

// remoteSends contacts one host of each other data centre, with a probability that
// keeps the total from the local data centre constant as that data centre grows.
func (t *Table) remoteSends() []Action {
	var actions []Action
	localHosts := len(t.localPeers()) + 1
	for _, hosts := range t.remotePeers() {
		if t.random.IntN(localHosts) < remoteContactsPerRound {
			actions = append(actions, t.sendTo(t.sample(hosts, 1), t.heartbeat(true))...)
		}
	}
	return actions
}

// broadcastLocal sends a heartbeat to every host of the local data centre and to one host
// of each other data centre.
func (t *Table) broadcastLocal() []Action {
	t.hosts[t.self].beat.Count++
	actions := t.sendTo(t.localPeers(), t.heartbeat(false))
	for _, hosts := range t.remotePeers() {
		actions = append(actions, t.sendTo(t.sample(hosts, 1), t.heartbeat(true))...)
	}
	return actions
}

// broadcast sends a heartbeat to every host of the table and every contact. It is for rare
// updates that all hosts must have received before a caller can act on its response.
func (t *Table) broadcast() []Action {
	t.hosts[t.self].beat.Count++
	actions := t.sendTo(t.localPeers(), t.heartbeat(false))
	for _, hosts := range t.remotePeers() {
		actions = append(actions, t.sendTo(hosts, t.heartbeat(true))...)
	}
	return actions
}

func (t *Table) sendTo(targets []Record, heartbeat Heartbeat) []Action {
	actions := make([]Action, 0, len(targets))
	for _, target := range targets {
		actions = append(actions, Send{Host: target.ID, Address: target.Address, Heartbeat: heartbeat})
	}
	return actions
}

func (t *Table) localPeers() []Record {
	return t.peersWhere(func(dc spoke.DataCentreID) bool { return dc == t.hosts[t.self].record.DataCentre })
}

func (t *Table) remotePeers() [][]Record {
	localCentre := t.hosts[t.self].record.DataCentre
	grouped := make(map[spoke.DataCentreID][]Record)
	for _, record := range t.peersWhere(func(dc spoke.DataCentreID) bool { return dc != localCentre }) {
		grouped[record.DataCentre] = append(grouped[record.DataCentre], record)
	}
	groups := make([][]Record, 0, len(grouped))
	for _, dc := range slices.Sorted(maps.Keys(grouped)) {
		groups = append(groups, grouped[dc])
	}
	return groups
}

// peersWhere returns the contacts of the settings and the hosts of the table whose data
// centre matches, sorted by ID. The record of the settings takes precedence.
func (t *Table) peersWhere(matches func(spoke.DataCentreID) bool) []Record {
	found := make(map[spoke.HostID]Record)
	for id, host := range t.hosts {
		if id != t.self && matches(host.record.DataCentre) {
			found[id] = host.record
		}
	}
	for _, contact := range t.contacts {
		if contact.ID != t.self && matches(contact.DataCentre) {
			found[contact.ID] = contact
		}
	}
	peers := make([]Record, 0, len(found))
	for _, id := range slices.Sorted(maps.Keys(found)) {
		peers = append(peers, found[id])
	}
	return peers
}

func (t *Table) sample(records []Record, count int) []Record {
	shuffled := slices.Clone(records)
	t.random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled[:min(count, len(shuffled))]
}
