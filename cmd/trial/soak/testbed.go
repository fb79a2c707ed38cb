package soak

import (
	"context"
	"errors"
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
	// permanentKey is in every configuration, so no host may ever reject it.
	permanentKey     = "key-steady"
	workspace        = "workspace-1"
	service          = "models"
	stopGraceSeconds = 8
	weightsApplyTime = 6 * time.Second
	maxPortTries     = 10
)

// dataCentres are those of hosts with their own ways to engines, in turn.
var dataCentres = []string{"a", "b", "c"}

type (
	// engine is an engine stand-in that hosts reach through a relay.
	engine struct {
		*fake.Engine
		relay     *relay.Relay
		isLimited bool
		// isLeaving is set once the engine's entry states that it leaves.
		isLeaving bool
	}

	// host is an entry host that reaches the store through a relay.
	host struct {
		name          string
		storeRelay    *relay.Relay
		callerAddress string
		readyAddress  string
		dataCentre    string
		command       fleet.Command
		// ways is nil if hosts share their ways to engines.
		ways *hostWays
	}

	// testbed is the set of processes and stand-ins of one run.
	testbed struct {
		directory string
		fleet     *fleet.Fleet
		store     *fake.Store
		hosts     []*host

		// limit is the rate that every second engine names, zero for none.
		limit spoke.RequestRate
		// hasCrashes is set if engines crash on a prompt part.
		hasCrashes bool
		// hasCold is set if engines are cold after a start.
		hasCold bool
		// hasVersions is set if engines have two software versions.
		hasVersions bool
		// hasEvacuations is set if data centres are evacuated.
		hasEvacuations bool
		evacuations    []evacuation
		// ways holds the ways of each host to engines if hosts do not share them.
		ways       []*hostWays
		wayCuts    []wayCut
		wayResults []string

		mu            sync.Mutex
		engines       []*engine
		retired       []*engine
		configVersion int
		weights       int
		lastEngine    int
	}
)

func newTestbed(program, directory string, set options) (*testbed, error) {
	b := &testbed{
		directory: directory, fleet: fleet.New(directory), store: fake.NewStore(), weights: 1,
		limit: set.limit, hasCrashes: set.hasCrashes, hasVersions: set.hasVersions, hasEvacuations: set.hasEvacuations, hasCold: set.hasCold,
	}
	count := hostCount
	if set.hasWays {
		count = wayHostCount
		for number := range count {
			b.ways = append(b.ways, newHostWays(number))
		}
	}
	if set.hasCold {
		b.store.SetColdService(coldTime.Seconds(), coldRate)
	}
	b.putConfig()
	for range engineCount {
		if err := b.addEngine(); err != nil {
			return b, err
		}
	}
	for number := range count {
		if err := b.addHost(program, number); err != nil {
			return b, err
		}
	}
	return b, nil
}

func (b *testbed) close() {
	b.fleet.Close()
	for _, h := range b.hosts {
		_ = h.storeRelay.Close()
	}
	for _, ways := range b.ways {
		ways.close()
	}
	for _, e := range append(b.engines, b.retired...) {
		_ = e.relay.Close()
		e.Close()
	}
	b.store.Close()
}

// putConfig writes the next version of the configuration to the store.
func (b *testbed) putConfig() {
	b.mu.Lock()
	b.configVersion += 3
	version := b.configVersion
	b.mu.Unlock()
	b.writeConfig(version)
}

func (b *testbed) writeConfig(version int) {
	b.store.PutConfig(version, hostName, service, workspace, []string{permanentKey, fmt.Sprintf("key-%d", version)}, []fake.Route{
		{Name: chat, Kind: "streaming", MaxAttempts: 2, HasPrompt: true, IsResumable: true},
		{Name: quote, Kind: "streaming", MaxAttempts: 1, HasPrompt: true},
		{Name: book, Kind: "unsafe", MaxAttempts: 1},
		{Name: look, Kind: "safe", MaxAttempts: 2},
	})
}

