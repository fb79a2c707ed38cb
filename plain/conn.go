package plain

import (
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

type (
	// countedConn counts writes, so that a failed call knows whether a byte left.
	countedConn struct {
		net.Conn
		mu     sync.Mutex
		writes int
		sealed bool
	}

	// usage lists the connections that one call was given.
	usage struct {
		mu    sync.Mutex
		conns []connUse
	}

	connUse struct {
		conn   *countedConn
		before int
	}
)

// Write counts the write before the first byte can leave.
func (c *countedConn) Write(raw []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(raw)
}

func (c *countedConn) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal forbids writes and returns their number. After a cancelled call the
// transport may still be about to write, so a count alone could be too early.
func (c *countedConn) seal() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

func (u *usage) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, ok := info.Conn.(*countedConn)
		if !ok {
			return
		}
		u.mu.Lock()
		defer u.mu.Unlock()
		u.conns = append(u.conns, connUse{conn, conn.count()})
	}}
}

// wrote reports whether a byte of the call may have left.
func (u *usage) wrote() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	wrote := false
	for _, use := range u.conns {
		if use.conn.seal() > use.before {
			wrote = true
		}
	}
	return wrote
}

func (u *usage) explain(err error, at spoke.Address, call spoke.PlainCall) error {
	if u.wrote() {
		return eris.Wrapf(err, "attempt %s at %s", call.Attempt, at)
	}
	return eris.Wrapf(spoke.ErrNotRun, "attempt %s at %s: %s", call.Attempt, at, err)
}
