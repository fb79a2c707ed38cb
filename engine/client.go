package engine

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/timer"
)

const (
	// defaultMaxConnections is above the runs that one host hands to one engine.
	defaultMaxConnections = 512
	maxControlConnections = 8
	maxIdleConnections    = 16
	idleTimeout           = 30 * time.Second
	// streamBuffer holds a few events of a token each; the default of 4096 bytes in
	// each direction was a tenth of the memory of an open stream.
	streamBuffer = 1024
	// maxPools bounds the engines with pooled connections; a data centre has about 90.
	maxPools = 1024
	// defaultDialTimeout is far above a round trip between data centres of one region.
	defaultDialTimeout = time.Second
	// cancelTimeout bounds the order that cancels a run which nobody reads any more.
	cancelTimeout = time.Second
	// maxCancels bounds the cancel orders in flight; the end of the connection, which the
	// engine also sees, covers those above the bound.
	maxCancels = 64
)

type (
	// Option changes a setting of a Client.
	Option func(*Client)

	// Client talks to engines over HTTP; it implements spoke.Engine.
	Client struct {
		clock          spoke.Timer
		dialer         net.Dialer
		maxConnections int

		mu      sync.Mutex
		pools   *simplelru.LRU[spoke.Address, *pool]
		cancels chan struct{}
		tasks   sync.WaitGroup
	}

	// pool holds the connections to one engine. Control calls have connections of their own,
	// so that they never wait behind streams.
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
		cancels:        make(chan struct{}, maxCancels),
	}
	// The only error is a capacity below one.
	client.pools, _ = simplelru.NewLRU(maxPools, func(_ spoke.Address, old *pool) { old.close() })
	for _, opt := range opts {
		opt(client)
	}
	return client
}

// WithTimer sets the timer service that measures the silence of connections.
func WithTimer(clock spoke.Timer) Option { return func(c *Client) { c.clock = clock } }

// WithMaxConnections bounds the streams to one engine; further runs wait for a connection.
func WithMaxConnections(streams int) Option {
	return func(c *Client) { c.maxConnections = streams }
}

// WithDialTimeout bounds the time to connect.
func WithDialTimeout(limit time.Duration) Option {
	return func(c *Client) { c.dialer.Timeout = limit }
}

// Close waits for cancel orders in flight and closes idle connections; open streams stay.
func (c *Client) Close() {
	c.tasks.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pools.Purge()
}

func (c *Client) pool(at spoke.Address) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.pools.Get(at); ok {
		return known
	}
	added := &pool{
		streams: c.transport(c.maxConnections),
		control: c.transport(maxControlConnections),
	}
	c.pools.Add(at, added)
	return added
}

func (c *Client) transport(limit int) *http.Transport {
	return &http.Transport{
		DialContext:         c.dialer.DialContext,
		MaxConnsPerHost:     limit,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		ReadBufferSize:      streamBuffer,
		WriteBufferSize:     streamBuffer,
		DisableCompression:  true,
	}
}

// isReachable reports whether a new connection to the engine can be made.
func (c *Client) isReachable(ctx context.Context, at spoke.Address) bool {
	conn, err := c.dialer.DialContext(ctx, "tcp", string(at))
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// cancelLater orders the engine to end an attempt, without making the caller wait.
func (c *Client) cancelLater(at spoke.Address, attempt spoke.AttemptID) {
	select {
	case c.cancels <- struct{}{}:
	default:
		return
	}
	c.tasks.Go(func() {
		defer func() { <-c.cancels }()
		ctx, end := context.WithTimeout(context.Background(), cancelTimeout)
		defer end()
		_ = c.Cancel(ctx, at, attempt)
	})
}

func (p *pool) close() {
	p.streams.CloseIdleConnections()
	p.control.CloseIdleConnections()
}
