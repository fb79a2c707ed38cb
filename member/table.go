package member

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

type (
	// Table is the membership state of one host; it is pure and single-threaded.
	Table struct {
		self    spoke.HostID
		hosts   map[spoke.HostID]*entry
		contact []Record
		random  *rand.Rand
		round   uint64

		fanOut       int
		suspectAfter time.Duration
		removeAfter  time.Duration
	}

	entry struct {
		record  Record
		beat    Beat
		heard   time.Time
		refused bool
	}
)

// New returns a table that knows itself and its first contacts.
func New(self Record, incarnation spoke.Incarnation, contacts []Record, seed uint64, opts ...Option) *Table {
	table := &Table{
		self:         self.ID,
		hosts:        make(map[spoke.HostID]*entry),
		contact:      contacts,
		random:       rand.New(rand.NewPCG(seed, uint64(incarnation))),
		fanOut:       defaultFanOut,
		suspectAfter: defaultSuspect,
		removeAfter:  defaultRemove,
	}
	table.hosts[self.ID] = &entry{record: self, beat: Beat{Incarnation: incarnation, Count: 1, Version: 1}}
	for _, opt := range opts {
		opt.apply(table)
	}
	return table
}

// Handle takes one message and returns the actions that follow from it.
func (t *Table) Handle(now time.Time, message Message) []Action {
	switch m := message.(type) {
	case Tick:
		return t.tick()
	case Received:
		t.merge(now, m.Heartbeat)
		return []Action{Reply{t.heartbeatFor(m.Heartbeat)}}
	case Answered:
		t.merge(now, m.Heartbeat)
	case Refused:
		t.refuse(m.Host)
	case SetDigest:
		t.changeSelf(func(r *Record) {
			// A digest collected before a change of the number must not take it back.
			m.Digest.Number = max(r.Digest.Number, m.Digest.Number)
			r.Digest = m.Digest
		})
	case SetNumber:
		t.changeSelf(func(r *Record) { r.Digest.Number = max(r.Digest.Number, m.Number) })
	case Leave:
		t.changeSelf(func(r *Record) { r.Leaving = true })
		return t.spread(true)
	case Spread:
		return t.spread(m.Everyone)
	}
	return nil
}

// View returns all known hosts with their state at the given time.
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
	silence := now.Sub(host.heard)
	patience := time.Duration(1)
	if host.record.DataCentre != t.hosts[t.self].record.DataCentre {
		patience = defaultRemoteSlow
	}
	switch {
	case host.refused || silence > patience*t.removeAfter:
		return spoke.PeerDead
	case host.record.Leaving:
		return spoke.PeerLeaving
	case silence > patience*t.suspectAfter:
		return spoke.PeerSuspect
	}
	return spoke.PeerAlive
}

// address prefers the settings, because a data centre may reach a host by an
// address of its own.
func (t *Table) address(record Record) spoke.Address {
	for _, contact := range t.contact {
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

func (t *Table) refuse(id spoke.HostID) {
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
			t.outlive(beat)
			continue
		}
		record, hasRecord := records[id]
		t.mergeOne(now, id, beat, record, hasRecord)
	}
	if sender, ok := t.hosts[received.From]; ok && received.From != t.self {
		sender.heard = now
		sender.refused = false
	}
}

// outlive raises the own incarnation above what an earlier process of this
// host left with its peers, so that the own record wins again.
func (t *Table) outlive(seen Beat) {
	own := t.hosts[t.self]
	if seen.Incarnation > own.beat.Incarnation {
		own.beat.Incarnation = seen.Incarnation + 1
	}
}

func (t *Table) mergeOne(now time.Time, id spoke.HostID, beat Beat, record Record, hasRecord bool) {
	host, known := t.hosts[id]
	if !known {
		if hasRecord {
			t.hosts[id] = &entry{record: record, beat: beat, heard: now}
		}
		return
	}
	if hasRecord && beat.hasNewerRecordThan(host.beat) {
		host.record = record
		host.beat.Version = beat.Version
	} else if beat.Incarnation > host.beat.Incarnation {
		// Version zero makes the next exchange ask for the record of the new incarnation.
		host.beat.Version = 0
	}
	if beat.isFresherThan(host.beat) {
		host.heard = now
		host.refused = false
		host.beat.Incarnation = beat.Incarnation
		host.beat.Count = beat.Count
	}
}

