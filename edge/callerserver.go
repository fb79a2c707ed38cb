package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/drain"
	"magnoliaspoke.example/spoke/guard"
)

// callerServer serves the calls of callers.
type callerServer struct {
	*http.Server
	listener    net.Listener
	connections *drain.Connections
}

// newCallerServer returns a server whose socket is open.
func newCallerServer(handler http.Handler, at spoke.Address, bounds *guard.Guard) (*callerServer, error) {
	listener, err := net.Listen("tcp", string(at))
	if err != nil {
		return nil, err
	}
	connections := drain.NewConnections()
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: connections.ObserveState,
	}
	return &callerServer{Server: server, listener: bounds.Protect(server, connections.Listen(listener), guard.Callers), connections: connections}, nil
}

// stop refuses new connections and returns once all requests have their answers, or at the deadline.
func (s *callerServer) stop(ctx context.Context, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return s.connections.Shutdown(ctx, s.Server, s.listener)
}
