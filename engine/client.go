package engine

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/fetch"
	"magnoliaspoke.example/spoke/timer"
)

const (
	// defaultMaxConnections exceeds the number of runs that one host sends to one engine.
	defaultMaxConnections = 512
	maxControlConnections = 8
	maxIdleConnections    = 16
	idleTimeout           = 30 * time.Second
	// streamBufferSize, in bytes, fits a few events of one token each. The default of 4096 bytes
	// in each direction took a tenth of the memory of an open stream.
	streamBufferSize = 1024
	// maxPools bounds the number of engines with pooled connections; a data centre has about 90.
	maxPools = 1024
	// defaultDialTimeout is far above a round trip between data centres of one region.
	defaultDialTimeout = time.Second
	// cancelTimeout bounds the cancel request for a run whose stream is no longer read.
	cancelTimeout = time.Second
	// maxConcurrentCancels bounds the cancel requests in flight. A run above this bound gets no
	// cancel request; the engine cancels it when the connection is closed.
	maxConcurrentCancels = 64
)

type (
	// Option changes a setting of a Client.
	Option func(*Client)

	// Client sends requests to engines over HTTP; it implements spoke.Engine.
	Client struct {
		clock          spoke.Timer
		dialer         net.Dialer
		maxConnections int

		mu          sync.Mutex
		pools       *simplelru.LRU[spoke.Address, *pool]
		cancelSlots chan struct{}
		tasks       sync.WaitGroup
	}

	// pool holds the connections to one engine. Control calls use separate connections, so that
	// they never wait for a stream to release one.
	pool struct {
		streams *http.Transport
		control *http.Transport
	}
)

var _ spoke.Engine = (*Client)(nil)

// New returns a client without open connections.
func New(opts ...Option) *Client {
	client := &Client{
		clock:          timer.NewSystem(),
		dialer:         net.Dialer{Timeout: defaultDialTimeout},
		maxConnections: defaultMaxConnections,
		cancelSlots:    make(chan struct{}, maxConcurrentCancels),
	}
	// NewLRU fails only for a capacity below one.
	client.pools, _ = simplelru.NewLRU(maxPools, func(_ spoke.Address, old *pool) { old.close() })
	for _, opt := range opts {
		opt(client)
	}
	return client
}

// WithTimer sets the timer service, which provides the current time and the intervals between
// connection probes.
func WithTimer(clock spoke.Timer) Option { return func(c *Client) { c.clock = clock } }

// WithMaxConnections bounds the concurrent streams to one engine; further runs wait for a
// connection.
func WithMaxConnections(limit int) Option {
	return func(c *Client) { c.maxConnections = limit }
}

// WithDialTimeout bounds the time to connect.
func WithDialTimeout(limit time.Duration) Option {
	return func(c *Client) { c.dialer.Timeout = limit }
}

// Close waits for cancel requests in flight and closes idle connections; open streams stay open.
func (c *Client) Close() {
	c.tasks.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pools.Purge()
}

func (c *Client) pool(addr spoke.Address) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing, ok := c.pools.Get(addr); ok {
		return existing
	}
	created := &pool{
		streams: c.transport(c.maxConnections),
		control: c.transport(maxControlConnections),
	}
	c.pools.Add(addr, created)
	return created
}

func (c *Client) transport(limit int) *http.Transport {
	return &http.Transport{
		DialContext:         c.dialer.DialContext,
		MaxConnsPerHost:     limit,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		ReadBufferSize:      streamBufferSize,
		WriteBufferSize:     streamBufferSize,
		DisableCompression:  true,

		MaxResponseHeaderBytes: fetch.MaxHead,
	}
}

// isReachable reports whether a new connection to the engine can be made.
func (c *Client) isReachable(ctx context.Context, addr spoke.Address) bool {
	conn, err := c.dialer.DialContext(ctx, "tcp", string(addr))
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// cancelAsync sends a cancel request for an attempt in the background. It sends none if
// maxConcurrentCancels requests are in flight.
func (c *Client) cancelAsync(addr spoke.Address, attempt spoke.AttemptID) {
	select {
	case c.cancelSlots <- struct{}{}:
	default:
		return
	}
	c.tasks.Go(func() {
		defer func() { <-c.cancelSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = c.Cancel(ctx, addr, attempt)
	})
}

func (p *pool) close() {
	p.streams.CloseIdleConnections()
	p.control.CloseIdleConnections()
}
