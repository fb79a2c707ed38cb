package edge_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/config"
	"magnoliaspoke.example/spoke/place"
)

// addHost starts another host with the same store and engines.
func (d *deployment) addHost(id spoke.HostID) *deployment {
	d.t.Helper()
	other := d.beside(id)
	other.runHost()
	return other
}

// startHosts starts hosts and waits until each of them lists all others.
func startHosts(t *testing.T, count int) []*deployment {
	t.Helper()
	return startHostsWith(t, count, 1)
}

// startHostsWith is startHosts with a number of engines.
func startHostsWith(t *testing.T, count, engines int) []*deployment {
	t.Helper()
	hosts := []*deployment{start(t, engines)}
	for i := 1; i < count; i++ {
		hosts = append(hosts, hosts[0].addHost(spoke.HostID(fmt.Sprint("host-", i+1))))
	}
	for i, host := range hosts {
		awaitTrue(t, fmt.Sprintf("host %d does not list the others", i+1), func() bool {
			return host.hasLogged(fmt.Sprintf(`"peers":%d`, count-1))
		})
	}
	return hosts
}

// awaitKey waits until all hosts accept a key.
func awaitKey(t *testing.T, hosts []*deployment, key string) {
	t.Helper()
	for i, host := range hosts {
		awaitTrue(t, fmt.Sprintf("key %s not known at host %d", key, i+1), func() bool {
			return host.bookingStatus(fmt.Sprint(key, "-", i), key) == http.StatusOK
		})
	}
}

// Guards against hosts that all call the store for each change, and against hosts that miss changes
// because others watch the directory for them.
func TestFewHostsWatchDirectory(t *testing.T) {
	hosts := startHosts(t, 5)
	store := hosts[0].store
	before := store.Watches()
	for version := 2; version < 6; version++ {
		key := fmt.Sprint("key-", version)
		store.Put("op/config", table(version, key))
		begin := time.Now()
		awaitKey(t, hosts, key)
		assert.Assert(t, time.Since(begin) < hosts[0].settings.ConfigApply, "%s", time.Since(begin))
	}
	// Two hosts make a call for each change and every 0.9 s; five hosts would make twenty for the changes
	// alone.
	assert.Assert(t, store.Watches()-before <= 16, "%d calls", store.Watches()-before)
}

// Guards against hosts that receive no changes after those that watched the directory for them have left.
func TestHostsWatchDirectlyWithoutWatchers(t *testing.T) {
	hosts := startHosts(t, 4)
	var remaining []*deployment
	for _, host := range hosts {
		if isWatcher(hosts, host) {
			host.signals <- syscall.SIGTERM
			continue
		}
		remaining = append(remaining, host)
	}
	assert.Equal(t, len(remaining), 2)
	hosts[0].store.Put("op/config", table(2, "key-2"))
	begin := time.Now()
	awaitKey(t, remaining, "key-2")
	assert.Assert(t, time.Since(begin) < hosts[0].settings.ConfigApply, "%s", time.Since(begin))
}

// Guards against an outage of the store that a host does not detect because other hosts watch for it, so
// that engines whose entries expired meanwhile count as removed.
func TestNonWatchersDetectOutage(t *testing.T) {
	hosts := startHosts(t, 4)
	store := hosts[0].store
	store.Refuse(true)
	for i, host := range hosts {
		awaitTrue(t, "outage not noticed", func() bool { return host.bookingStatus(fmt.Sprint("a-", i), "key-2") == http.StatusServiceUnavailable })
	}
	store.Remove("servers/i-0")
	store.Refuse(false)
	for i, host := range hosts {
		awaitTrue(t, "store not regained", func() bool { return host.bookingStatus(fmt.Sprint("b-", i), "key-2") == http.StatusUnauthorized })
		assert.Equal(t, host.bookingStatus(fmt.Sprint("c-", i), callerKey), http.StatusOK)
	}
}

