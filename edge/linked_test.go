package edge_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	fake "magnoliaspoke.example/spoke/fake/platform"
	"magnoliaspoke.example/spoke/relay"
)

const spareEngines = 2

type (
	// peerPath is the way from the hosts of a data centre to a host: a relay of connections, and datagrams.
	peerPath struct {
		*relay.Relay
		from  spoke.DataCentreID
		to    spoke.ListedPeer
		isCut atomic.Bool
	}

	// linkNetwork holds the ways between the hosts of a test.
	linkNetwork struct {
		*deployment
		mu    sync.Mutex
		paths map[string]*peerPath
	}

	// linkedHost is a host that reaches the store and other hosts through links that can be cut.
	linkedHost struct {
		*deployment
		network   *linkNetwork
		storeLink *relay.Relay
	}

	// linkedPeers shows a host the ways to others in place of their addresses.
	linkedPeers struct {
		spoke.Directory
		network *linkNetwork
		from    spoke.DataCentreID
	}
)

// Read returns the directory.
func (d *linkedPeers) Read(ctx context.Context) (spoke.DirectoryChange, error) {
	change, err := d.Directory.Read(ctx)
	return d.link(change), err
}

// Watch returns changes of the directory.
func (d *linkedPeers) Watch(ctx context.Context, after spoke.Revision, wait time.Duration, end <-chan struct{}) (spoke.DirectoryChange, error) {
	change, err := d.Directory.Watch(ctx, after, wait, end)
	return d.link(change), err
}

// Decode decodes a change that another host has received.
func (d *linkedPeers) Decode(raw []byte) (spoke.DirectoryChange, error) {
	change, err := d.Directory.Decode(raw)
	return d.link(change), err
}

func (d *linkedPeers) link(change spoke.DirectoryChange) spoke.DirectoryChange {
	for i, peer := range change.Peers {
		change.Peers[i].Address = d.network.path(d.from, peer).Address()
	}
	return change
}

// path returns the way from a data centre to a host.
func (n *linkNetwork) path(from spoke.DataCentreID, to spoke.ListedPeer) *peerPath {
	n.mu.Lock()
	defer n.mu.Unlock()
	name := fmt.Sprintf("%s to %s", from, to.Address)
	if n.paths[name] == nil {
		connections, err := relay.New("127.0.0.1:0", to.Address)
		assert.Check(n.t, err)
		path := &peerPath{Relay: connections, from: from, to: to}
		n.closeAfterHosts(func() { _ = path.Close() })
		path.forwardDatagrams(n)
		n.paths[name] = path
	}
	return n.paths[name]
}

// cut ends the ways that match.
func (n *linkNetwork) cut(matches func(*peerPath) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, path := range n.paths {
		if matches(path) {
			path.isCut.Store(true)
			path.Cut()
		}
	}
}

func (p *peerPath) forwardDatagrams(network *linkNetwork) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(string(p.Address()))))
	assert.Check(network.t, err)
	network.closeAfterHosts(func() { _ = socket.Close() })
	target := netip.MustParseAddrPort(string(p.to.Address))
	go func() {
		buffer := make([]byte, maxDatagram)
		for {
			size, _, err := socket.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			if !p.isCut.Load() {
				_, _ = socket.WriteToUDPAddrPort(buffer[:size], target)
			}
		}
	}()
}

// startLinked starts hosts in the data centres a, b and c in turn, with engines of one software version whose streams
// are slow enough to be broken off, and spareEngines that are not listed. It waits until each host lists all others. The
// directory lists the given hosts before they start, as after their deaths.
func startLinked(t *testing.T, hostCount, engineCount int, earlier ...spoke.HostID) []linkedHost {
	t.Helper()
	return startLinkedAfter(t, hostCount, engineCount, map[string]any{"data-centre": "a"}, earlier...)
}

// startLinkedAfter does the same with entries of the earlier hosts that have the given fields.
func startLinkedAfter(t *testing.T, hostCount, engineCount int, entry map[string]any, earlier ...spoke.HostID) []linkedHost {
	t.Helper()
	first := newDeployment(t)
	network := &linkNetwork{deployment: first, paths: make(map[string]*peerPath)}
	first.store.Put("op/config", table(1, callerKey))
	for _, id := range earlier {
		entry["address"] = string(freeAddress(t))
		first.store.Put("spoke/hosts/"+string(id), entry)
	}
	for i := range engineCount + spareEngines {
		engine := fake.NewEngine(fmt.Sprintf("i-%d", i), 4)
		engine.SetEventInterval(20 * time.Millisecond)
		first.closeAfterHosts(engine.Close)
		first.engines = append(first.engines, engine)
		if i < engineCount {
			first.putEntry(engine, "ready")
		}
	}
	first.settings = usualSettings(t, first.store)
	var hosts []linkedHost
	for i := range hostCount {
		host := linkedHost{deployment: first.beside(spoke.HostID(fmt.Sprint("host-", i+1))), network: network}
		host.settings.DataCentre = []spoke.DataCentreID{"a", "b", "c"}[i%3]
		storeLink, err := relay.New("127.0.0.1:0", host.settings.Store)
		assert.NilError(t, err)
		first.closeAfterHosts(func() { _ = storeLink.Close() })
		host.storeLink, host.settings.Store = storeLink, storeLink.Address()
		host.directory = func(d spoke.Directory) spoke.Directory { return &linkedPeers{d, network, host.settings.DataCentre} }
		host.runHost()
		hosts = append(hosts, host)
	}
	for _, host := range hosts {
		awaitTrue(t, "host does not list the others", func() bool { return host.hasLogged(fmt.Sprintf(`"peers":%d`, hostCount-1)) })
	}
	return hosts
}

// cut ends the ways from all others to a host, as when its process has ended without notice.
func (h linkedHost) cut() {
	h.network.cut(func(p *peerPath) bool { return p.to.ID == h.settings.Host })
}

// cutOff ends the ways of a host to the store and between its data centre and others.
func (h linkedHost) cutOff() {
	h.storeLink.Cut()
	own := h.settings.DataCentre
	h.network.cut(func(p *peerPath) bool { return (p.from == own) != (p.to.DataCentre == own) })
}

// originMessages returns how many messages about the software versions of streams a host has sent to others.
func (h linkedHost) originMessages() int {
	h.t.Helper()
	var counts struct {
		Datagrams int `json:"origin-datagrams"`
		Requests  int `json:"origin-requests"`
	}
	assert.NilError(h.t, json.Unmarshal([]byte(h.metricsPage()), &counts))
	return counts.Datagrams + counts.Requests
}

// listSpares lists the spare engines with a software version.
func (h linkedHost) listSpares(software string) {
	for _, engine := range h.engines[len(h.engines)-spareEngines:] {
		h.setEntry(engine, software)
	}
}

// setEntry gives an engine, which starts anew under its id, a software version and writes its entry.
func (h linkedHost) setEntry(engine *fake.Engine, software string) {
	engine.SetSoftware(software)
	engine.Restart(1)
	h.putEntry(engine, "ready")
}
