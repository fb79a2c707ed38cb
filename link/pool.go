package link

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/dial"
)

const (
	dialTimeout = 700 * time.Millisecond
	// defaultIdleTimeout is the time for which an idle connection is kept if the upstream does not
	// state its idle timeout.
	defaultIdleTimeout = 8 * time.Second
	// idleMargin is the time before the end of an upstream's idle timeout in which a
	// connection is not reused, since the upstream could close it while a request is in transit.
	idleMargin = 1200 * time.Millisecond
	// safeIdleFactor is the fraction of the idle time of a reset connection that is assumed safe.
	safeIdleFactor = 0.6
	// minSafeIdle is the lower bound of Pool.safeIdle; upstreams drop connections only after longer idle
	// times.
	minSafeIdle = 200 * time.Millisecond
	// maxIdlePerAddress bounds the idle connections to one upstream.
	maxIdlePerAddress = 48
)

type (
	// Option changes a Pool.
	Option func(*Pool)

	// Pool keeps idle connections by address; it is safe for concurrent use.
	Pool struct {
		dial func(ctx context.Context, network, address string) (net.Conn, error)
		now  func() time.Time
		// mayReuse reports whether an idle connection to an address is still on the way that new ones take.
		mayReuse func(address spoke.Address, conn net.Conn) bool

		mu     sync.Mutex
		idle   map[spoke.Address][]*conn
		opened int
		// safeIdle is the idle time up to which a connection is reused; it shrinks when a reset
		// shows that an upstream drops idle connections without closing them.
		safeIdle time.Duration
	}
)

// WithClock sets the clock that measures idle times.
func WithClock(now func() time.Time) Option {
	return func(p *Pool) { p.now = now }
}

// WithDial sets the function that makes connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(p *Pool) { p.dial = dial }
}

// WithReuse sets the function that reports whether an idle connection to an address may be used again.
func WithReuse(mayReuse func(address spoke.Address, conn net.Conn) bool) Option {
	return func(p *Pool) { p.mayReuse = mayReuse }
}

// New returns an empty pool.
func New(options ...Option) *Pool {
	p := &Pool{
		dial: dial.New(dialTimeout).DialContext, now: time.Now, mayReuse: func(spoke.Address, net.Conn) bool { return true },
		idle: make(map[spoke.Address][]*conn), safeIdle: time.Hour,
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Close closes all idle connections.
func (p *Pool) Close() error {
	p.mu.Lock()
	idle := p.idle
	p.idle = make(map[spoke.Address][]*conn)
	p.mu.Unlock()
	for _, conns := range idle {
		for _, c := range conns {
			_ = c.Close()
		}
	}
	return nil
}

// get returns an idle connection that passes the checks for reuse and has not carried the request's key, or a new one.
func (p *Pool) get(ctx context.Context, request Request) (*conn, error) {
	address, key := request.Address, request.Key
	for {
		c := p.popIdle(request)
		if c == nil {
			break
		}
		if c.hasCarried(key) {
			// The new connection takes the place of this one, so that repeated keys do not add to their number.
			_ = c.Close()
			break
		}
		if p.now().Before(c.reusableUntil) && p.isWithinSafeIdle(c) && p.mayReuse(address, c.Conn) && c.isOpenAndEmpty() {
			c.isReused = true
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := p.dial(ctx, "tcp", string(address))
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return newConn(raw), nil
}

func (p *Pool) isWithinSafeIdle(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now().Sub(c.idleSince) < p.safeIdle
}

// recordReset shortens safeIdle after the first request on a connection that was idle could not be
// written or met a reset.
func (p *Pool) recordReset(c *conn, sentAt time.Time) {
	if !c.isReused {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := time.Duration(safeIdleFactor * float64(sentAt.Sub(c.idleSince)))
	p.safeIdle = max(min(p.safeIdle, idle), minSafeIdle)
}

// Sweep closes idle connections that cannot be reused: those that are past their idle time, were
// closed by the upstream or hold bytes that belong to no request. Without it, connections to removed
// upstreams would stay open, since no request takes them out of the pool.
func (p *Pool) Sweep() {
	p.mu.Lock()
	now := p.now()
	var unusable []*conn
	for address, idle := range p.idle {
		var kept []*conn
		for _, c := range idle {
			if now.Before(c.reusableUntil) && p.mayReuse(address, c.Conn) && c.isOpenAndEmpty() {
				kept = append(kept, c)
				continue
			}
			unusable = append(unusable, c)
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range unusable {
		_ = c.Close()
	}
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, idle := range p.idle {
		count += len(idle)
	}
	return count
}

// popIdle returns the newest idle connection that the request may use and that has not carried its key, the newest one
// that it may use if all have, or nil.
func (p *Pool) popIdle(request Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[request.Address]
	chosen := -1
	for i, c := range slices.Backward(idle) {
		if !request.mayUse(c.Conn) {
			continue
		}
		isFresh := !c.hasCarried(request.Key)
		if isFresh || chosen < 0 {
			chosen = i
		}
		if isFresh {
			break
		}
	}
	if chosen < 0 {
		return nil
	}
	c := idle[chosen]
	p.idle[request.Address] = slices.Delete(idle, chosen, chosen+1)
	return c
}

// putIdle returns a connection to the pool after a complete exchange, or closes it if the upstream's
// idle timeout is too short or there are enough idle ones.
func (p *Pool) putIdle(address spoke.Address, c *conn, idleTimeout time.Duration) {
	reusable := defaultIdleTimeout
	if idleTimeout > 0 {
		reusable = idleTimeout - idleMargin
	}
	c.idleSince = p.now()
	c.reusableUntil = c.idleSince.Add(reusable)
	p.mu.Lock()
	isKept := reusable > 0 && len(p.idle[address]) < maxIdlePerAddress
	if isKept {
		p.idle[address] = append(p.idle[address], c)
	}
	p.mu.Unlock()
	if !isKept {
		_ = c.Close()
	}
}