func (b *testbed) addEngine() error {
	b.mu.Lock()
	b.lastEngine++
	id, weights := fmt.Sprintf("i-%d", b.lastEngine), b.weights
	isLimited := b.limit > 0 && b.lastEngine%2 == 0
	software := "v1"
	if b.hasVersions && b.lastEngine%2 == 0 {
		software = "v2"
	}
	zone := dataCentres[0]
	if b.hasEvacuations {
		zone = dataCentres[b.lastEngine%2]
	}
	b.mu.Unlock()
	e := &engine{Engine: fake.NewEngine(id, eventCount)}
	e.SetEventInterval(5 * time.Millisecond)
	e.SetVersion(weights)
	e.SetSoftware(software)
	e.Zone = zone
	if isLimited {
		e.SetLimit(fmt.Sprint(float64(b.limit)))
		e.isLimited = true
	}
	var err error
	if e.relay, err = b.openRelay(spoke.Address(e.Address())); err != nil {
		return eris.Wrapf(err, "relay of engine %s", id)
	}
	if b.hasCrashes {
		b.setCrashing(e)
	}
	if b.hasCold {
		b.setCold(e)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.engines = append(b.engines, e)
	b.store.PutEngine(e.Engine, service, b.addressOf(e), false)
	return nil
}

// openRelay opens the relay of an engine and the ways of hosts to it, which have its port. Another program may hold that port
// at one of their IP numbers.
func (b *testbed) openRelay(engine spoke.Address) (*relay.Relay, error) {
	var failures error
	for range maxPortTries {
		opened, err := relay.New("127.0.0.1:0", engine)
		if err != nil {
			return nil, err
		}
		if err = b.addWays(opened.Address()); err == nil {
			return opened, nil
		}
		failures = errors.Join(failures, err, opened.Close())
	}
	return nil, failures
}

// addWays adds the way of each host to an engine, or none.
func (b *testbed) addWays(engine spoke.Address) error {
	for i, ways := range b.ways {
		if err := ways.add(engine); err != nil {
			for _, added := range b.ways[:i] {
				added.remove(engine)
			}
			return err
		}
	}
	return nil
}

// addressOf returns the address at which hosts reach an engine.
func (b *testbed) addressOf(e *engine) string {
	if b.hasCrashes || b.hasCold {
		return e.Address()
	}
	return string(e.relay.Address())
}

// retire marks an engine as leaving in the store and removes its entry 2.5 s later.
func (b *testbed) retire(ctx context.Context, e *engine) {
	b.mu.Lock()
	e.isLeaving = true
	b.store.PutEngine(e.Engine, service, b.addressOf(e), true)
	b.mu.Unlock()
	sleep(ctx, 2500*time.Millisecond)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.store.RemoveEngine(e.Engine)
	for i, other := range b.engines {
		if other == e {
			b.engines = append(b.engines[:i:i], b.engines[i+1:]...)
			b.retired = append(b.retired, e)
			return
		}
	}
}

func (b *testbed) addHost(program string, number int) error {
	h := &host{name: fmt.Sprintf("host-%d", number), dataCentre: dataCentres[0]}
	if b.ways != nil {
		h.ways, h.dataCentre = b.ways[number], dataCentres[number%len(dataCentres)]
	}
	var err error
	if h.storeRelay, err = relay.New("127.0.0.1:0", spoke.Address(b.store.Address())); err != nil {
		return eris.Wrap(err, "relay of the store")
	}
	free, err := freePorts(4)
	if err != nil {
		return err
	}
	h.callerAddress, h.readyAddress = fmt.Sprintf("127.0.0.1:%d", free[0]), fmt.Sprintf("127.0.0.1:%d", free[1])
	settings := fmt.Sprintf(`host-id = %q
data-centre = %q
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
`, h.name, h.dataCentre, h.callerAddress, h.readyAddress, h.storeRelay.Address(), free[2], free[3], weightsApplyTime.Milliseconds(), stopGraceSeconds)
	path := filepath.Join(b.directory, h.name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return eris.Wrap(err, "write settings")
	}
	h.command = fleet.Command{Name: h.name, Program: program, Arguments: []string{"--settings", path}}
	if h.ways != nil {
		if h.command.Program, err = os.Executable(); err != nil {
			return eris.Wrap(err, "own program")
		}
		h.command.Environment = []string{h.ways.variable(path)}
	}
	b.hosts = append(b.hosts, h)
	_, err = b.fleet.Start(context.Background(), h.command)
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
