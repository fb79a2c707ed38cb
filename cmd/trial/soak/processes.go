package soak

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	fake "magnoliaspoke.example/spoke/fake/platform"
	"magnoliaspoke.example/spoke/fake/ports"
	"magnoliaspoke.example/spoke/fleet"
	"magnoliaspoke.example/spoke/ready"
)

const (
	// EngineVariable is the environment variable that makes a program run ServeEngine with its value.
	EngineVariable = "SOAK_ENGINE"

	processCount = 6
	// processRouteTimeout exceeds the time of the longest framed stream.
	processRouteTimeout = 7 * time.Second
)

type (
	// boot is one start of an engine that is a process.
	boot struct {
		fake.Process
		process *fleet.Process
		// end and endedAt are the kind and the time of its end, empty before it.
		end     string
		endedAt time.Time
	}

	// stop is a planned stop of a host.
	stop struct {
		host *host
		at   time.Time
	}

	// hostFault is a kill or a freeze of a host.
	hostFault struct {
		host *host
		kind string
		at   time.Time
	}

	// processBed is a testbed whose engines are processes.
	processBed struct {
		*testbed
		// hasTroubles is set if engines send answers with troubles and have two software versions.
		hasTroubles bool
		startedAt   time.Time
		// idle holds the boots to which no fault applies.
		idle chan *boot
		logf func(format string, args ...any)

		mu    sync.Mutex
		boots []*boot
		stops []stop
		// hostFaults holds the kills and freezes of hosts.
		hostFaults []hostFault
	}
)

// ServeEngine runs an engine until SIGTERM; text is the value of EngineVariable.
func ServeEngine(text string) error {
	var p fake.Process
	if _, err := fmt.Sscan(text, &p.ID, &p.Address, &p.Started, &p.Weights, &p.Software, &p.HasTroubles); err != nil {
		return eris.Wrapf(err, "engine %q", text)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer cancel()
	line := ready.Line{Addresses: map[ready.Listener]spoke.Address{ready.Service: spoke.Address(p.Address)}}
	if err := ready.Write(os.Stdout, line); err != nil {
		return err
	}
	return p.Serve(ctx, os.Stderr)
}

func newProcessBed(program, directory string, hasTroubles bool, logf func(string, ...any)) (*processBed, error) {
	b := &processBed{
		testbed: &testbed{directory: directory, fleet: fleet.New(directory), store: fake.NewStore(), weights: 1},
		idle:    make(chan *boot, processCount), logf: logf, hasTroubles: hasTroubles, startedAt: time.Now(),
	}
	b.store.PutConfig(1, hostName, service, workspace, []string{permanentKey}, []fake.Route{
		{Name: chat, Kind: "streaming", MaxAttempts: 2, HasPrompt: true, IsResumable: true, Timeout: processRouteTimeout},
		{Name: quote, Kind: "streaming", MaxAttempts: 1, HasPrompt: true, Timeout: processRouteTimeout},
		{Name: book, Kind: "unsafe", MaxAttempts: 1, Timeout: processRouteTimeout},
		{Name: look, Kind: "safe", MaxAttempts: 2, Timeout: processRouteTimeout},
	})
	for range processCount {
		e, err := b.startEngine("", "")
		if err != nil {
			return b, err
		}
		b.store.PutProcess(&e.Process, service, false)
		b.idle <- e
	}
	for number := range hostCount {
		if err := b.addHost(program, number); err != nil {
			return b, err
		}
	}
	return b, nil
}

// startEngine starts an engine that serves once its address is free. Without an address it gets a new one, without an id
// one of its own.
func (b *processBed) startEngine(id, address string) (*boot, error) {
	if address == "" {
		port, err := ports.Free()
		if err != nil {
			return nil, err
		}
		address = fmt.Sprintf("127.0.0.1:%d", port)
	}
	b.testbed.mu.Lock()
	b.lastEngine++
	number, weights := b.lastEngine, b.weights
	b.testbed.mu.Unlock()
	name := fmt.Sprintf("engine-%d", number)
	if id == "" {
		id = "i-" + name
	}
	program, err := os.Executable()
	if err != nil {
		return nil, eris.Wrap(err, "own program")
	}
	e := &boot{Process: fake.Process{
		ID: id, Address: address, Started: time.Now().UnixMilli(), Weights: weights, Software: b.softwareOf(id, number), HasTroubles: b.hasTroubles,
	}}
	e.process, err = b.fleet.Start(context.Background(), fleet.Command{
		Name: name, Program: program,
		Environment: []string{fmt.Sprintf("%s=%s %s %d %d %s %t", EngineVariable, id, address, e.Started, weights, e.Software, e.HasTroubles)},
	})
	b.mu.Lock()
	defer b.mu.Unlock()
	b.boots = append(b.boots, e)
	return e, err
}

// softwareOf returns the software version of the next start of an engine: that of the start before under the same id, else
// mostly one that changes every few starts, so that versions come and go.
func (b *processBed) softwareOf(id string, number int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.boots {
		if e.ID == id {
			return e.Software
		}
	}
	if !b.hasTroubles || number <= processCount/2 || (number > processCount && number/processCount%2 == number%4/3) {
		return "v1"
	}
	return "v2"
}

// kill kills an engine.
func (b *processBed) kill(e *boot, kind string) {
	b.setEnd(e, kind)
	e.process.Kill()
}

func (b *processBed) setEnd(e *boot, kind string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e.end, e.endedAt = kind, time.Now()
	b.logf("%s %s at %s", kind, e.process.Name(), e.Address)
}

// isKilled reports whether the engine ended in another way than the regular one.
func (e *boot) isKilled() bool { return e.end != "" && e.end != exited }
