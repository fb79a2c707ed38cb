package guard

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"
)

type (
	// listener admits the connections that it accepts.
	listener struct {
		net.Listener
		guard *Guard
		group Group
	}

	// connKey is the key of a connection in the context of its requests.
	connKey struct{}
)

// Protect makes a server keep to the bounds and returns the listener on which it must serve. The server must have its
// handler.
func (g *Guard) Protect(server *http.Server, on net.Listener, group Group) net.Listener {
	nextState, nextContext, handler := server.ConnState, server.ConnContext, server.Handler
	server.ConnState = func(accepted net.Conn, state http.ConnState) {
		if c := connOf(accepted); c != nil {
			g.observe(c, state)
		}
		if nextState != nil {
			nextState(accepted, state)
		}
	}
	server.ConnContext = func(ctx context.Context, accepted net.Conn) context.Context {
		if nextContext != nil {
			ctx = nextContext(ctx, accepted)
		}
		return context.WithValue(ctx, connKey{}, connOf(accepted))
	}
	server.Handler = g.handle(handler)
	return &listener{on, g, group}
}

// Accept returns the next connection for which there is room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(accepted, l.group); c != nil {
			return c, nil
		}
	}
}

// connOf returns the connection that a server's connection wraps, nil if there is none.
func connOf(accepted net.Conn) *conn {
	for {
		if c, ok := accepted.(*conn); ok {
			return c
		}
		wrapping, ok := accepted.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		accepted = wrapping.NetConn()
	}
}

// observe follows the state of a connection. A server reports it as active once it has parsed a head, and as idle once the
// next one is expected.
func (g *Guard) observe(c *conn, state http.ConnState) {
	switch state {
	case http.StateActive:
		c.inHead.Store(false)
		g.enter(c, Running)
	case http.StateIdle:
		g.release(c)
		c.head = headScanner{}
		g.enter(c, Idle)
		c.inHead.Store(true)
	case http.StateClosed:
		g.release(c)
	case http.StateHijacked:
		g.forget(c)
	}
}

// handle returns a handler that reserves the memory of each request until it ends, and refuses requests without memory.
func (g *Guard) handle(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		switch {
		case c == nil:
		case c.isClosed.Load():
			panic(http.ErrAbortHandler)
		case c.group != Callers && r.ContentLength != 0:
			g.refuse(w, c, bodyUnexpected)
			return
		case !g.takeCall(c, r):
			g.refuse(w, c, noMemory)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// takeCall replaces the estimate of a head by the memory of the parsed one and of the call.
func (g *Guard) takeCall(c *conn, r *http.Request) bool {
	g.mu.Lock()
	held := g.ledger.Held(c.id)
	g.mu.Unlock()
	return g.reserve(c, costOf(r)+callBytes-held)
}

// refuse answers a request that is not run and does not wait for its body.
func (g *Guard) refuse(w http.ResponseWriter, c *conn, why reason) {
	g.mu.Lock()
	g.counts[why.name]++
	g.ledger.Refuse(time.Now(), c.id)
	g.mu.Unlock()
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex() // Without it, the server would read a part of the body first.
	body := g.body(why.name)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set("Connection", "close")
	if why.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter)
	}
	w.WriteHeader(why.status)
	_, _ = w.Write(body) // The caller may have left.
	_ = control.Flush()
	c.lingers.Store(true)
	c.isClosed.Store(true)
}
