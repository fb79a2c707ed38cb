package reach_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/reach"
)

const step = 200 * time.Millisecond

// simulation drives the state of a host whose engines answer each request at once, unless their way is cut or they are dead.
type simulation struct {
	ways *reach.Ways
	now  time.Time
	ids  []spoke.UpstreamID
	cut  map[spoke.UpstreamID]bool
	dead map[spoke.UpstreamID]bool
	idle map[spoke.UpstreamID]bool
	// slow lists the upstreams that accept connections and answer no requests.
	slow   map[spoke.UpstreamID]bool
	heard  map[spoke.UpstreamID]time.Time
	since  map[spoke.UpstreamID]time.Time
	probes int
}

func newSimulation(count int) *simulation {
	s := &simulation{
		ways: reach.NewWays(), now: time.Unix(1000, 0), cut: make(map[spoke.UpstreamID]bool), dead: make(map[spoke.UpstreamID]bool),
		idle: make(map[spoke.UpstreamID]bool), slow: make(map[spoke.UpstreamID]bool), heard: make(map[spoke.UpstreamID]time.Time), since: make(map[spoke.UpstreamID]time.Time),
	}
	for i := range count {
		s.ids = append(s.ids, spoke.UpstreamID(fmt.Sprint("i-", i)))
	}
	s.ways.SetUpstreams(s.ids)
	return s
}

func (s *simulation) answers(id spoke.UpstreamID) bool { return !s.cut[id] && !s.dead[id] }

// run passes time in which each upstream that is not idle gets a request on an open connection in each step.
func (s *simulation) run(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); {
		s.now = s.now.Add(step)
		s.step()
	}
}

func (s *simulation) step() {
	var activities []reach.Activity
	for _, id := range s.ids {
		switch {
		case s.idle[id]:
		case s.answers(id) && !s.slow[id]:
			s.heard[id], s.since[id] = s.now, time.Time{}
		case s.since[id].IsZero():
			s.since[id] = s.now
		}
		activities = append(activities, reach.Activity{Upstream: id, UnansweredSince: s.since[id], HeardAt: s.heard[id]})
	}
	s.probe(s.ways.Observe(s.now, activities))
}

func (s *simulation) probe(ids []spoke.UpstreamID) {
	for _, id := range ids {
		s.probes++
		if s.answers(id) {
			s.ways.Connected(id)
			continue
		}
		s.ways.ProbeFailed(s.now, id)
	}
}

func (s *simulation) cutAll(isCut bool) {
	for _, id := range s.ids {
		s.cut[id] = isCut
	}
}

// Guards against a host that goes on sending calls into connections that hang, each until its deadline.
func TestSilenceOfAllUpstreamsIsACut(t *testing.T) {
	for _, count := range []int{1, 2, 3, 12, 160} {
		s := newSimulation(count)
		s.run(3 * time.Second)
		assert.Equal(t, s.probes, 0)
		s.cutAll(true)
		s.run(time.Second)
		assert.Assert(t, s.ways.IsCutOff(), count)
		assert.Assert(t, s.ways.IsLost(s.ids[0]))

		s.cutAll(false)
		s.run(time.Second)
		assert.Assert(t, !s.ways.IsCutOff(), count)
		assert.Assert(t, !s.ways.IsLost(s.ids[0]))
	}
}

// Guards against failures of several engines that are taken for a cut of this host, which would send all calls on a detour.
func TestDeadUpstreamsAreNoCut(t *testing.T) {
	s := newSimulation(9)
	for _, id := range s.ids[2:] {
		s.idle[id] = true
	}
	s.run(time.Second)
	s.dead[s.ids[0]], s.dead[s.ids[1]] = true, true
	s.run(3 * time.Second)
	assert.Assert(t, !s.ways.IsCutOff())
	assert.Assert(t, s.ways.IsLost(s.ids[0]))
	assert.Assert(t, !s.ways.IsLost(s.ids[5]))
	s.dead = make(map[spoke.UpstreamID]bool)
	s.run(5 * time.Second)
	assert.Assert(t, !s.ways.IsLost(s.ids[0]))
}

// Guards against a host that notices only one lost way after the other, each with a call of its own, when new connections
// are refused and none hangs.
func TestOneBypassedWayShowsTheOthers(t *testing.T) {
	s := newSimulation(9)
	s.run(time.Second)
	s.cutAll(true)
	s.probe(s.ways.Bypassed(s.now, s.ids[3]))
	assert.Assert(t, s.ways.IsCutOff())
}

