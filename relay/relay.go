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
	// Forward is the direction from the client to the target.
	Forward Direction = 0
	// Backward is the direction from the target to the client.
	Backward Direction = 1

	directions = 2

	// dialTimeout bounds a connection attempt to a target on the same machine.
	dialTimeout = 2 * time.Second
)

type (
	// Direction is one of the two directions through a relay.
	Direction int

	// Option configures a relay in New.
	Option func(*Relay)

	// Relay listens on a stable port and forwards each connection to its target.
	Relay struct {
		timer  spoke.Timer
		port   *boundPort
		ctx    context.Context
		cancel context.CancelFunc
		tasks  sync.WaitGroup

		mu     sync.Mutex
		target spoke.Address
		// listener is nil while connections are refused.
		listener net.Listener
		// listenErr joins the errors of opening and closing listeners.
		listenErr   error
		connections map[*connection]struct{}
		cut         bool
		// dropsConnects makes a cut leave new connections unanswered.
		dropsConnects bool
		// deaf is not nil while connects are left unanswered.
		deaf    *deafSocket
		shapers [directions]shaper
		// changed is closed and replaced on each change of conditions, to wake waiting goroutines.
		changed chan struct{}
	}

	// shaper holds the delay and rate of one direction, shared by all connections.
	shaper struct {
		delay time.Duration
		rate  spoke.ByteRate
		// busyUntil is the time at which the transmission of all reserved bytes ends.
		busyUntil time.Time
	}
)

// WithTimer sets the timer service for delays and rates; the default is the system's.
func WithTimer(service spoke.Timer) Option {
	return func(r *Relay) { r.timer = service }
}

// WithDroppedConnects leaves connects unanswered during a cut, as a partition does; by default a connection is accepted
// and stays silent.
func WithDroppedConnects() Option {
	return func(r *Relay) { r.dropsConnects = true }
}

// New binds the listen address, whose port may be 0, and forwards connections to the target.
// While the target is empty, connections are refused.
func New(listen, target spoke.Address, options ...Option) (*Relay, error) {
	bound, err := bindPort(listen)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{
		timer:       timer.NewSystem(),
		port:        bound,
		ctx:         ctx,
		cancel:      cancel,
		connections: make(map[*connection]struct{}),
		changed:     make(chan struct{}),
	}
	for _, option := range options {
		option(r)
	}
	r.SetTarget(target)
	if r.listenErr != nil {
		return nil, eris.Wrap(r.Close(), "open relay")
	}
	return r, nil
}

// Address returns the address on which the relay accepts connections.
func (r *Relay) Address() spoke.Address {
	return r.port.address
}

// SetTarget changes the target of new connections; if it is empty, they are refused, as after
// the end of a process.
func (r *Relay) SetTarget(target spoke.Address) {
	r.update(func() { r.target = target })
}

// Cut stops delivery in both directions, as a network partition does: connections stay
// open, new ones are accepted, and data is buffered until its sender resets the connection.
func (r *Relay) Cut() { r.update(func() { r.cut = true }) }

// Restore ends a cut; buffered data is delivered, as it would be by retransmission.
func (r *Relay) Restore() {
	r.update(func() {
		for conn := range r.connections {
			conn.dropHeldUp()
		}
		r.cut = false
	})
}

// Silence stops delivery on all open connections permanently, while new ones work; when one
// side ends a silent connection, the other side does not detect it.
func (r *Relay) Silence() {
	r.update(func() {
		for conn := range r.connections {
			conn.silent = true
		}
	})
}

// Reset closes all open connections with a reset.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.connections {
		conn.reset()
	}
}

// Delay sets the one-way delay of a direction.
func (r *Relay) Delay(direction Direction, delay time.Duration) {
	r.update(func() { r.shapers[direction].delay = delay })
}

// Limit sets the rate of a direction, shared by all connections; zero means no limit.
func (r *Relay) Limit(direction Direction, rate spoke.ByteRate) {
	r.update(func() {
		r.shapers[direction].rate = rate
		r.shapers[direction].busyUntil = time.Time{}
	})
}

// OpenConnections returns the number of connections through the relay.
func (r *Relay) OpenConnections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.connections)
}

// Close closes the relay and resets all its connections.
func (r *Relay) Close() error {
	r.cancel()
	r.update(func() { r.target, r.cut = "", false })
	r.Reset()
	r.tasks.Wait()
	return errors.Join(r.listenErr, r.port.release())
}

func (r *Relay) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	r.updateListener()
	close(r.changed)
	r.changed = make(chan struct{})
}

// updateListener listens if there is a target, and also during a cut, because a partition
// does not refuse connections; the mutex must be held.
func (r *Relay) updateListener() {
	isOpen := r.ctx.Err() == nil
	shouldDrop := isOpen && r.cut && r.dropsConnects
	shouldListen := isOpen && !shouldDrop && (r.target != "" || r.cut)
	if shouldDrop && r.deaf == nil {
		deaf, err := r.port.listenDeaf()
		r.listenErr = errors.Join(r.listenErr, err)
		r.deaf = deaf
	}
	switch {
	case shouldListen && r.listener == nil:
		r.openListener()
	case !shouldListen && r.listener != nil:
		r.listenErr = errors.Join(r.listenErr, r.listener.Close())
		r.listener = nil
	}
	if r.deaf == nil {
		return
	}
	if shouldDrop {
		r.deaf.fill(r.port.address)
		return
	}
	r.listenErr = errors.Join(r.listenErr, r.deaf.close())
	r.deaf = nil
}

// openListener opens the listener; the mutex must be held.
func (r *Relay) openListener() {
	listener, err := r.port.listen()
	if err != nil {
		r.listenErr = errors.Join(r.listenErr, err)
		return
	}
	r.listener = listener
	r.tasks.Go(func() { r.accept(listener) })
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

// serve forwards one connection; while the relay is cut, it does not dial the target, because
// no connection can be established across a partition.
func (r *Relay) serve(client net.Conn) {
	conn := &connection{relay: r, ends: [directions]net.Conn{client, nil}}
	if !r.register(conn) {
		conn.reset()
		return
	}
	defer r.unregister(conn)
	if !r.waitWhileCut(conn) || isReset(client) {
		return
	}
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	dialer := net.Dialer{Timeout: dialTimeout}
	server, err := dialer.DialContext(r.ctx, "tcp", string(target))
	if err != nil || !r.attach(conn, server) {
		return
	}
	conn.run()
}

func (r *Relay) register(conn *connection) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return false
	}
	r.connections[conn] = struct{}{}
	return true
}

func (r *Relay) attach(conn *connection, server net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	conn.ends[Backward] = server
	return !conn.closed
}

func (r *Relay) unregister(conn *connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, conn)
	conn.reset()
}
