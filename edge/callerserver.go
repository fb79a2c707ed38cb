package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/drain"
)

const (
	// unusedTime is the time without bytes after which a stopping host closes a connection without a request.
	unusedTime = 500 * time.Millisecond
	// shutdownTime is the time that the server has at most to close its connections.
	shutdownTime = 100 * time.Millisecond
)

// callerServer serves the calls of callers.
type callerServer struct {
	*http.Server
	listener    net.Listener
	connections *drain.Connections
}

// newCallerServer returns a server whose socket is open.
func newCallerServer(handler http.Handler, at spoke.Address) (*callerServer, error) {
	listener, err := net.Listen("tcp", string(at))
	if err != nil {
		return nil, err
	}
	connections := drain.NewConnections()
	return &callerServer{
		Server: &http.Server{
			Handler: handler, ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
			ConnState: connections.ObserveState,
		},
		listener: connections.Listen(listener), connections: connections,
	}, nil
}

// stop refuses new connections and returns once all requests have their answers. Once Shutdown has begun, the
// server drops requests that it reads, so it begins only when no request is expected or the deadline is near.
func (s *callerServer) stop(ctx context.Context, deadline time.Time) error {
	_ = s.listener.Close()
	quietCtx, cancelQuiet := context.WithDeadline(ctx, deadline.Add(-shutdownTime))
	defer cancelQuiet()
	s.connections.AwaitQuiet(quietCtx, unusedTime)
	shutdownCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return s.Shutdown(shutdownCtx)
}
