package fleet

import (
	"context"
	"crypto/rand"
	"fmt"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/ready"
	"magnoliaspoke.example/spoke/relay"
)

const (
	// maxDataCentres keeps the addresses of data centres, 127.0.1.1 to 127.0.200.1, distinct
	// from platformAddress.
	maxDataCentres  = 200
	platformAddress = spoke.Address("127.0.250.1:0")
)

type (
	// Setup is the running processes and relays of a plan.
	Setup struct {
		plan       Plan
		fleet      *Fleet
		peerSecret string

		mu sync.Mutex
		// commands holds for each process name the function that builds its command.
		commands map[string]func() (Command, error)
		// relays holds the relays in front of each process by its name.
		relays map[string][]*relay.Relay
		// links groups the relays by the names of the connecting side and of the target side.
		links map[[2]string]Link
		// peerRelays holds the relay from a data centre to a host.
		peerRelays map[peerRoute]*relay.Relay
	}

	// peerRoute is the key of a relay between a data centre and a host.
	peerRoute struct {
		from spoke.DataCentreID
		to   spoke.HostID
	}
)

// Launch starts a plan and returns once all its processes are ready. If it fails, no process
// is left running.
func Launch(ctx context.Context, plan Plan) (*Setup, error) {
	if err := plan.Validate(); err != nil {
		return nil, eris.Wrap(err, "plan")
	}
	if plan.AdminKey == "" {
		plan.AdminKey = rand.Text()
	}
	if plan.OrderCredential == "" {
		plan.OrderCredential = rand.Text()
	}
	s := &Setup{
		plan:       plan,
		fleet:      New(plan.Directory),
		peerSecret: rand.Text(),
		commands:   make(map[string]func() (Command, error)),
		relays:     make(map[string][]*relay.Relay),
		links:      make(map[[2]string]Link),
		peerRelays: make(map[peerRoute]*relay.Relay),
	}
	if err := s.launch(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Setup) launch(ctx context.Context) error {
	if err := s.openRelays(); err != nil {
		return err
	}
	s.registerCommands()
	if err := s.Start(ctx, PlatformName); err != nil {
		return err
	}
	if err := s.startAll(ctx, s.backEnds(), len(s.commands)); err != nil {
		return err
	}
	parallel := len(s.commands)
	if s.plan.DirectPeers {
		// The settings of each host list the hosts that already run, so hosts start in sequence.
		parallel = 1
	}
	return s.startAll(ctx, s.hosts(), parallel)
}

// Plan returns the plan with the generated credentials filled in.
func (s *Setup) Plan() Plan { return s.plan }

// Process returns the latest process of a host, an upstream, a store host or the platform.
func (s *Setup) Process(name string) (*Process, error) { return s.fleet.Process(name) }

// Start starts a process for the first time or after its end, and connects its relays to it.
func (s *Setup) Start(ctx context.Context, name string) error {
	s.mu.Lock()
	build, ok := s.commands[name]
	s.mu.Unlock()
	if !ok {
		return eris.Wrapf(ErrUnknownProcess, "process %q", name)
	}
	command, err := build()
	if err != nil {
		return err
	}
	process, err := s.fleet.Start(ctx, command)
	if err != nil {
		return err
	}
	s.connectRelays(process)
	return nil
}

// Link returns the relays between two data centres in both directions, between a data
// centre and the platform, or, if the second name is empty, in front of one relayed upstream
// or store host.
func (s *Setup) Link(a, b string) (Link, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := slices.Clone(s.links[[2]string{a, b}])
	if a != b {
		found = append(found, s.links[[2]string{b, a}]...)
	}
	if len(found) == 0 {
		return nil, eris.Wrapf(ErrUnknownLink, "link between %q and %q", a, b)
	}
	return found, nil
}

// LinkFrom returns the relays for the connections that one side opens to the other.
func (s *Setup) LinkFrom(from, to string) (Link, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.links[[2]string{from, to}]
	if !ok {
		return nil, eris.Wrapf(ErrUnknownLink, "link from %q to %q", from, to)
	}
	return found, nil
}

// Close kills all processes and closes all relays.
func (s *Setup) Close() {
	s.fleet.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, link := range s.links {
		for _, each := range link {
			_ = each.Close()
		}
	}
}

// startAll starts the named processes, at most parallel of them at a time.
func (s *Setup) startAll(ctx context.Context, names []string, parallel int) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(parallel, 1))
	for _, name := range names {
		group.Go(func() error { return s.Start(ctx, name) })
	}
	return group.Wait()
}

// connectRelays makes the relays in front of a process forward to it until it ends. After that
// they refuse connections, because the operating system may assign the port to another process.
func (s *Setup) connectRelays(process *Process) {
	target := process.Address(ready.Service)
	if internal := process.Address(ready.Internal); internal != "" {
		target = internal
	}
	s.setRelayTargets(process, target)
	go func() {
		<-process.Exited()
		s.setRelayTargets(process, "")
	}()
}

// setRelayTargets sets the target of the relays in front of a process. It does nothing if a
// later process has the same name.
func (s *Setup) setRelayTargets(process *Process, target spoke.Address) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if latest, err := s.fleet.Process(process.Name()); err != nil || latest != process {
		return
	}
	for _, each := range s.relays[process.Name()] {
		each.SetTarget(target)
	}
}

// listenAddress returns the loopback address of a data centre with port 0, for which the
// operating system assigns a free port.
func listenAddress(centre int) spoke.Address {
	return spoke.Address(fmt.Sprintf("127.0.%d.1:0", centre+1))
}

// Hosts returns the names of all entry hosts in the order of the plan.
func (s *Setup) Hosts() []string { return s.hosts() }
