package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pollInterval is the interval at which connections are checked.
	pollInterval = 20 * time.Millisecond
	// unusedTime is the time without bytes after which no request is expected on a connection.
	unusedTime = 500 * time.Millisecond
	// shutdownTime is the time that the server has at most to close its connections.
	shutdownTime = 100 * time.Millisecond
)

type (
	// Connections are the open connections of one HTTP server.
	Connections struct {
		mu   sync.Mutex
		open map[net.Conn]*activity
	}

	// activity is what a connection was last used for.
	activity struct {
		isBusy atomic.Bool
		// usedAt is the time of the last byte read or the last change, in nanoseconds since 1970.
		usedAt atomic.Int64
	}

	listener struct {
		net.Listener
		connections *Connections
	}

	// observedConn records when bytes are read: the server counts a connection as idle until it has read a
	// whole request header.
	observedConn struct {
		*net.TCPConn
		activity    *activity
		connections *Connections
	}
)

// NewConnections returns the connections of a server, which must use Listen and ObserveState.
func NewConnections() *Connections { return &Connections{open: make(map[net.Conn]*activity)} }

// Listen returns a listener that observes the connections it accepts.
func (c *Connections) Listen(on net.Listener) net.Listener { return &listener{on, c} }

// ObserveState records the state of a connection, which may be wrapped; it is the ConnState function of the server.
func (c *Connections) ObserveState(conn net.Conn, state http.ConnState) {
	for {
		wrapping, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		conn = wrapping.NetConn()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	used := c.open[conn]
	if used == nil {
		return
	}
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	default:
		used.isBusy.Store(state == http.StateActive)
		used.usedAt.Store(time.Now().UnixNano())
	}
}

// Shutdown closes the listener and shuts the server down, by the deadline of ctx, which it must have. Once
// http.Server.Shutdown has begun, the server drops requests that it reads, so it begins only when no request is
// expected or the deadline is near.
func (c *Connections) Shutdown(ctx context.Context, server *http.Server, on net.Listener) error {
	_ = on.Close()
	deadline, _ := ctx.Deadline()
	quietCtx, cancel := context.WithDeadline(ctx, deadline.Add(-shutdownTime))
	defer cancel()
	c.AwaitQuiet(quietCtx, unusedTime)
	return server.Shutdown(ctx)
}

// AwaitQuiet waits until no connection has a request or has been used for the given time, or until ctx ends.
func (c *Connections) AwaitQuiet(ctx context.Context, unused time.Duration) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !c.areQuiet(unused) {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Connections) areQuiet(unused time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := time.Now().Add(-unused).UnixNano()
	for _, used := range c.open {
		if used.isBusy.Load() || used.usedAt.Load() > since {
			return false
		}
	}
	return true
}

func (c *Connections) add(conn *net.TCPConn) net.Conn {
	observed := &observedConn{conn, &activity{}, c}
	observed.activity.usedAt.Store(time.Now().UnixNano())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[observed] = observed.activity
	return observed
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok {
		return l.connections.add(tcp), nil
	}
	return conn, err
}

// Read reads and records that the connection is used.
func (c *observedConn) Read(into []byte) (int, error) {
	count, err := c.TCPConn.Read(into)
	if count > 0 {
		c.activity.usedAt.Store(time.Now().UnixNano())
	}
	return count, err
}

// Close closes the connection and forgets it. Listeners around this one may refuse connections that the server never sees.
func (c *observedConn) Close() error {
	err := c.TCPConn.Close()
	c.connections.mu.Lock()
	defer c.connections.mu.Unlock()
	delete(c.connections.open, c)
	return err
}
