package coord

import (
	"net"
	"net/http"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/timer"
)

const (
	// defaultTimeout bounds a call; the service answers in milliseconds when it is well.
	defaultTimeout = 2 * time.Second
	// dialTimeout bounds the connection set-up inside the call's timeout.
	dialTimeout = 500 * time.Millisecond
	// idleConnections covers the calls that an entry host has in flight at once.
	idleConnections = 32
)

type (
	// Client implements spoke.KeyValue, spoke.Leases and spoke.HostList.
	Client struct {
		base    string
		http    *http.Client
		timer   spoke.Timer
		timeout time.Duration
	}

	// Option changes a Client.
	Option func(*Client)
)

var (
	_ spoke.KeyValue = (*Client)(nil)
	_ spoke.Leases   = (*Client)(nil)
	_ spoke.HostList = (*Client)(nil)
)

// WithTimeout bounds each call; a watch may take its own wait on top.
func WithTimeout(timeout time.Duration) Option { return func(c *Client) { c.timeout = timeout } }

// WithTransport sets the transport, for tests without sockets.
func WithTransport(transport http.RoundTripper) Option {
	return func(c *Client) { c.http.Transport = transport }
}

// WithTimer sets the clock that lease deadlines are counted on.
func WithTimer(t spoke.Timer) Option { return func(c *Client) { c.timer = t } }

// New returns a client of the key-value service at an address.
func New(at spoke.Address, opts ...Option) *Client {
	client := &Client{
		base:    "http://" + string(at),
		http:    &http.Client{Transport: newTransport()},
		timer:   timer.NewSystem(),
		timeout: defaultTimeout,
	}
	for _, opt := range opts {
		opt(client)
	}
	return client
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     time.Minute,
	}
}