// Guards against a lost way to the engines of one data centre that is taken for a cut from all, and against calls that
// go on into the connections there.
func TestLostWaysToSomeUpstreams(t *testing.T) {
	s := newSimulation(9)
	s.run(time.Second)
	for _, id := range s.ids[:5] {
		s.cut[id] = true
	}
	s.run(1400 * time.Millisecond)
	assert.Assert(t, !s.ways.IsCutOff())
	for i, id := range s.ids {
		assert.Equal(t, s.ways.IsLost(id), i < 5, id)
	}
}

// Guards against a host that counts its own suspension as silence of its upstreams.
func TestSuspensionIsNoSilence(t *testing.T) {
	s := newSimulation(9)
	s.run(time.Second)
	for _, id := range s.ids {
		s.since[id], s.idle[id] = s.now, true
	}
	s.now = s.now.Add(10 * time.Second)
	s.step()
	assert.Equal(t, s.probes, 0)
	for _, id := range s.ids {
		s.idle[id] = false
	}
	s.run(2 * time.Second)
	assert.Equal(t, s.probes, 0)
}

// Guards against probes that cost more than a few connections a second while a host is cut off or an engine is dead, and
// against any while all engines answer.
func TestProbesAreFew(t *testing.T) {
	s := newSimulation(160)
	s.run(60 * time.Second)
	assert.Equal(t, s.probes, 0)
	s.cutAll(true)
	s.run(12 * time.Second)
	assert.Assert(t, s.probes <= 12*8, "%d probes", s.probes)

	s = newSimulation(160)
	s.dead[s.ids[7]] = true
	s.run(12 * time.Second)
	assert.Assert(t, s.probes <= 6, "%d probes", s.probes)

	// Engines that read a long prompt send no byte for long, but their ways work.
	s = newSimulation(20)
	s.run(time.Second)
	for _, id := range s.ids[1:] {
		s.slow[id] = true
	}
	s.run(12 * time.Second)
	assert.Assert(t, s.probes <= 19*3, "%d probes", s.probes)
	assert.Assert(t, !s.ways.IsLost(s.ids[5]))
}

// Guards against detours that all go through one host, or through hosts that cannot take them.
func TestDetoursAreSpread(t *testing.T) {
	var peers []spoke.ListedPeer
	for i := range 8 {
		peers = append(peers, spoke.ListedPeer{ID: spoke.HostID(fmt.Sprint("h-", i)), Address: spoke.Address(fmt.Sprint("10.0.0.", i, ":7700"))})
	}
	now := time.Unix(1000, 0)
	counts := make(map[spoke.HostID]int)
	for self := range 30 {
		relays := reach.NewRelays(spoke.HostID(fmt.Sprint("cut-", self)))
		relays.SetPeers(peers)
		relays.SetRefuses("h-0", true)
		relays.Failed(now, "h-1")
		for upstream := range 20 {
			chosen := relays.Choose(now, spoke.UpstreamID(fmt.Sprint("i-", upstream)), 2)
			assert.Equal(t, len(chosen), 2)
			assert.Assert(t, chosen[0].ID != chosen[1].ID)
			counts[chosen[0].ID]++
		}
	}
	assert.Equal(t, counts["h-0"]+counts["h-1"], 0)
	for _, peer := range peers[2:] {
		assert.Assert(t, counts[peer.ID] >= 50 && counts[peer.ID] <= 150, "%s: %d of 600", peer.ID, counts[peer.ID])
	}

	relays := reach.NewRelays("cut")
	relays.SetPeers(peers[:2])
	relays.SetRefuses("h-0", true)
	relays.Failed(now, "h-1")
	chosen := relays.Choose(now, "i-1", 2)
	assert.Equal(t, len(chosen), 1)
	assert.Equal(t, chosen[0].ID, spoke.HostID("h-1"))
	assert.Assert(t, !relays.Takes(now, "h-0"))
	assert.Assert(t, !relays.Takes(now, "h-1"))
	assert.Assert(t, slices.ContainsFunc(peers, func(p spoke.ListedPeer) bool { return relays.Takes(now.Add(time.Second), p.ID) }))
}

// Guards against ways that work again and are not checked because many lost ones come before them by id: calls take
// detours then, and the host does not compete for the orders lease.
func TestLostWaysAreCheckedInTurn(t *testing.T) {
	s := newSimulation(600)
	for i, id := range s.ids {
		s.idle[id] = true
		if i%2 == 0 {
			s.cut[id] = true
			s.ways.ProbeFailed(s.now, id)
		}
	}
	s.run(10 * time.Second)
	healed := slices.Max(slices.Collect(maps.Keys(s.cut)))
	s.cut[healed] = false
	s.run(40 * time.Second)
	assert.Assert(t, !s.ways.IsLost(healed))
}
