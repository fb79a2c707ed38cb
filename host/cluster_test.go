package host_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/config"
	"magnoliaspoke.example/spoke/fake/kvsvc"
	"magnoliaspoke.example/spoke/host"
)

const (
	apiKey = "key of the workspace"
	// settleTime is longer than the removal of a host and the heartbeats that propagate it.
	settleTime = 10 * time.Second
)

type (
	// cluster is a platform and a set of hosts of one data centre in virtual time.
	cluster struct {
		*network
		t        *testing.T
		platform *kvsvc.Service
		engines  *clusterEngines
		hosts    map[spoke.HostID]host.TestHost
		tasks    sync.WaitGroup
		number   spoke.TicketNumber
	}

	// clusterEngines is a fake of all engines of a cluster.
	clusterEngines struct {
		scriptedEngine
		mu       sync.Mutex
		draining map[spoke.Address]bool
		polls    map[spoke.Address]int
	}
)

func (e *clusterEngines) Load(_ context.Context, at spoke.Address) (spoke.LoadReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.polls[at]++
	return spoke.LoadReport{Draining: e.draining[at], Versions: map[spoke.ModelName]spoke.ModelVersion{"m": "v1"}}, nil
}

func (e *clusterEngines) CacheEvents(context.Context, spoke.Address, spoke.Sequence) (spoke.CacheEventBatch, error) {
	return spoke.CacheEventBatch{}, nil
}

func (e *clusterEngines) CacheSnapshot(context.Context, spoke.Address) (spoke.CacheSnapshot, error) {
	return spoke.CacheSnapshot{}, nil
}

func (e *clusterEngines) drain(at spoke.Address) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining[at] = true
}

// withCluster runs a test with hosts h1 to hN and a configuration of six upstreams u0 to u5.
func withCluster(t *testing.T, count int, test func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			t: t, network: &network{handlers: make(map[string]http.Handler)}, platform: kvsvc.New(),
			engines: &clusterEngines{
				scriptedEngine: scriptedEngine{run: fullAnswer(3)},
				draining:       make(map[spoke.Address]bool), polls: make(map[spoke.Address]int),
			},
			hosts: make(map[spoke.HostID]host.TestHost),
		}
		c.setHandler("platform", c.platform)
		defer c.tasks.Wait()
		defer func() {
			for _, h := range c.hosts {
				h.Stop()
			}
		}()
		for i := range count {
			c.start(spoke.HostID(fmt.Sprintf("h%d", i+1)))
		}
		objects := []spoke.Object{
			spoke.Service{Name: "quotes", Kind: spoke.ServiceLanguage, DefaultRank: "urgent"},
			spoke.Rank{Name: "urgent", FirstTokenTarget: time.Second, Floor: 0.1, Worth: 1},
			spoke.Model{Name: "m", Service: "quotes", Version: "v1"},
			spoke.Workspace{ID: "w", Weight: 1, KeyHashes: []spoke.KeyHash{config.HashKey(apiKey)}, Services: []spoke.ServiceName{"quotes"}},
		}
		for i := range 6 {
			objects = append(objects, newUpstream(i, spoke.UpstreamServing))
		}
		sleep(settleTime)
		c.submit("h1", objects...)
		sleep(settleTime)
		test(t, c)
	})
}

func newUpstream(i int, state spoke.UpstreamState) spoke.Upstream {
	return spoke.Upstream{
		ID: spoke.UpstreamID(fmt.Sprintf("u%d", i)), Service: "quotes", DataCentre: "dc1",
		Address: spoke.Address(fmt.Sprintf("10.0.1.%d:80", i+1)), State: state,
	}
}

func addressOf(id spoke.HostID) spoke.Address {
	return spoke.Address("10.0.0." + strings.TrimPrefix(string(id), "h") + ":80")
}

// start starts a host, or restarts one that was killed.
func (c *cluster) start(id spoke.HostID) {
	settings := config.Defaults()
	settings.Host, settings.DataCentre, settings.Internal = id, "dc1", addressOf(id)
	settings.Platform, settings.PeerSecret = "platform", "a secret of enough bytes"
	settings.Peers = []config.Peer{{Host: "h1", DataCentre: "dc1", Address: addressOf("h1")}, {Host: "h2", DataCentre: "dc1", Address: addressOf("h2")}}
	started := host.NewTestHost(settings, c.network, c.engines)
	c.hosts[id] = started
	c.setHandler(string(addressOf(id)), started.Internal())
	c.tasks.Go(started.Run)
}

// kill stops a host without a drain, as a crash does.
func (c *cluster) kill(id spoke.HostID) {
	c.setHandler(string(addressOf(id)), nil)
	c.hosts[id].Stop()
	delete(c.hosts, id)
}

func (c *cluster) submit(id spoke.HostID, objects ...spoke.Object) {
	c.t.Helper()
	c.number++
	ticket := spoke.Ticket{Number: c.number, Author: "operator", Objects: objects}
	assert.NilError(c.t, c.hosts[id].Administration().Submit(context.Background(), ticket))
}

