package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	fake "magnoliaspoke.example/spoke/fake/platform"
	"magnoliaspoke.example/spoke/fake/ports"
	"magnoliaspoke.example/spoke/fleet"
	"magnoliaspoke.example/spoke/relay"
	"magnoliaspoke.example/spoke/timer"
)

const (
	hostCount   = 3
	engineCount = 4
	eventCount  = 6
	hostName    = "calls.example"
	// steadyKey is in every configuration, so no host may ever deny it.
	steadyKey    = "key-steady"
	workspace    = "workspace-1"
	service      = "models"
	storeGrace   = 8
	weightsApply = 6 * time.Second
)

type (
	// engine is an engine behind a relay.
	engine struct {
		*fake.Engine
		relay *relay.Relay
	}

	// host is an entry host whose way to the store leads through a relay.
	host struct {
		name    string
		store   *relay.Relay
		caller  string
		ready   string
		command fleet.Command
	}

	// world is the set-up of one run.
	world struct {
		directory string
		fleet     *fleet.Fleet
		store     *fake.Store
		hosts     []*host

		mu      sync.Mutex
		engines []*engine
		retired []*engine
		version int
		weights int
		next    int
	}
)

func newWorld(program, directory string) (*world, error) {
	w := &world{directory: directory, fleet: fleet.New(directory), store: fake.NewStore(), weights: 1}
	w.configure()
	for range engineCount {
		if err := w.addEngine(); err != nil {
			return w, err
		}
	}
	for number := range hostCount {
		if err := w.addHost(program, number); err != nil {
			return w, err
		}
	}
	return w, nil
}

func (w *world) close() {
	w.fleet.Close()
	for _, h := range w.hosts {
		_ = h.store.Close()
	}
	for _, e := range append(w.engines, w.retired...) {
		_ = e.relay.Close()
		e.Close()
	}
	w.store.Close()
}

// configure writes the next version of the configuration.
func (w *world) configure() {
	w.mu.Lock()
	w.version += 3
	version := w.version
	w.mu.Unlock()
	w.store.PutConfig(version, hostName, service, workspace, []string{steadyKey, fmt.Sprintf("key-%d", version)}, []fake.Route{
		{Name: chat, Kind: "streaming", MaxAttempts: 2, HasPrompt: true, IsResumable: true},
		{Name: quote, Kind: "streaming", MaxAttempts: 1, HasPrompt: true},
		{Name: book, Kind: "unsafe", MaxAttempts: 1},
		{Name: look, Kind: "safe", MaxAttempts: 2},
	})
}

func (w *world) addEngine() error {
	w.mu.Lock()
	w.next++
	id, weights := fmt.Sprintf("i-%d", w.next), w.weights
	w.mu.Unlock()
	e := &engine{Engine: fake.NewEngine(id, eventCount)}
	e.SetEventInterval(5 * time.Millisecond)
	e.SetVersion(weights)
	var err error
	if e.relay, err = relay.New("127.0.0.1:0", spoke.Address(e.Address())); err != nil {
		return eris.Wrapf(err, "relay of engine %s", id)
	}
	w.mu.Lock()
	w.engines = append(w.engines, e)
	w.mu.Unlock()
	w.store.PutEngine(e.Engine, service, string(e.relay.Address()), false)
	return nil
}

// retire takes an engine away after it has announced that it leaves.
func (w *world) retire(ctx context.Context, e *engine) {
	w.store.PutEngine(e.Engine, service, string(e.relay.Address()), true)
	sleep(ctx, 2500*time.Millisecond)
	w.store.RemoveEngine(e.Engine)
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, other := range w.engines {
		if other == e {
			w.engines = append(w.engines[:i:i], w.engines[i+1:]...)
			w.retired = append(w.retired, e)
			return
		}
	}
}

func (w *world) addHost(program string, number int) error {
	h := &host{name: fmt.Sprintf("host-%d", number)}
	var err error
	if h.store, err = relay.New("127.0.0.1:0", spoke.Address(w.store.Address())); err != nil {
		return eris.Wrap(err, "relay of the store")
	}
	free, err := freePorts(4)
	if err != nil {
		return err
	}
	h.caller, h.ready = fmt.Sprintf("127.0.0.1:%d", free[0]), fmt.Sprintf("127.0.0.1:%d", free[1])
	settings := fmt.Sprintf(`host-id = %q
data-centre = "a"
caller-address = %q
readiness-address = %q
store-address = %q
peer-port = %d
metrics-port = %d
memory-limit-mb = 200
descriptor-limit = 1000
config-apply-ms = 2000
weights-apply-ms = %d
orders-pause-ms = 1500
leave-notice-ms = 2000
stop-grace-s = %d
retry-share = 0.2
retry-reserve = 60
retry-window-s = 10
`, h.name, h.caller, h.ready, h.store.Address(), free[2], free[3], weightsApply.Milliseconds(), storeGrace)
	path := filepath.Join(w.directory, h.name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return eris.Wrap(err, "write settings")
	}
	h.command = fleet.Command{Name: h.name, Program: program, Arguments: []string{"--settings", path}}
	w.hosts = append(w.hosts, h)
	_, err = w.fleet.Start(context.Background(), h.command)
	return err
}

func freePorts(count int) ([]int, error) {
	found := make([]int, 0, count)
	for range count {
		port, err := ports.Free()
		if err != nil {
			return nil, err
		}
		found = append(found, port)
	}
	return found, nil
}

func sleep(ctx context.Context, pause time.Duration) { timer.Wait(ctx, timer.NewSystem(), pause) }
