package relay

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/timer"
)

const (
	// Forward is the direction from the side that connects to the target.
	Forward Direction = 0
	// Backward is the direction from the target to the side that connects.
	Backward Direction = 1

	directions = 2

	// dialLimit bounds a connection attempt to a target on the same machine.
	dialLimit = 2 * time.Second
)

type (
	// Direction is one of the two ways through a relay.
	Direction int

	// Option changes a relay that New returns.
	Option func(*Relay)

	// Relay listens on a stable port and forwards each connection to its target.
	Relay struct {
		timer  spoke.Timer
		port   *port
		ctx    context.Context
		cancel context.CancelFunc
		tasks  sync.WaitGroup

		mu     sync.Mutex
		target spoke.Address
		// listener is nil while connections are refused.
		listener net.Listener
		// failure is the first error of a listener.
		failure error
		links   map[*link]struct{}
		cut     bool
		lanes   [directions]lane
		// changed is closed and replaced on each change that waiting pumps must see.
		changed chan struct{}
	}

	// lane holds the conditions of one direction, shared by all connections.
	lane struct {
		delay time.Duration
		rate  spoke.ByteRate
		// free is the time at which the bandwidth that was handed out is used up.
		free time.Time
	}
)

// WithTimer makes delays and rates follow another timer service than the system's.
func WithTimer(service spoke.Timer) Option {
	return func(r *Relay) { r.timer = service }
}

// New takes the address, whose port may be 0, and forwards to the target. While the target
// is empty, connections are refused.
func New(listen, target spoke.Address, options ...Option) (*Relay, error) {
	held, err := holdPort(listen)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{
		timer:   timer.NewSystem(),
		port:    held,
		ctx:     ctx,
		cancel:  cancel,
		links:   make(map[*link]struct{}),
		changed: make(chan struct{}),
	}
	for _, option := range options {
		option(r)
	}
	r.SetTarget(target)
	if r.failure != nil {
		return nil, eris.Wrap(r.Close(), "open relay")
	}
	return r, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() spoke.Address {
	return r.port.address
}

// SetTarget changes the target of new connections; an empty one refuses them, as the
// address of an ended process does.
func (r *Relay) SetTarget(target spoke.Address) {
	r.update(func() { r.target = target })
}

// Cut lets nothing through in either direction, as a partition does: connections stay
// open, new ones are accepted, and what is sent waits.
func (r *Relay) Cut() { r.update(func() { r.cut = true }) }

// Restore ends a cut; what waited is delivered, as retransmissions would be.
func (r *Relay) Restore() { r.update(func() { r.cut = false }) }

// Silence makes all open connections silent for good, while new ones work; neither side
// is told that a silent connection ended.
func (r *Relay) Silence() {
	r.update(func() {
		for open := range r.links {
			open.silent = true
		}
	})
}

// Reset closes all open connections with a reset.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for open := range r.links {
		open.reset()
	}
}

// Delay sets the one-way delay of a direction.
func (r *Relay) Delay(direction Direction, delay time.Duration) {
	r.update(func() { r.lanes[direction].delay = delay })
}

// Limit sets the rate of a direction, shared by all connections; zero means no limit.
func (r *Relay) Limit(direction Direction, rate spoke.ByteRate) {
	r.update(func() {
		r.lanes[direction].rate = rate
		r.lanes[direction].free = time.Time{}
	})
}

// Open returns the number of connections that pass through the relay.
func (r *Relay) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links)
}

// Close ends the relay and all its connections.
func (r *Relay) Close() error {
	r.cancel()
	r.update(func() { r.target, r.cut = "", false })
	r.Reset()
	r.tasks.Wait()
	return errors.Join(r.failure, r.port.release())
}

func (r *Relay) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	r.openOrRefuse()
	close(r.changed)
	r.changed = make(chan struct{})
}

// openOrRefuse listens if there is a target, and also during a cut, because a partition
// does not refuse connections; the mutex must be held.
func (r *Relay) openOrRefuse() {
	wanted := (r.target != "" || r.cut) && r.ctx.Err() == nil
	switch {
	case wanted && r.listener == nil:
		listener, err := r.port.listen()
		if err != nil {
			r.failure = errors.Join(r.failure, err)
			return
		}
		r.listener = listener
		r.tasks.Go(func() { r.accept(listener) })
	case !wanted && r.listener != nil:
		r.failure = errors.Join(r.failure, r.listener.Close())
		r.listener = nil
	}
}

func (r *Relay) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r.tasks.Go(func() { r.serve(conn) })
	}
}

// serve forwards one connection; while the relay is cut, the target is not dialled, since
// a partition lets no connection be made.
func (r *Relay) serve(client net.Conn) {
	current := &link{relay: r, ends: [directions]net.Conn{client, nil}}
	if !r.register(current) {
		current.reset()
		return
	}
	defer r.unregister(current)
	if !r.waitOpen(current) {
		return
	}
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	dialer := net.Dialer{Timeout: dialLimit}
	server, err := dialer.DialContext(r.ctx, "tcp", string(target))
	if err != nil || !r.attach(current, server) {
		return
	}
	current.run()
}

func (r *Relay) register(current *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return false
	}
	r.links[current] = struct{}{}
	return true
}

func (r *Relay) attach(current *link, server net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	current.ends[Backward] = server
	return !current.closed
}

func (r *Relay) unregister(current *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, current)
	current.reset()
}
