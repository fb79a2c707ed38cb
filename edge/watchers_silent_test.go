package edge_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	fake "magnoliaspoke.example/spoke/fake/platform"
)

const (
	// storeSilence is the time in which the store gives the hosts that watch it no response.
	storeSilence = 400 * time.Millisecond
	// announceEvery is the time between two announcements of a host.
	announceEvery = 1500 * time.Millisecond
	// announcedBehind is the time from the begin of that silence to an announcement, which the store answers again.
	announcedBehind = time.Second
	// watchAnswerMargin is the time that a host waits for the response to a watch beyond its wait.
	watchAnswerMargin = 2 * time.Second
)

// errNoResponse is the end of a watch whose response was lost.
var errNoResponse = errors.New("no response from the store")

// silentDirectory is a directory whose store gives its host no response to watches for a while. A watch whose response is
// lost stays without one.
type silentDirectory struct {
	spoke.Directory

	mu          sync.Mutex
	from, until time.Time
	announcedAt time.Time
}

func (s *silentDirectory) fallSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.from = time.Now()
	s.until = s.from.Add(storeSilence)
}

func (s *silentDirectory) isSilent(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return at.After(s.from) && at.Before(s.until)
}

// Watch waits for changes.
func (s *silentDirectory) Watch(ctx context.Context, after spoke.Revision, wait time.Duration, end <-chan struct{}) (spoke.DirectoryChange, error) {
	asked := time.Now()
	change, err := s.Directory.Watch(ctx, after, wait, end)
	if !s.isSilent(asked) && !s.isSilent(time.Now()) {
		return change, err
	}
	select {
	case <-end:
	case <-ctx.Done():
	case <-time.After(time.Until(asked.Add(wait + watchAnswerMargin))):
	}
	return spoke.DirectoryChange{}, errNoResponse
}

// Announce announces the host.
func (s *silentDirectory) Announce(ctx context.Context, peer spoke.ListedPeer) error {
	s.mu.Lock()
	s.announcedAt = time.Now()
	s.mu.Unlock()
	return s.Directory.Announce(ctx, peer)
}

// awaitAnnouncement waits until the host announces itself next.
func (s *silentDirectory) awaitAnnouncement(t *testing.T) {
	t.Helper()
	began := time.Now()
	awaitTrue(t, "no announcement", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.announcedAt.After(began)
	})
}

// silentHost is a host whose store can fall silent to it.
type silentHost struct {
	*deployment
	directory *silentDirectory
}

// startSilentHosts runs hosts with three engines; the second is in data centre b.
func startSilentHosts(t *testing.T, count int) []silentHost {
	t.Helper()
	first := newDeployment(t)
	first.store.Put("op/config", table(1, callerKey))
	for i, centre := range []string{"a", "b", "a"} {
		engine := fake.NewEngine(fmt.Sprintf("i-%d", i), 4)
		first.closeAfterHosts(engine.Close)
		first.engines = append(first.engines, engine)
		first.store.Put("servers/"+engine.ID, engine.Entry("models", centre, "ready"))
	}
	first.settings = usualSettings(t, first.store)
	first.settings.EvacuationApply = 5 * time.Second
	var hosts []silentHost
	for i := range count {
		host := silentHost{first, &silentDirectory{}}
		if i > 0 {
			host.deployment = first.beside(spoke.HostID(fmt.Sprint("host-", i+1)))
		}
		host.deployment.directory = func(directory spoke.Directory) spoke.Directory {
			host.directory.Directory = directory
			return host.directory
		}
		host.runHost()
		hosts = append(hosts, host)
	}
	for _, host := range hosts {
		awaitTrue(t, "host does not list the others", func() bool { return host.hasLogged(fmt.Sprintf(`"peers":%d`, count-1)) })
	}
	return hosts
}

// Guards against hosts that the store serves, but that learn too late of changes since the two hosts which watch it for
// them get no response: a revoked key, a new one, a leaving engine and an evacuated data centre. The announcements of these
// two are answered again soon.
func TestChangesAreInForceInTimeWhileWatchersGetNoResponse(t *testing.T) {
	hosts := startSilentHosts(t, 5)
	var all []*deployment
	for _, host := range hosts {
		all = append(all, host.deployment)
	}
	var watching, others []silentHost
	for _, host := range hosts {
		if isWatcher(all, host.deployment) {
			watching = append(watching, host)
			continue
		}
		others = append(others, host)
	}
	assert.Equal(t, len(watching), 2)
	watching[0].directory.awaitAnnouncement(t)
	time.Sleep(announceEvery - announcedBehind)
	for _, host := range watching {
		host.directory.fallSilent()
	}
	time.Sleep(50 * time.Millisecond)
	store, engines := hosts[0].store, hosts[0].engines
	changed := time.Now()
	store.Put("op/config", table(2, "key-2"))
	store.Put("op/evacuate/b", map[string]any{})
	hosts[0].putEntry(engines[0], "draining")
	time.Sleep(time.Until(changed.Add(hosts[0].settings.ConfigApply)))
	before := len(engines[0].Runs()) + len(engines[1].Runs())
	for i, host := range others {
		for call := range 5 {
			id := fmt.Sprint(i, "-", call)
			assert.Check(t, host.bookingStatus("revoked-"+id, callerKey) != http.StatusOK, "revoked key at %s", host.settings.Host)
			assert.Check(t, host.bookingStatus("new-"+id, "key-2") == http.StatusOK, "new key at %s", host.settings.Host)
		}
	}
	assert.Equal(t, len(engines[0].Runs())+len(engines[1].Runs())-before, 0, "calls at engines that leave or are evacuated")
}

// Guards against knowledge of the directory that seems younger with each report between hosts: how long a report was under
// way is not known, and what it states may rest on a report of the host that receives it.
func TestLoadReportsProveNothing(t *testing.T) {
	d := start(t, 1)
	peer := startPeer(t, "host-2")
	peer.list(d)
	awaitTrue(t, "host does not list the other", func() bool { return d.hasLogged(`"peers":1`) })
	d.store.Refuse(true)
	peer.reportFreshViews(t.Context(), d)
	time.Sleep(d.settings.ConfigApply)
	for i := range 5 {
		assert.Equal(t, d.bookingStatus(fmt.Sprint("unknown-", i), "unknown"), http.StatusServiceUnavailable)
		time.Sleep(100 * time.Millisecond)
	}
}

// reportFreshViews sends load reports with a view of the directory that is no older than the time it takes to send them.
func (p *fakePeer) reportFreshViews(ctx context.Context, d *deployment) {
	go func() {
		for ctx.Err() == nil {
			p.send(d, spoke.HostReport{Directory: spoke.DirectoryView{Revision: 1}})
			time.Sleep(20 * time.Millisecond)
		}
	}()
}