func (b Beat) isFresherThan(other Beat) bool {
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

// heartbeatFor builds a heartbeat with the records that the other host lacks
// according to the beats that it sent.
func (t *Table) heartbeatFor(other Heartbeat) Heartbeat {
	own := t.heartbeat(other.Remote)
	for id := range own.Beats {
		theirs, known := other.Beats[id]
		host := t.hosts[id]
		if id != t.self && (!known || host.beat.hasNewerRecordThan(theirs)) {
			own.Records = append(own.Records, host.record)
		}
	}
	return own
}

func (t *Table) heartbeat(remote bool) Heartbeat {
	own := t.hosts[t.self]
	beats := make(map[spoke.HostID]Beat, len(t.hosts))
	for id, host := range t.hosts {
		if remote || host.record.DataCentre == own.record.DataCentre {
			beats[id] = host.beat
		}
	}
	return Heartbeat{From: t.self, Beats: beats, Records: []Record{own.record}, Remote: remote}
}

func (t *Table) tick() []Action {
	t.round++
	t.hosts[t.self].beat.Count++
	local := t.localPeers()
	isRemoteRound := t.round%remoteEvery == 0
	beat := t.heartbeat(isRemoteRound)
	actions := t.sendTo(t.sample(local, t.fanOut), beat)
	return append(actions, t.remoteSends(len(local)+1)...)
}

// remoteSends contacts one host of each other data centre, with a probability
// that keeps the contacts of the whole data centre constant as it grows.
func (t *Table) remoteSends(localHosts int) []Action {
	var actions []Action
	for _, hosts := range t.remotePeers() {
		if t.random.IntN(localHosts) < t.fanOut {
			actions = append(actions, t.sendTo(t.sample(hosts, 1), t.heartbeat(true))...)
		}
	}
	return actions
}

func (t *Table) spread(everyone bool) []Action {
	local := t.localPeers()
	count := t.fanOut
	if everyone {
		count = len(local)
	}
	t.hosts[t.self].beat.Count++
	actions := t.sendTo(t.sample(local, count), t.heartbeat(false))
	for _, hosts := range t.remotePeers() {
		actions = append(actions, t.sendTo(t.sample(hosts, 1), t.heartbeat(true))...)
	}
	return actions
}

func (t *Table) sendTo(targets []Record, beat Heartbeat) []Action {
	actions := make([]Action, 0, len(targets))
	for _, target := range targets {
		actions = append(actions, Send{Host: target.ID, Address: target.Address, Heartbeat: beat})
	}
	return actions
}

func (t *Table) localPeers() []Record {
	return t.peersWhere(func(dc spoke.DataCentreID) bool { return dc == t.hosts[t.self].record.DataCentre })
}

func (t *Table) remotePeers() [][]Record {
	own := t.hosts[t.self].record.DataCentre
	grouped := make(map[spoke.DataCentreID][]Record)
	for _, record := range t.peersWhere(func(dc spoke.DataCentreID) bool { return dc != own }) {
		grouped[record.DataCentre] = append(grouped[record.DataCentre], record)
	}
	groups := make([][]Record, 0, len(grouped))
	for _, dc := range slices.Sorted(maps.Keys(grouped)) {
		groups = append(groups, grouped[dc])
	}
	return groups
}

// peersWhere lists the contacts of the settings and all hosts heard of.
func (t *Table) peersWhere(matches func(spoke.DataCentreID) bool) []Record {
	found := make(map[spoke.HostID]Record)
	for id, host := range t.hosts {
		if id != t.self && matches(host.record.DataCentre) {
			found[id] = host.record
		}
	}
	for _, contact := range t.contact {
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
	picked := slices.Clone(records)
	t.random.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
	return picked[:min(count, len(picked))]
}
