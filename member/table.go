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
	// Table is the membership state of one host; it is pure and single-threaded.
	Table struct {
		self    spoke.HostID
		hosts   map[spoke.HostID]*entry
		contact []Record
		random  *rand.Rand
		round   uint64
		// now is the time of the message in hand.
		now time.Time

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
	table.hosts[self.ID] = &entry{record: self, beat: Beat{Incarnation: incarnation, Count: 1, Version: 1, LoadsVersion: 1}}
	for _, opt := range opts {
		opt.apply(table)
	}
	return table
}

// Handle takes one message and returns the actions that follow from it.
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
		t.refuse(m.Host)
	case SetDigest:
		t.setDigest(m.Digest)
	case SetNumber:
		t.changeSelf(func(r *Record) { r.Digest.Number = max(r.Digest.Number, m.Number) })
	case AddMark:
		t.changeSelf(func(r *Record) { r.Digest.Marks = append(slices.Clone(r.Digest.Marks), m.Mark) })
		return t.tellAll()
	case Leave:
		t.changeSelf(func(r *Record) { r.Leaving = true })
		return t.spread()
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
	if !t.isLocal(host.record) {
		patience = remotePatience
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

// setDigest counts changes of the loads apart from all others, because only
// the own data centre follows the loads.
func (t *Table) setDigest(digest spoke.Digest) {
	own := t.hosts[t.self]
	// A digest collected before a change of the number must not take it back.
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
		if !hasRecord {
			return
		}
		host = &entry{}
		t.hosts[id] = host
	}
	if beat.Incarnation > host.beat.Incarnation {
		// Version and loads zero make the next exchange ask for what does not come with this one.
		host.beat.Version, host.beat.LoadsVersion = 0, 0
	}
	hasNewerLoads := beat.hasNewerLoadsThan(host.beat) && !host.beat.hasNewerRecordThan(beat)
	if hasRecord && (beat.hasNewerRecordThan(host.beat) || hasNewerLoads) {
		host.take(record, beat)
	}
	if beat.isFresherThan(host.beat) {
		host.heard = now
		host.refused = false
		host.beat.Incarnation = beat.Incarnation
		host.beat.Count = beat.Count
	}
}

// take replaces the record; the last loads known stay if it comes without any.
func (e *entry) take(record Record, beat Beat) {
	if record.Partial {
		record.Digest.Loads = e.record.Digest.Loads
		record.Partial = false
	} else {
		e.beat.LoadsVersion = beat.LoadsVersion
	}
	e.record = record
	e.beat.Version = beat.Version
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

func (b Beat) hasNewerLoadsThan(other Beat) bool {
	if b.Incarnation != other.Incarnation {
		return b.Incarnation > other.Incarnation
	}
	return b.LoadsVersion > other.LoadsVersion
}

// heartbeatFor builds a heartbeat with the records that the other host lacks
// according to the beats that it sent.
func (t *Table) heartbeatFor(other Heartbeat) Heartbeat {
	own := t.heartbeat(other.Remote)
	for id := range own.Beats {
		if id == t.self {
			continue
		}
		theirs, known := other.Beats[id]
		host := t.hosts[id]
		isLocal := t.isLocal(host.record)
		switch {
		case isLocal && (!known || host.beat.hasNewerRecordThan(theirs) || host.beat.hasNewerLoadsThan(theirs)):
			own.Records = append(own.Records, host.record)
		case !isLocal && (!known || host.beat.hasNewerRecordThan(theirs)):
			own.Records = append(own.Records, host.record.withoutLoads())
		}
	}
	return own
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
		if t.isPassedOn(t.now, host, remote) {
			beats[id] = host.beat
		}
	}
	return Heartbeat{From: t.self, Beats: beats, Records: []Record{own.record}, Remote: remote}
}

func (t *Table) tick() []Action {
	t.round++
	t.hosts[t.self].beat.Count++
	targets := t.sample(t.localPeers(), t.fanOut)
	if len(targets) == 0 || t.round%remoteEvery != 0 {
		return append(t.sendTo(targets, t.heartbeat(false)), t.remoteSends()...)
	}
	actions := t.sendTo(targets[:1], t.heartbeat(true))
	actions = append(actions, t.sendTo(targets[1:], t.heartbeat(false))...)
	return append(actions, t.remoteSends()...)
}

// remoteSends contacts one host of each other data centre, with a probability
// that keeps the contacts of the whole data centre constant as it grows.
func (t *Table) remoteSends() []Action {
	var actions []Action
	localHosts := len(t.localPeers()) + 1
	for _, hosts := range t.remotePeers() {
		if t.random.IntN(localHosts) < remoteContacts {
			actions = append(actions, t.sendTo(t.sample(hosts, 1), t.heartbeat(true))...)
		}
	}
	return actions
}

// spread contacts every host of the data centre and one of each other one.
func (t *Table) spread() []Action {
	t.hosts[t.self].beat.Count++
	actions := t.sendTo(t.localPeers(), t.heartbeat(false))
	for _, hosts := range t.remotePeers() {
		actions = append(actions, t.sendTo(t.sample(hosts, 1), t.heartbeat(true))...)
	}
	return actions
}

// tellAll sends a heartbeat to every known host, for rare news that must be known everywhere
// before a caller can act on its answer.
func (t *Table) tellAll() []Action {
	t.hosts[t.self].beat.Count++
	actions := t.sendTo(t.localPeers(), t.heartbeat(false))
	for _, hosts := range t.remotePeers() {
		actions = append(actions, t.sendTo(hosts, t.heartbeat(true))...)
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
