package detour

import (
	"context"
	"net"
	"net/http"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
)

const (
	// Path is the path of the requests for detours.
	Path = "/detour"
	// protocol is the name of the tunnel's protocol in the upgrade.
	protocol = "spoke-detour"
)

type (
	// Lookup returns the address of a listed upstream.
	Lookup = func(spoke.UpstreamID) (spoke.Address, bool)

	// Option changes a Handler.
	Option func(*Handler)

	// Handler relays connections of other hosts to upstreams; it is safe for concurrent use.
	Handler struct {
		lookup Lookup
		dial   func(ctx context.Context, network, address string) (net.Conn, error)
		log    logrus.FieldLogger
		limit  int
	}
)

// WithLog sets the log.
func WithLog(log logrus.FieldLogger) Option { return func(h *Handler) { h.log = log } }

// WithLimit sets the number of tunnels that may be open at a time.
func WithLimit(maxOpen int) Option { return func(h *Handler) { h.limit = maxOpen } }

// WithDial replaces the dialer of connections to upstreams.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(h *Handler) { h.dial = dial }
}

// NewHandler returns a handler that connects to the upstreams that lookup finds.
func NewHandler(lookup Lookup, options ...Option) *Handler {
	h := &Handler{lookup: lookup}
	for _, option := range options {
		option(h)
	}
	return h
}

// ServeHTTP connects to the upstream that the request names and turns the request's connection into a tunnel.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {}

// Open returns the number of open tunnels, including those whose connection is being made.
func (h *Handler) Open() int { return 0 }

// Total returns the number of tunnels opened so far.
func (h *Handler) Total() int { return 0 }

// Drain waits until no tunnel is open or ctx ends, and then closes the handler.
func (h *Handler) Drain(ctx context.Context) error { return nil }

// Close resets all open tunnels, refuses further ones and returns when none is left.
func (h *Handler) Close() error { return nil }
