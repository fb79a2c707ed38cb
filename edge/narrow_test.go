package edge_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/config"
	"magnoliaspoke.example/spoke/peers"
	"magnoliaspoke.example/spoke/relay"
)

const (
	// narrowLink is the rate of a link of 10 Mbit/s.
	narrowLink spoke.ByteRate = 10e6 / 8
	// maxDatagram bounds a datagram, in bytes.
	maxDatagram = 64 << 10
	// slowAnswer is longer than a host lets a call to the store wait once others report later revisions.
	slowAnswer = 400 * time.Millisecond
)

type (
	// linkedDirectory announces its host at the address at which the host's link is reached.
	linkedDirectory struct {
		spoke.Directory
		address spoke.Address
	}

	// narrowHost is a host behind a narrow link.
	narrowHost struct {
		*deployment
		// link is the way of other hosts to this one.
		link   *relay.Relay
		tables *tableTimes
	}

	// tableTimes records when each routing table came into force at a host.
	tableTimes struct {
		mu    sync.Mutex
		times map[spoke.TableVersion]time.Time
	}
)

func newTableTimes() *tableTimes { return &tableTimes{times: make(map[spoke.TableVersion]time.Time)} }

func (d *linkedDirectory) Announce(ctx context.Context, peer spoke.ListedPeer) error {
	peer.Address = d.address
	return d.Directory.Announce(ctx, peer)
}

// Levels returns the levels of log lines that the record is made of.
func (*tableTimes) Levels() []logrus.Level { return []logrus.Level{logrus.InfoLevel} }

// Fire records a log line.
func (r *tableTimes) Fire(entry *logrus.Entry) error {
	version, isTable := entry.Data["table"].(spoke.TableVersion)
	if !isTable || !strings.HasPrefix(entry.Message, "routing table in force") {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.times[version] = time.Now()
	return nil
}

// since returns when a table of at least the given version came into force.
func (r *tableTimes) since(version spoke.TableVersion) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var first time.Time
	for known, at := range r.times {
		if known >= version && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// startBehindNarrowLinks starts hosts whose links to the store and to each other carry narrowLink each.
func startBehindNarrowLinks(t *testing.T, count int, change func(*config.Relay)) []narrowHost {
	t.Helper()
	first := startWithSettings(t, 1, change)
	var hosts []narrowHost
	for i := range count {
		host := narrowHost{deployment: first.beside(spoke.HostID(fmt.Sprint("narrow-", i+1))), tables: newTableTimes()}
		host.hook = host.tables
		host.settings.Store = host.limitedRelay(host.settings.Store).Address()
		address := netip.AddrPortFrom(host.settings.Address, uint16(host.settings.PeerPort))
		host.link = host.limitedRelay(spoke.Address(address.String()))
		host.forwardDatagrams(host.link.Address(), address)
		host.directory = func(d spoke.Directory) spoke.Directory { return &linkedDirectory{d, host.link.Address()} }
		host.runHost()
		hosts = append(hosts, host)
	}
	for _, host := range hosts {
		awaitTrue(t, "host does not list the others", func() bool { return host.hasLogged(fmt.Sprintf(`"peers":%d`, count)) })
	}
	return hosts
}

// limitedRelay returns a relay to a target that sends at most narrowLink.
func (d *deployment) limitedRelay(target spoke.Address) *relay.Relay {
	d.t.Helper()
	r, err := relay.New("127.0.0.1:0", target)
	assert.NilError(d.t, err)
	r.Limit(relay.Backward, narrowLink)
	d.closeAfterHosts(func() { _ = r.Close() })
	return r
}

// forwardDatagrams passes the datagrams that arrive at an address on to a host.
func (d *deployment) forwardDatagrams(at spoke.Address, target netip.AddrPort) {
	d.t.Helper()
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(string(at))))
	assert.NilError(d.t, err)
	d.closeAfterHosts(func() { _ = socket.Close() })
	go func() {
		buffer := make([]byte, maxDatagram)
		for {
			size, _, err := socket.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			_, _ = socket.WriteToUDPAddrPort(buffer[:size], target)
		}
	}()
}

// largeTable returns a configuration with a number of routes of their own paths beside those of table.
func largeTable(version int, key string, routes int) map[string]any {
	large := table(version, key)
	list := large["routes"].([]any)
	for i := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-%x", uint32(i+1)*2654435761), "host": hostName, "prefix": fmt.Sprintf("/%x/", uint32(i+1)*2246822519),
			"route-type": "safe", "timeout-ms": 800, "target-latency-ms": 120, "priority": 2, "service": "models", "max-attempts": 2,
			"no-auth": false, "sticky": false, "resumable": false,
		})
	}
	large["routes"] = list
	return large
}