// Guards against a feed that accepts malformed requests, that omits changes which it no longer keeps, or
// that answers while its host has lost the directory.
func TestFeedRejectsInvalidRequests(t *testing.T) {
	d := start(t, 1)
	for query, expected := range map[string]int{
		"": http.StatusBadRequest, "?after=x&wait-ms=1": http.StatusBadRequest, "?after=1&wait-ms=-1": http.StatusBadRequest,
		"?after=0&wait-ms=1": http.StatusGone, "?after=9000000000000000&wait-ms=1": http.StatusOK,
	} {
		assert.Equal(t, d.pollFeed(query), expected, "%q", query)
	}
	d.store.Refuse(true)
	awaitTrue(t, "feed still serves a lost directory", func() bool { return d.pollFeed("?after=9000000000000000&wait-ms=1") == http.StatusServiceUnavailable })
}

// isWatcher reports whether a host watches the store for the others.
func isWatcher(hosts []*deployment, host *deployment) bool {
	var peers []spoke.ListedPeer
	for _, other := range hosts[1:] {
		peers = append(peers, spoke.ListedPeer{ID: other.settings.Host, DataCentre: other.settings.DataCentre})
	}
	self := spoke.ListedPeer{ID: hosts[0].settings.Host, DataCentre: hosts[0].settings.DataCentre}
	return slices.Contains(place.Watchers(peers, self), host.settings.Host)
}

func (d *deployment) pollFeed(query string) int {
	response, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/changes%s", d.settings.PeerPort, query))
	assert.NilError(d.t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(d.t, err)
	return response.StatusCode
}

// Guards against a host that receives no changes because the hosts that watch the directory for it are
// frozen, stale or broken, or send bytes without end.
func TestFaultyWatchersDoNotBlockChanges(t *testing.T) {
	for name, handle := range map[string]http.HandlerFunc{
		"stale": func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"revision":1,"age-ms":5000}`) },
		// Ages of an earlier build rest on reports between hosts.
		"earlier build": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprintf(w, `{"revision":%d,"age-ms":0}`, spoke.NewRevision(1, 1))
			time.Sleep(10 * time.Millisecond)
		},
		"frozen":  func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"garbage": func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "]garbage[") },
		"backward": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"revision":9,"news":[{"after":9,"revision":3}]}`)
		},
		"backward in a later era": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"revision":9000000000000000,"news":[{"after":9000000000000000,"revision":3}]}`)
		},
		"unread in a later era": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"revision":9000000000000000,"news":[{"after":1,"revision":9000000000000000,"raw":"fQ=="}]}`)
		},
		"unread": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"revision":999,"news":[{"after":1,"revision":999,"raw":"fQ=="}]}`)
		},
		"endless": sendEndless,
	} {
		t.Run(name, func(t *testing.T) {
			watcher := httptest.NewServer(handle)
			t.Cleanup(watcher.Close)
			t.Cleanup(watcher.CloseClientConnections)
			d := start(t, 1)
			for _, id := range watchersOf(d.settings) {
				d.store.Put("spoke/hosts/"+string(id), map[string]any{"data-centre": "a", "address": watcher.Listener.Addr().String()})
			}
			awaitTrue(t, "host does not list the others", func() bool { return d.hasLogged(`"peers":2`) })
			d.store.Put("op/config", table(2, "key-2"))
			begin := time.Now()
			awaitKey(t, []*deployment{d}, "key-2")
			assert.Assert(t, time.Since(begin) < d.settings.ConfigApply, "%s", time.Since(begin))
		})
	}
}

// sendEndless answers with bytes until the caller closes the connection.
func sendEndless(w http.ResponseWriter, r *http.Request) {
	for r.Context().Err() == nil {
		if _, err := io.WriteString(w, strings.Repeat("x", 4096)); err != nil {
			return
		}
	}
}

// watchersOf returns the ids of two hosts that would watch the directory for the given one.
func watchersOf(settings config.Relay) []spoke.HostID {
	self := spoke.ListedPeer{ID: settings.Host, DataCentre: settings.DataCentre}
	for i := 0; ; i++ {
		ids := []spoke.HostID{spoke.HostID(fmt.Sprint("other-", i)), spoke.HostID(fmt.Sprint("another-", i))}
		peers := []spoke.ListedPeer{{ID: ids[0], DataCentre: self.DataCentre}, {ID: ids[1], DataCentre: self.DataCentre}}
		if !slices.Contains(place.Watchers(peers, self), self.ID) {
			return ids
		}
	}
}
