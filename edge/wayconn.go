package edge

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/detour"
	"magnoliaspoke.example/spoke/reach"
)

// activityEpoch is the time from which wayActivity and heardAnswer count.
var activityEpoch = time.Now()

type (
	// wayActivity is what happened on the direct connections to an upstream, for concurrent use. Times are in nanoseconds
	// since activityEpoch, zero for none.
	wayActivity struct{ unansweredSince, heardAt atomic.Int64 }

	// directConn is a direct connection to an upstream.
	directConn struct {
		*net.TCPConn
		activity *wayActivity
		// sentAt is when the first request was sent since the last byte was received, as in activity.
		sentAt atomic.Int64
	}

	// relayedConn is a connection to an upstream through another host.
	relayedConn struct {
		*detour.Conn
		via spoke.HostID
		// region is that of the other host.
		region spoke.RegionID
	}
)

func (a *wayActivity) recordSent(at int64) { a.unansweredSince.CompareAndSwap(0, at) }

// withdraw ends the wait for an answer on a connection that this host closes.
func (a *wayActivity) withdraw(sentAt int64) { a.unansweredSince.CompareAndSwap(sentAt, 0) }

func (a *wayActivity) recordHeard() {
	a.unansweredSince.Store(0)
	a.heardAt.Store(int64(time.Since(activityEpoch)))
}

// of returns what happened at an upstream.
func (a *wayActivity) of(id spoke.UpstreamID) reach.Activity {
	return reach.Activity{Upstream: id, UnansweredSince: timeOf(a.unansweredSince.Load()), HeardAt: timeOf(a.heardAt.Load())}
}

func timeOf(sinceEpoch int64) time.Time {
	if sinceEpoch == 0 {
		return time.Time{}
	}
	return activityEpoch.Add(time.Duration(sinceEpoch))
}

// Read reads from the connection. Its end and a reset also show that the way does not hang.
func (c *directConn) Read(buffer []byte) (int, error) {
	n, err := c.TCPConn.Read(buffer)
	if n > 0 || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		c.sentAt.Store(0)
		c.activity.recordHeard()
	}
	return n, err
}

// Write writes to the connection.
func (c *directConn) Write(buffer []byte) (int, error) {
	now := int64(time.Since(activityEpoch))
	c.sentAt.CompareAndSwap(0, now)
	c.activity.recordSent(now)
	return c.TCPConn.Write(buffer)
}

// Close closes the connection. A request that this host gives up waits no longer.
func (c *directConn) Close() error {
	if sentAt := c.sentAt.Swap(0); sentAt != 0 {
		c.activity.withdraw(sentAt)
	}
	return c.TCPConn.Close()
}

func newRelayedConn(conn net.Conn, via spoke.HostID, region spoke.RegionID) net.Conn {
	tunnel, isTunnel := conn.(*detour.Conn)
	if !isTunnel {
		return conn
	}
	return &relayedConn{Conn: tunnel, via: via, region: region}
}