// Guards against a confirmed table that comes into force too late, because hosts with narrow links pass the whole
// table on to all others, or end its transfer and begin again; also while hosts are silent.
func TestLargeTableIsInForceInTimeOnNarrowLinks(t *testing.T) {
	const (
		routes     = 1400
		applyLimit = 3 * time.Second
	)
	// The first hosts by hash watch the directory for the others, and the next ones pass large tables on.
	for name, silent := range map[string][]int{"all reachable": nil, "watcher and another host silent": {0, 3}} {
		t.Run(name, func(t *testing.T) {
			hosts := startBehindNarrowLinks(t, 12, func(s *config.Relay) { s.ConfigApply = applyLimit })
			slices.SortFunc(hosts, func(a, b narrowHost) int {
				return cmp.Compare(xxhash.Sum64String(string(a.settings.Host)), xxhash.Sum64String(string(b.settings.Host)))
			})
			for _, i := range silent {
				hosts[i].link.Cut()
			}
			var confirmed []time.Time
			for version := 2; version <= 3; version++ {
				hosts[0].store.Put("op/config", largeTable(version, "key-2", routes+version))
				confirmed = append(confirmed, time.Now())
				<-time.After(applyLimit / 3)
			}
			<-time.After(time.Until(confirmed[1].Add(applyLimit)))
			for i, host := range hosts {
				for change, at := range confirmed {
					since, isInForce := host.tables.since(spoke.TableVersion(change + 2))
					assert.Check(t, isInForce, "table %d is not in force at host %d", change+2, i+1)
					assert.Check(t, since.Sub(at) < applyLimit, "table %d at host %d after %s", change+2, i+1, since.Sub(at))
				}
			}
			stopAll(t, hosts)
		})
	}
}

// stopAll stops hosts and waits until they have ended, so that their ports are free.
func stopAll(t *testing.T, hosts []narrowHost) {
	t.Helper()
	for _, host := range hosts {
		host.signals <- syscall.SIGTERM
	}
	for _, host := range hosts {
		assert.NilError(t, <-host.ended)
	}
}

// Guards against a host that ends a call to the store while its answer arrives, since other hosts report later
// revisions, and never gets the table.
func TestTableArrivesDespiteReportsOfLaterRevisions(t *testing.T) {
	const routes = 1400
	recorded := newTableTimes()
	first := start(t, 1)
	host := first.beside("narrow-1")
	host.hook = recorded
	host.settings.Store = host.limitedRelay(host.settings.Store).Address()
	host.runHost()
	first.signals <- syscall.SIGTERM
	sendReports(t, host, spoke.HostReport{Host: "host-9", Directory: spoke.DirectoryView{Revision: spoke.NewRevision(9, 1)}})
	host.store.Put("op/config", largeTable(2, callerKey, routes))
	begin := time.Now()
	awaitTrue(t, "table is not in force", func() bool { _, isInForce := recorded.since(2); return isInForce })
	assert.Assert(t, time.Since(begin) < host.settings.ConfigApply, "%s", time.Since(begin))
}

// Guards against a host that ends each call to a slow store before its answer begins, since other hosts report later
// revisions, and never gets a change.
func TestTableArrivesFromSlowStoreDespiteReportsOfLaterRevisions(t *testing.T) {
	d := start(t, 1)
	sendReports(t, d, spoke.HostReport{Host: "host-9", Directory: spoke.DirectoryView{Revision: spoke.NewRevision(9, 1)}})
	d.store.Delay(slowAnswer)
	d.store.Put("op/config", table(2, "key-2"))
	begin := time.Now()
	awaitTrue(t, "table is not in force", func() bool { return d.hasLogged(`"table":2`) })
	assert.Assert(t, time.Since(begin) < d.settings.ConfigApply, "%s", time.Since(begin))
}

// sendReports sends a host the load report of another one every 50 ms until the test ends.
func sendReports(t *testing.T, to *deployment, report spoke.HostReport) {
	t.Helper()
	socket, err := net.Dial("udp4", netip.AddrPortFrom(to.settings.Address, uint16(to.settings.PeerPort)).String())
	assert.NilError(t, err)
	tick := time.NewTicker(50 * time.Millisecond)
	ended := make(chan struct{})
	t.Cleanup(func() {
		close(ended)
		tick.Stop()
		_ = socket.Close()
	})
	go func() {
		for {
			select {
			case <-tick.C:
				report.Sequence++
				raw, err := peers.Encode(report, time.Now())
				if err == nil {
					_, _ = socket.Write(raw)
				}
			case <-ended:
				return
			}
		}
	}()
}

// Guards against a host that sends large tables to ever more hosts as an installation grows.
func TestBusiestHostSendsNoMoreToMoreHosts(t *testing.T) {
	const (
		routes     = 1400
		tableBytes = 300_000
		// tolerated covers the small answers that each host gets from a watcher.
		tolerated = 1.2
	)
	busiest := make(map[int]int)
	for _, hostCount := range []int{5, 10} {
		hosts := startBehindNarrowLinks(t, hostCount, func(s *config.Relay) { s.ConfigApply = 3 * time.Second })
		before := make([]int, hostCount)
		for i, host := range hosts {
			before[i] = host.feedBytes()
		}
		hosts[0].store.Put("op/config", largeTable(2, callerKey, routes))
		for i, host := range hosts {
			awaitTrue(t, fmt.Sprintf("table is not in force at host %d", i+1), func() bool { _, isInForce := host.tables.since(2); return isInForce })
		}
		for i, host := range hosts {
			busiest[hostCount] = max(busiest[hostCount], host.feedBytes()-before[i])
		}
		stopAll(t, hosts)
	}
	t.Logf("bytes of the busiest host by number of hosts: %v", busiest)
	assert.Check(t, float64(busiest[10]) < tolerated*float64(busiest[5]), "%v", busiest)
	assert.Check(t, busiest[10] < tableBytes, "%v", busiest)
}

// feedBytes returns how many bytes of changes a host has sent to others.
func (d *deployment) feedBytes() int {
	d.t.Helper()
	response, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/metrics", d.settings.MetricsPort))
	assert.NilError(d.t, err)
	defer response.Body.Close()
	var counts struct {
		FeedBytes int `json:"feed-bytes"`
	}
	assert.NilError(d.t, json.NewDecoder(response.Body).Decode(&counts))
	return counts.FeedBytes
}
