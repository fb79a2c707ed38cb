package edge_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/config"
	fake "magnoliaspoke.example/spoke/fake/platform"
	"magnoliaspoke.example/spoke/relay"
)

const (
	// cutHangs leaves open connections and connects without answers.
	cutHangs cutForm = "hang"
	// cutResets resets open connections and refuses new ones.
	cutResets cutForm = "reset"
	// cutRefuses refuses new connections while open ones live on.
	cutRefuses cutForm = "live"

	cutOffEngines = 6
	cutOffHosts   = 5
)

type (
	// cutForm is the way in which a host loses its ways to engines.
	cutForm string

	// engineWays shows a host its own ways to engines in place of their addresses.
	engineWays struct {
		spoke.Directory
		host *deployment
		mu   sync.Mutex
		ways map[spoke.Address]*relay.Relay
	}

	// cutOffHost is a host whose ways to engines can be cut.
	cutOffHost struct {
		*deployment
		ways *engineWays
	}
)

// Read returns the directory.
func (w *engineWays) Read(ctx context.Context) (spoke.DirectoryChange, error) {
	change, err := w.Directory.Read(ctx)
	return w.link(change), err
}

// Watch returns changes of the directory.
func (w *engineWays) Watch(ctx context.Context, after spoke.Revision, wait time.Duration, end <-chan struct{}) (spoke.DirectoryChange, error) {
	change, err := w.Directory.Watch(ctx, after, wait, end)
	return w.link(change), err
}

// Decode decodes a change that another host has received.
func (w *engineWays) Decode(raw []byte) (spoke.DirectoryChange, error) {
	change, err := w.Directory.Decode(raw)
	return w.link(change), err
}

func (w *engineWays) link(change spoke.DirectoryChange) spoke.DirectoryChange {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, upstream := range change.Upstreams {
		if w.ways[upstream.Address] == nil {
			way, err := relay.New("127.0.0.1:0", upstream.Address, relay.WithDroppedConnects())
			assert.Check(w.host.t, err)
			w.host.closeAfterHosts(func() { _ = way.Close() })
			w.ways[upstream.Address] = way
		}
		change.Upstreams[i].Address = w.ways[upstream.Address].Address()
	}
	return change
}

// cut cuts the ways of the host to all engines but some.
func (w *engineWays) cut(form cutForm, spared ...*fake.Engine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lost := maps.Clone(w.ways)
	for _, engine := range spared {
		delete(lost, spoke.Address(engine.Address()))
	}
	for _, way := range lost {
		switch form {
		case cutHangs:
			way.Cut()
		case cutResets, cutRefuses:
			way.SetTarget("")
		}
	}
	if form != cutResets {
		return
	}
	// Behind the first reset, no way connects any more.
	for _, way := range lost {
		way.Reset()
	}
}

// startCutOff starts hosts in the data centres a, b and c in turn, each with its own ways to all engines, and waits
// until each lists all others.
func startCutOff(t *testing.T, changes ...func(*config.Relay)) []cutOffHost {
	t.Helper()
	centres := []spoke.DataCentreID{"a", "b", "c"}
	first := newDeployment(t)
	first.store.Put("op/config", table(1, callerKey))
	for i := range cutOffEngines {
		engine := fake.NewEngine(fmt.Sprintf("i-%d", i), 4)
		engine.SetEventInterval(20 * time.Millisecond)
		first.closeAfterHosts(engine.Close)
		first.engines = append(first.engines, engine)
		first.store.Put("servers/"+engine.ID, engine.Entry("models", string(centres[i%3]), "ready"))
	}
	first.settings = usualSettings(t, first.store)
	for _, change := range changes {
		change(&first.settings)
	}
	network := &linkNetwork{deployment: first, paths: make(map[string]*peerPath)}
	var hosts []cutOffHost
	for i := range cutOffHosts {
		host := cutOffHost{deployment: first.beside(spoke.HostID(fmt.Sprint("host-", i+1)))}
		host.ways = &engineWays{host: host.deployment, ways: make(map[spoke.Address]*relay.Relay)}
		host.settings.DataCentre = centres[i%3]
		host.directory = func(d spoke.Directory) spoke.Directory {
			host.ways.Directory = &linkedPeers{d, network, host.settings.DataCentre}
			return host.ways
		}
		host.runHost()
		hosts = append(hosts, host)
	}
	for _, host := range hosts {
		awaitTrue(t, "host does not list the others", func() bool { return host.hasLogged(fmt.Sprintf(`"peers":%d`, cutOffHosts-1)) })
	}
	return hosts
}

// onceOnlyRepeats returns the once-only calls that engines have run more than once.
func (d *deployment) onceOnlyRepeats() []string {
	var ids []string
	for _, engine := range d.engines {
		for _, run := range engine.Runs() {
			if run.Target == bookCall("").path {
				ids = append(ids, run.ID)
			}
		}
	}
	slices.Sort(ids)
	var repeats []string
	for i := 1; i < len(ids); i++ {
		if ids[i] == ids[i-1] {
			repeats = append(repeats, ids[i])
		}
	}
	return repeats
}