// assertOwnershipAgreed checks that all hosts see the same owners, that each owner polls exactly
// its upstreams, and that every engine is polled by one host only.
func (c *cluster) assertOwnershipAgreed() {
	c.t.Helper()
	owners := make(map[spoke.UpstreamID]spoke.HostID)
	polledBy := make(map[spoke.UpstreamID]spoke.HostID)
	for _, id := range slices.Sorted(maps.Keys(c.hosts)) {
		for _, view := range c.hosts[id].Views("quotes") {
			previous, ok := owners[view.Upstream.ID]
			assert.Assert(c.t, view.Owner != "" && (!ok || previous == view.Owner), "%s: %s or %s owns %s", id, previous, view.Owner, view.Upstream.ID)
			owners[view.Upstream.ID] = view.Owner
		}
		for _, owned := range c.hosts[id].Owned() {
			assert.Equal(c.t, polledBy[owned], spoke.HostID(""), "%s and another host poll %s", id, owned)
			polledBy[owned] = id
		}
	}
	assert.Equal(c.t, len(owners), 6)
	assert.DeepEqual(c.t, polledBy, owners)
	c.engines.mu.Lock()
	clear(c.engines.polls)
	c.engines.mu.Unlock()
	sleep(time.Second)
	c.engines.mu.Lock()
	defer c.engines.mu.Unlock()
	for at, polls := range c.engines.polls {
		// The swap task of a watcher may read one more report in the same second.
		assert.Assert(c.t, polls >= 3 && polls <= 6, "%s was polled %d times", at, polls)
	}
}

func (c *cluster) assertLeaving(want spoke.UpstreamID) {
	c.t.Helper()
	for id, h := range c.hosts {
		for _, view := range h.Views("quotes") {
			isLeaving := view.Load.Draining || view.Upstream.State == spoke.UpstreamLeaving
			assert.Equal(c.t, isLeaving, view.Upstream.ID == want, "%s of %s at %s", view.Upstream.ID, view.Owner, id)
		}
	}
}

// Guards against hosts that disagree on an owner, and against pollers that keep running at a
// former owner, when hosts join, leave, crash and restart.
func TestOwnershipFollowsMembership(t *testing.T) {
	withCluster(t, 3, func(_ *testing.T, c *cluster) {
		c.assertOwnershipAgreed()
		c.start("h4")
		sleep(settleTime)
		c.assertOwnershipAgreed()
		c.hosts["h2"].AnnounceDrain(context.Background())
		sleep(settleTime)
		assert.Equal(c.t, len(c.hosts["h2"].Owned()), 0, "a leaving host owns nothing")
		c.assertOwnershipAgreed()
		c.kill("h2")
		c.kill("h1")
		sleep(settleTime)
		c.assertOwnershipAgreed()
		c.start("h1")
		c.start("h2")
		sleep(settleTime)
		c.assertOwnershipAgreed()
	})
}

// Guards against new work for a leaving upstream more than 3 s after its ticket, its drain
// report or its entry in the platform's list: by then all hosts must see that it is leaving.
func TestLeavingUpstreamIsMarkedOnAllHosts(t *testing.T) {
	for name, leave := range map[string]func(*cluster){
		"ticket": func(c *cluster) { c.submit("h2", newUpstream(3, spoke.UpstreamLeaving)) },
		"report": func(c *cluster) { c.engines.drain("10.0.1.4:80") },
		"report in an outage": func(c *cluster) {
			c.platform.SetFaults(kvsvc.Faults{Outage: kvsvc.OutageHold})
			sleep(time.Minute)
			c.engines.drain("10.0.1.4:80")
		},
		"list": func(c *cluster) { c.setHostList(`{"hosts":[{"name":"u3","address":"10.0.1.4:80","state":"leaving"}]}`) },
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 3, func(_ *testing.T, c *cluster) {
				leave(c)
				sleep(3 * time.Second)
				c.assertLeaving("u3")
			})
		})
	}
}

// Guards against an upstream that the platform lists as leaving and that returns to service
// during an outage of the platform.
func TestListedLeavingStateSurvivesPlatformOutage(t *testing.T) {
	withCluster(t, 3, func(_ *testing.T, c *cluster) {
		c.setHostList(`{"hosts":[{"name":"u3","address":"10.0.1.4:80","state":"leaving"}]}`)
		sleep(3 * time.Second)
		c.platform.SetFaults(kvsvc.Faults{Outage: kvsvc.OutageRefuse})
		sleep(time.Minute)
		c.assertLeaving("u3")
	})
}

// Guards against a configuration that only the watchers have during an outage of the platform,
// and against a host that starts in the outage and stays without a configuration.
func TestConfigurationReachesAllHostsDuringOutage(t *testing.T) {
	withCluster(t, 4, func(t *testing.T, c *cluster) {
		c.submit("h3", newUpstream(3, spoke.UpstreamLeaving))
		c.platform.SetFaults(kvsvc.Faults{Outage: kvsvc.OutageHold})
		c.start("h5")
		assert.Assert(t, !c.hosts["h5"].IsReady())
		sleep(3 * time.Second)
		c.assertLeaving("u3")
		assert.Assert(t, c.hosts["h5"].IsReady())
	})
}

// Guards against digests without the loads, versions and ticket numbers that peers use for routing.
func TestDigestReachesPeers(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, c *cluster) {
		for id, peer := range c.hosts["h1"].Members().Peers {
			assert.Equal(t, peer.Digest.Number, c.number)
			assert.Equal(t, len(peer.Digest.Loads), len(c.hosts[id].Owned()))
			for upstream, load := range peer.Digest.Loads {
				assert.Equal(t, load.Versions["m"], spoke.ModelVersion("v1"), string(upstream))
				assert.Assert(t, load.Limit > 0 && !load.Dead && !load.Draining)
			}
		}
	})
}

// setHostList sets the platform's list of hosts.
func (c *cluster) setHostList(body string) {
	c.t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://platform/hosts", strings.NewReader(body))
	assert.NilError(c.t, err)
	resp, err := c.RoundTrip(req)
	assert.NilError(c.t, err)
	defer resp.Body.Close()
	assert.Equal(c.t, resp.StatusCode, http.StatusOK)
}
