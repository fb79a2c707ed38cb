package detour

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/dial"
)

const (
	// Path is the path of the requests for detours.
	Path = "/detour"

	// protocol is the name of the tunnel's protocol in the upgrade.
	protocol = "spoke-detour"
	// upstreamParameter is the query parameter that names the upstream.
	upstreamParameter = "upstream"
	// upstreamTimeout bounds the time to connect to an upstream.
	upstreamTimeout = 700 * time.Millisecond
	// defaultLimit is the number of tunnels that may be open at a time if nothing else is set.
	defaultLimit = 1024
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

		// ctx ends when the handler is closed.
		ctx    context.Context
		cancel context.CancelFunc

		mu      sync.Mutex
		tunnels map[*tunnel]struct{}
		// open includes the connections that are being made.
		open  int
		total int
		// isEnding is set when no further tunnels are opened.
		isEnding bool
		// ended is closed when no tunnel is open and none will be.
		ended chan struct{}
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
	discard := logrus.New()
	discard.SetOutput(io.Discard)
	h := &Handler{
		lookup: lookup, dial: dial.New(upstreamTimeout).DialContext, log: discard, limit: defaultLimit,
		tunnels: make(map[*tunnel]struct{}), ended: make(chan struct{}),
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	for _, option := range options {
		option(h)
	}
	return h
}

// ServeHTTP connects to the upstream that the request names and turns the request's connection into a tunnel.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Upgrade") != protocol {
		http.Error(w, "not an upgrade to "+protocol, http.StatusUpgradeRequired)
		return
	}
	id := spoke.UpstreamID(r.URL.Query().Get(upstreamParameter))
	if !h.acquire() {
		h.refuse(w, r, id, codeBusy, nil)
		return
	}
	upstream, code, err := h.connect(r.Context(), id)
	if err != nil || code != "" {
		h.release(nil)
		h.refuse(w, r, id, code, err)
		return
	}
	if err := h.start(w, upstream); err != nil {
		_ = dial.Reset(upstream)
		h.release(nil)
		h.log.WithError(err).WithField("upstream", id).Warn("detour not opened")
	}
}

// Open returns the number of open tunnels, including those whose connection is being made.
func (h *Handler) Open() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.open
}

// Total returns the number of tunnels opened so far.
func (h *Handler) Total() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.total
}

// Drain refuses further tunnels, waits until none is open or ctx ends, and then closes the handler; it returns the error of
// ctx if tunnels were still open.
func (h *Handler) Drain(ctx context.Context) error {
	h.end()
	var err error
	select {
	case <-h.ended:
	case <-ctx.Done():
		err = ctx.Err()
	}
	return errors.Join(err, h.Close())
}

// Close resets all open tunnels, refuses further ones and returns when none is left.
func (h *Handler) Close() error {
	h.end()
	h.cancel()
	h.mu.Lock()
	for t := range h.tunnels {
		t.abort()
	}
	h.mu.Unlock()
	<-h.ended
	return nil
}

func (h *Handler) acquire() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isEnding || h.open >= h.limit {
		return false
	}
	h.open++
	return true
}

// release ends what acquire began; the tunnel is nil if none was opened.
func (h *Handler) release(t *tunnel) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.tunnels, t)
	h.open--
	if h.isEnding && h.open == 0 {
		close(h.ended)
	}
}

func (h *Handler) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.isEnding && h.open == 0 {
		close(h.ended)
	}
	h.isEnding = true
}

// connect connects to an upstream; without a connection it returns the code of the answer.
func (h *Handler) connect(ctx context.Context, id spoke.UpstreamID) (net.Conn, errorCode, error) {
	address, ok := h.lookup(id)
	if !ok {
		return nil, codeUnlisted, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(h.ctx, cancel)()
	conn, err := h.dial(ctx, "tcp", string(address))
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, codeRefused, err
	case err != nil:
		return nil, codeUnreachable, err
	}
	return conn, "", nil
}

// start takes over the connection of a request and relays until either side ends.
func (h *Handler) start(w http.ResponseWriter, upstream net.Conn) error {
	raw, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, "connection cannot be taken over", http.StatusInternalServerError)
		return err
	}
	// The options and the state of the connection are those of the TCP connection itself.
	if wrapping, ok := raw.(interface{ NetConn() net.Conn }); ok {
		raw = wrapping.NetConn()
	}
	_ = raw.SetDeadline(time.Time{})
	if err := dial.Accepted(raw); err != nil {
		_ = raw.Close()
		return err
	}
	t := &tunnel{host: raw, upstream: upstream, frames: frameReader{reader: buffered.Reader}}
	t.ended = func() { h.release(t) }
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tunnels[t] = struct{}{}
	h.total++
	if h.ctx.Err() != nil {
		t.abort()
	}
	t.start()
	return nil
}

func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, id spoke.UpstreamID, code errorCode, err error) {
	fields := logrus.Fields{"upstream": id, "from": r.RemoteAddr, "code": string(code)}
	if err != nil {
		fields[logrus.ErrorKey] = err
	}
	h.log.WithFields(fields).Info("detour refused")
	w.Header().Set(errorHeader, string(code))
	w.WriteHeader(refusals[code].status)
}
