package caller

import (
	"context"
	"net"
	"net/http"
	"time"
)

type (
	// listener wraps the connections that it accepts.
	listener struct {
		net.Listener
		writeTimeout time.Duration
	}

	// Option changes how callers are served.
	Option func(*listener)

	// connKey is the key of a caller's connection in the context of its requests.
	connKey struct{}
)

// WithWriteTimeout sets the time without progress after which the answer to a caller is given up; the default is 30 s.
func WithWriteTimeout(timeout time.Duration) Option {
	return func(l *listener) { l.writeTimeout = timeout }
}

// Serve serves callers on the listener until the server ends, and returns the error of http.Server.Serve. The server must
// have a handler.
func Serve(server *http.Server, at net.Listener, opts ...Option) error {
	callers := listener{Listener: at, writeTimeout: writeTimeout}
	for _, opt := range opts {
		opt(&callers)
	}
	next := server.ConnContext
	server.ConnContext = func(ctx context.Context, accepted net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, accepted)
		}
		return context.WithValue(ctx, connKey{}, accepted)
	}
	server.Handler, server.ConnState = resetUnfinished(server.Handler), finishReused(server.ConnState)
	return server.Serve(callers)
}

// Accept waits for the next connection.
func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted, writeTimeout: l.writeTimeout}, nil
}

// connOf returns the connection of a request, nil if its server was not started with Serve.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}
