package ticket_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/ticket"
)

// network is the state machine: hosts of three data centres exchange manifests and heartbeats
// over links that can be cut, while the platform accepts tickets.
type network struct {
	now    time.Time
	hosts  []*node
	heads  []*spoke.Manifest
	cut    map[[2]spoke.DataCentreID]bool
	online map[spoke.DataCentreID]bool
	queue  []func()
	bytes  int
}

type node struct {
	id         spoke.HostID
	dataCentre spoke.DataCentreID
	spread     *ticket.Replicator
	view       *ticket.View
	seen       map[spoke.HostID]spoke.TicketNumber
}

func newNetwork() *network {
	n := &network{cut: make(map[[2]spoke.DataCentreID]bool), online: make(map[spoke.DataCentreID]bool)}
	for i := range 9 {
		dataCentre := spoke.DataCentreID(fmt.Sprint("dc", i/3))
		id := spoke.HostID(fmt.Sprint("h", i))
		n.hosts = append(n.hosts, &node{
			id: id, dataCentre: dataCentre, spread: ticket.NewReplicator(id, dataCentre),
			view: ticket.NewView(), seen: make(map[spoke.HostID]spoke.TicketNumber),
		})
		n.online[dataCentre] = true
	}
	n.heads = []*spoke.Manifest{{}, (*spoke.Manifest)(nil).Apply(baseTicket())}
	return n
}

func (n *network) head() *spoke.Manifest { return n.heads[len(n.heads)-1] }

func (n *network) linked(a, b *node) bool {
	return !n.cut[[2]spoke.DataCentreID{a.dataCentre, b.dataCentre}] && !n.cut[[2]spoke.DataCentreID{b.dataCentre, a.dataCentre}]
}

func (n *network) find(id spoke.HostID) *node {
	for _, host := range n.hosts {
		if host.id == id {
			return host
		}
	}
	return nil
}

// perform carries out actions; a message over a cut link is lost.
func (n *network) perform(from *node, actions []ticket.SpreadAction) {
	for _, action := range actions {
		switch a := action.(type) {
		case ticket.Install:
			before := from.view.Number()
			if !from.view.Offer(a.Manifest) {
				panic(fmt.Sprintf("install of %d over %d", a.Manifest.Number, before))
			}
		case ticket.PushUpdate:
			n.send(from, n.find(a.To.ID), a.Update)
		case ticket.FetchUpdate:
			to := n.find(a.From.ID)
			n.queue = append(n.queue, func() {
				if update, ok := to.spread.UpdateSince(a.After); ok && n.linked(from, to) {
					n.send(to, from, update)
				} else if !n.linked(from, to) {
					n.perform(from, from.spread.Handle(n.now, ticket.FetchFailed{From: to.id}))
				}
			})
		}
	}
}

func (n *network) send(from, to *node, update ticket.Update) {
	content, err := ticket.EncodeUpdate(update)
	if err != nil {
		panic(err)
	}
	n.bytes += len(content)
	n.queue = append(n.queue, func() {
		decoded, err := ticket.DecodeUpdate(content)
		if err == nil && n.linked(from, to) {
			n.perform(to, to.spread.Handle(n.now, ticket.UpdateReceived{From: from.id, Update: decoded}))
		}
	})
}

// heartbeat tells one host the numbers of all others that it can reach.
func (n *network) heartbeat(host *node) {
	members := spoke.Membership{Self: host.id, Peers: make(map[spoke.HostID]spoke.Peer)}
	for _, other := range n.hosts {
		if n.linked(host, other) {
			host.seen[other.id] = other.view.Number()
		}
		members.Peers[other.id] = spoke.Peer{
			ID: other.id, DataCentre: other.dataCentre, State: spoke.PeerAlive,
			Digest: spoke.Digest{Number: host.seen[other.id]},
		}
	}
	n.perform(host, host.spread.Handle(n.now, ticket.MembershipUpdated{Membership: members}))
}

func (n *network) accept(t *rapid.T) {
	next := spoke.Ticket{Number: n.head().Number + spoke.TicketNumber(rapid.IntRange(1, 3).Draw(t, "step")), Author: "op"}
	key := spoke.ObjectKey{Kind: spoke.KindWorkspace, Name: rapid.SampledFrom([]string{"w1", "w2"}).Draw(t, "id")}
	if _, exists := n.head().Entries[key]; exists && rapid.Bool().Draw(t, "remove") {
		next.Removed = []spoke.ObjectKey{key}
	} else {
		next = workspaceTicket(next.Number, "op", key.Name, float64(next.Number))
	}
	n.heads = append(n.heads, n.head().Apply(next))
}

