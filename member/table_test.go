package member_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/member"
)

const (
	round = 500 * time.Millisecond
	// settle covers the removal of hosts of other data centres, 32 s after their
	// last beat, and the rounds that the last beat takes to reach all hosts.
	settle = 60 * time.Second
)

// cluster runs tables against each other with instant messages and cuts.
type cluster struct {
	now    time.Time
	tables map[spoke.HostID]*member.Table
	down   map[spoke.HostID]bool
	cut    map[spoke.HostID]bool
	starts spoke.Incarnation
	ids    []spoke.HostID
	// centres is the number of data centres that the hosts are spread over.
	centres int
}

func newCluster(hosts, centres int) *cluster {
	c := &cluster{
		now:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		tables: make(map[spoke.HostID]*member.Table),
		down:   make(map[spoke.HostID]bool),
		cut:    make(map[spoke.HostID]bool),

		centres: centres,
	}
	for i := range hosts {
		c.ids = append(c.ids, spoke.HostID(fmt.Sprintf("h%d", i)))
	}
	for _, id := range c.ids {
		c.start(id)
	}
	return c
}

func (c *cluster) record(id spoke.HostID) member.Record {
	return member.Record{ID: id, DataCentre: c.centre(id), Address: spoke.Address("10.0.0.1:" + string(id))}
}

func (c *cluster) centre(id spoke.HostID) spoke.DataCentreID {
	return spoke.DataCentreID(fmt.Sprintf("dc%d", slices.Index(c.ids, id)%c.centres))
}

func (c *cluster) start(id spoke.HostID) {
	c.starts++
	c.down[id] = false
	contacts := []member.Record{c.record(c.ids[0]), c.record(c.ids[1]), c.record(c.ids[2])}
	c.tables[id] = member.New(c.record(id), c.starts, contacts, uint64(c.starts))
}

func (c *cluster) run(span time.Duration) {
	for end := c.now.Add(span); c.now.Before(end); c.now = c.now.Add(round) {
		for _, id := range c.ids {
			c.handle(id, member.Tick{})
		}
	}
}

func (c *cluster) handle(id spoke.HostID, message member.Message) {
	if c.down[id] {
		return
	}
	for _, action := range c.tables[id].Handle(c.now, message) {
		send, ok := action.(member.Send)
		if !ok {
			continue
		}
		c.exchange(id, send)
	}
}

func (c *cluster) exchange(from spoke.HostID, send member.Send) {
	switch {
	case c.down[send.Host]:
		c.tables[from].Handle(c.now, member.ConnectionRefused{Host: send.Host})
	case c.cut[from] != c.cut[send.Host]:
	default:
		reply := c.tables[send.Host].Handle(c.now, member.Received{Heartbeat: send.Heartbeat})[0].(member.Reply)
		c.tables[from].Handle(c.now, member.Answered(reply))
	}
}

// Guards against a view that keeps dead or cut-off hosts, or loses live ones,
// for longer than the removal timeout.
func TestViewsConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(3, 12).Draw(t, "hosts"), rapid.IntRange(1, 3).Draw(t, "centres"))
		c.run(3 * time.Second)
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			id := rapid.SampledFrom(c.ids).Draw(t, "host")
			switch rapid.IntRange(0, 3).Draw(t, "fault") {
			case 0:
				c.down[id] = true
			case 1:
				c.start(id)
			case 2:
				c.cut[id] = !c.cut[id]
			case 3:
				digest := spoke.Digest{
					Number: spoke.TicketNumber(c.starts),
					Loads:  map[spoke.UpstreamID]spoke.LoadSummary{"u": {Running: rapid.IntRange(0, 9).Draw(t, "running")}},
				}
				c.handle(id, member.SetDigest{Digest: digest})
			}
			c.run(time.Duration(rapid.IntRange(0, 10).Draw(t, "rounds")) * round)
		}
		clear(c.cut)
		c.run(settle)
		c.checkViews(t)
	})
}

func (c *cluster) checkViews(t *rapid.T) {
	for _, viewer := range c.ids {
		// A contact that is down leaves a host without one: it cannot join.
		if c.down[viewer] || c.down[c.ids[0]] || c.down[c.ids[1]] || c.down[c.ids[2]] {
			continue
		}
		view := c.tables[viewer].View(c.now)
		for _, id := range c.ids {
			isAlive := view[id].State == spoke.PeerAlive
			if isAlive == c.down[id] {
				t.Fatalf("host %s sees %s as %q, down is %t", viewer, id, view[id].State, c.down[id])
			}
			if !isAlive {
				continue
			}
			own := c.tables[id].View(c.now)[id].Digest
			assert.Equal(t, view[id].Digest.Number, own.Number)
			if c.centre(id) == c.centre(viewer) {
				assert.DeepEqual(t, view[id].Digest, own)
			}
		}
	}
}

// Guards against ownership that stays with a host whose address refuses connections.
func TestRefusedHostOwnsNothingUntilItsNextHeartbeat(t *testing.T) {
	c := newCluster(3, 1)
	c.run(2 * time.Second)
	c.handle("h0", member.ConnectionRefused{Host: "h2"})
	assert.Equal(t, c.tables["h0"].View(c.now)["h2"].CanOwn(), false)
	c.run(2 * time.Second)
	assert.Equal(t, c.tables["h0"].View(c.now)["h2"].CanOwn(), true)
}

// Guards against a leaving host that others still count as an owner.
func TestLeaveReachesEveryHostAtOnce(t *testing.T) {
	c := newCluster(7, 1)
	c.run(3 * time.Second)
	c.handle("h3", member.Leave{})
	for _, id := range c.ids {
		assert.Equal(t, c.tables[id].View(c.now)["h3"].State, spoke.PeerLeaving)
	}
}

// Guards against tables that grow with every replaced host, and against a late
// heartbeat that brings a forgotten host back.
func TestReplacedHostsAreForgotten(t *testing.T) {
	c := newCluster(5, 1)
	c.run(3 * time.Second)
	c.down["h4"] = true
	c.run(9 * time.Minute)
	assert.Equal(t, c.tables["h0"].View(c.now)["h4"].State, spoke.PeerDead)
	c.run(2 * time.Minute)
	for _, id := range c.ids[:4] {
		view := c.tables[id].View(c.now)
		_, isKnown := view["h4"]
		assert.Assert(t, !isKnown, "host %s still knows h4", id)
		assert.Equal(t, len(view), 4)
	}
}
