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
	// maxDataCentres keeps the addresses of data centres apart from the platform's.
	maxDataCentres  = 200
	platformAddress = spoke.Address("127.0.250.1:0")
)

type (
	// Setup is a running plan.
	Setup struct {
		plan       Plan
		fleet      *Fleet
		peerSecret string

		mu sync.Mutex
		// commands gives the command by which each part is started again.
		commands map[string]func() (Command, error)
		// relays lists the relays in front of a process by its name.
		relays map[string][]*relay.Relay
		// links groups relays by the names of the two sides.
		links map[[2]string]Link
		// peers gives the relay from a data centre to a host.
		peers map[peerRoute]*relay.Relay
	}

	peerRoute struct {
		from spoke.DataCentreID
		to   spoke.HostID
	}
)

// Launch starts a plan and returns when all its processes are ready; on failure nothing
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
		peers:      make(map[peerRoute]*relay.Relay),
	}
	if err := s.launch(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Setup) launch(ctx context.Context) error {
	if err := s.connect(); err != nil {
		return err
	}
	s.register()
	if err := s.Start(ctx, PlatformName); err != nil {
		return err
	}
	if err := s.startAll(ctx, s.backEnds(), len(s.commands)); err != nil {
		return err
	}
	parallel := len(s.commands)
	if s.plan.DirectPeers {
		// Each host's settings name the hosts that already run.
		parallel = 1
	}
	return s.startAll(ctx, s.hosts(), parallel)
}

// Plan returns the plan with the credentials that were chosen.
func (s *Setup) Plan() Plan { return s.plan }

// Process returns the latest process of a host, upstream, store host or the platform.
func (s *Setup) Process(name string) (*Process, error) { return s.fleet.Process(name) }

// Start starts an ended part, or starts it for the first time, and points its relays to it.
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
	s.point(process)
	return nil
}

// Link returns the relays between two data centres in both directions, between a data
// centre and the platform, or, with an empty second name, in front of one relayed part.
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

// LinkFrom returns the relays of connections that one side opens to the other.
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

func (s *Setup) startAll(ctx context.Context, names []string, parallel int) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(parallel, 1))
	for _, name := range names {
		group.Go(func() error { return s.Start(ctx, name) })
	}
	return group.Wait()
}

// point lets the relays in front of a process lead to it until it ends; afterwards they
// lead nowhere, because the system may give its port to another process.
func (s *Setup) point(process *Process) {
	target := process.Address(ready.Service)
	if internal := process.Address(ready.Internal); internal != "" {
		target = internal
	}
	s.aim(process, target)
	go func() {
		<-process.Exited()
		s.aim(process, "")
	}()
}

// aim does nothing if another process has taken the name.
func (s *Setup) aim(process *Process, target spoke.Address) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if latest, err := s.fleet.Process(process.Name()); err != nil || latest != process {
		return
	}
	for _, each := range s.relays[process.Name()] {
		each.SetTarget(target)
	}
}

// listenAddress returns the loopback address of a data centre with a system-given port.
func listenAddress(centre int) spoke.Address {
	return spoke.Address(fmt.Sprintf("127.0.%d.1:0", centre+1))
}

// Hosts returns the names of all entry hosts in the order of the plan.
func (s *Setup) Hosts() []string { return s.hosts() }