// read lets a watcher read the platform, at times an older manifest.
func (n *network) read(t *rapid.T) {
	host := rapid.SampledFrom(n.hosts).Draw(t, "watcher")
	m := rapid.SampledFrom(n.heads).Draw(t, "manifest")
	if n.online[host.dataCentre] {
		n.perform(host, host.spread.Handle(n.now, ticket.ManifestRead{Manifest: m}))
	}
}

func (n *network) links(t *rapid.T) {
	names := []spoke.DataCentreID{"dc0", "dc1", "dc2"}
	pair := [2]spoke.DataCentreID{rapid.SampledFrom(names).Draw(t, "a"), rapid.SampledFrom(names).Draw(t, "b")}
	n.cut[pair] = rapid.Bool().Draw(t, "cut") && pair[0] != pair[1]
	n.online[pair[0]] = rapid.Bool().Draw(t, "online")
}

func (n *network) step(t *rapid.T) {
	n.now = n.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
	for range rapid.IntRange(0, 5).Draw(t, "messages") {
		if len(n.queue) > 0 {
			at := rapid.IntRange(0, len(n.queue)-1).Draw(t, "at")
			deliver := n.queue[at]
			n.queue = append(n.queue[:at:at], n.queue[at+1:]...)
			deliver()
		}
	}
	n.heartbeat(rapid.SampledFrom(n.hosts).Draw(t, "host"))
}

func (n *network) drain() {
	for len(n.queue) > 0 {
		deliver := n.queue[0]
		n.queue = n.queue[1:]
		deliver()
	}
}

// verify heals the links but leaves one data centre without the platform.
func (n *network) verify(t *rapid.T) {
	n.cut = make(map[[2]spoke.DataCentreID]bool)
	n.drain()
	watcher := n.hosts[0]
	n.perform(watcher, watcher.spread.Handle(n.now, ticket.ManifestRead{Manifest: n.head()}))
	for range 4 {
		n.now = n.now.Add(500 * time.Millisecond)
		for _, host := range n.hosts {
			n.heartbeat(host)
		}
		n.drain()
	}
	for _, host := range n.hosts {
		assert.DeepEqual(t, host.view.Current(), n.head())
	}
}

// Guards against a host that goes back, installs a manifest that never was, or stays behind
// after messages were lost or came in another order.
func TestSpreadReachesAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork()
		t.Repeat(map[string]func(*rapid.T){
			"accept": n.accept, "read": n.read, "links": n.links, "step": n.step,
			"": func(t *rapid.T) {
				for _, host := range n.hosts {
					if m := host.view.Current(); m != nil {
						assert.Assert(t, number(n, m), "manifest %d never was", m.Number)
					}
				}
			},
		})
		n.verify(t)
	})
}

func number(n *network, m *spoke.Manifest) bool {
	for _, head := range n.heads {
		if head.Number == m.Number {
			return fmt.Sprint(head.Entries) == fmt.Sprint(m.Entries)
		}
	}
	return false
}

// Guards against a push of the whole manifest for each ticket, and against more than one round
// of messages to reach every host when nothing fails.
func TestPushIsSmallAndDirect(t *testing.T) {
	n := newNetwork()
	first := (*spoke.Manifest)(nil).Apply(fullTicket())
	second := first.Apply(workspaceTicket(8, "op", "w1", 5))
	n.heads = append(n.heads, first, second)
	rounds := func(m *spoke.Manifest) {
		n.bytes = 0
		n.perform(n.hosts[0], n.hosts[0].spread.Handle(n.now, ticket.ManifestRead{Manifest: m}))
		n.drain()
		for _, host := range n.hosts {
			assert.Equal(t, host.view.Number(), m.Number)
		}
		for _, host := range n.hosts {
			n.heartbeat(host)
		}
	}
	for _, host := range n.hosts {
		n.heartbeat(host)
	}
	rounds(first)
	whole := n.bytes
	rounds(second)
	assert.Assert(t, n.bytes*3 < whole, "%d bytes for a change, %d for all", n.bytes, whole)
}
