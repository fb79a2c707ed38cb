package coord

import (
	"net"
	"net/http"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/fetch"
	"magnoliaspoke.example/spoke/timer"
)

const (
	// defaultTimeout bounds a call; a healthy service responds within milliseconds.
	defaultTimeout = 2 * time.Second
	// dialTimeout bounds the connection set-up, which is part of the call's timeout.
	dialTimeout = 500 * time.Millisecond
	// maxIdleConns covers the calls that an entry host has in flight at the same time.
	maxIdleConns = 32
)

type (
	// Client implements spoke.KeyValue, spoke.Leases and spoke.HostList.
	Client struct {
		base    string
		http    *http.Client
		timer   spoke.Timer
		timeout time.Duration
	}

	// Option changes a setting of a Client.
	Option func(*Client)
)

var (
	_ spoke.KeyValue = (*Client)(nil)
	_ spoke.Leases   = (*Client)(nil)
	_ spoke.HostList = (*Client)(nil)
)

// WithTimeout bounds each call; a watch may take its own wait in addition.
func WithTimeout(timeout time.Duration) Option { return func(c *Client) { c.timeout = timeout } }

// WithTransport sets the transport, for tests without sockets.
func WithTransport(transport http.RoundTripper) Option {
	return func(c *Client) { c.http.Transport = transport }
}

// WithTimer sets the clock on which lease expiry is computed.
func WithTimer(t spoke.Timer) Option { return func(c *Client) { c.timer = t } }

// New returns a client of the key-value service at the given address.
func New(address spoke.Address, opts ...Option) *Client {
	client := &Client{
		base:    "http://" + string(address),
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
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     time.Minute,

		MaxResponseHeaderBytes: fetch.MaxHead,
	}
}
