package edge_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

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
)

type (
	// linkedDirectory announces its host at the address at which the host's link is reached.
	linkedDirectory struct {
		spoke.Directory
		address spoke.Address
	}

	// tableTimes records when each routing table came into force at a host.
	tableTimes struct {
		mu    sync.Mutex
		times map[spoke.TableVersion]time.Time
	}
)

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
func startBehindNarrowLinks(t *testing.T, count int, change func(*config.Relay)) ([]*deployment, []*tableTimes) {
	t.Helper()
	first := startWithSettings(t, 1, change)
	var hosts []*deployment
	var times []*tableTimes
	for i := range count {
		host := first.beside(spoke.HostID(fmt.Sprint("narrow-", i+1)))
		recorded := &tableTimes{times: make(map[spoke.TableVersion]time.Time)}
		host.hook = recorded
		host.settings.Store = limitedRelay(t, host.settings.Store)
		address := netip.AddrPortFrom(host.settings.Address, uint16(host.settings.PeerPort))
		linked := limitedRelay(t, spoke.Address(address.String()))
		forwardDatagrams(t, linked, address)
		host.directory = func(d spoke.Directory) spoke.Directory { return &linkedDirectory{d, linked} }
		host.runHost()
		hosts, times = append(hosts, host), append(times, recorded)
	}
	for _, host := range hosts {
		awaitTrue(t, "host does not list the others", func() bool { return host.hasLogged(fmt.Sprintf(`"peers":%d`, count)) })
	}
	return hosts, times
}

// limitedRelay returns the address of a relay to a target that sends at most narrowLink.
func limitedRelay(t *testing.T, target spoke.Address) spoke.Address {
	t.Helper()
	r, err := relay.New("127.0.0.1:0", target)
	assert.NilError(t, err)
	r.Limit(relay.Backward, narrowLink)
	t.Cleanup(func() { _ = r.Close() })
	return r.Address()
}

// forwardDatagrams passes the datagrams that arrive at an address on to a host.
func forwardDatagrams(t *testing.T, at spoke.Address, target netip.AddrPort) {
	t.Helper()
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(string(at))))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
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
// table on to all others, or end its transfer and begin again.
func TestLargeTableIsInForceInTimeOnNarrowLinks(t *testing.T) {
	const (
		hostCount  = 12
		routes     = 1400
		applyLimit = 3 * time.Second
	)
	hosts, times := startBehindNarrowLinks(t, hostCount, func(s *config.Relay) { s.ConfigApply = applyLimit })
	var confirmed []time.Time
	for version := 2; version <= 3; version++ {
		hosts[0].store.Put("op/config", largeTable(version, "key-2", routes+version))
		confirmed = append(confirmed, time.Now())
		<-time.After(applyLimit / 3)
	}
	<-time.After(time.Until(confirmed[1].Add(applyLimit)))
	for i, recorded := range times {
		for change, at := range confirmed {
			since, isInForce := recorded.since(spoke.TableVersion(change + 2))
			if !isInForce {
				since = time.Now()
			}
			assert.Check(t, isInForce && since.Sub(at) < applyLimit, "table %d at host %d, in force: %t, %s after its confirmation", change+2, i+1, isInForce, since.Sub(at))
		}
	}
}

// Guards against a host that ends a call to the store while its answer arrives, since other hosts report later
// revisions, and never gets the table.
func TestTableArrivesDespiteReportsOfLaterRevisions(t *testing.T) {
	const routes = 1400
	recorded := &tableTimes{times: make(map[spoke.TableVersion]time.Time)}
	first := start(t, 1)
	host := first.beside("narrow-1")
	host.hook = recorded
	host.settings.Store = limitedRelay(t, host.settings.Store)
	host.runHost()
	first.signals <- syscall.SIGTERM
	sendReports(t, host, spoke.HostReport{Host: "host-9", Directory: spoke.DirectoryView{Revision: 1 << 30}})
	host.store.Put("op/config", largeTable(2, callerKey, routes))
	begin := time.Now()
	awaitTrue(t, "table is not in force", func() bool { _, isInForce := recorded.since(2); return isInForce })
	assert.Assert(t, time.Since(begin) < host.settings.ConfigApply, "%s", time.Since(begin))
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
