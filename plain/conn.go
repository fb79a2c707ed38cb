package plain

import (
	"errors"
	"io"
	"net"
	"net/http/httptrace"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/dial"
)

type (
	// countingConn counts writes, which shows whether a failed call may have sent a byte.
	countingConn struct {
		net.Conn
		mu     sync.Mutex
		writes int
		sealed bool
		// isSpent is set once no further call may use the connection.
		isSpent bool
	}

	// connTracker records the connections that the transport used for one call.
	connTracker struct {
		mu    sync.Mutex
		conns []trackedConn
	}

	trackedConn struct {
		conn *countingConn
		// writesBefore is the number of writes before the call.
		writesBefore int
		isReused     bool
	}
)

// Write counts the write before it sends the first byte.
func (c *countingConn) Write(raw []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(raw)
}

// Read returns the error of a reset in place of the end of the connection: the writer of a request may have got that error,
// behind which a body with neither a length nor chunks seems to end in order.
func (c *countingConn) Read(raw []byte) (int, error) {
	n, err := c.Conn.Read(raw)
	if errors.Is(err, io.EOF) && !dial.IsEndedInOrder(c.Conn) {
		err = syscall.ECONNRESET
	}
	return n, err
}

// use begins a call and returns the number of writes before it. On a spent connection nothing can be written; earlier, the
// call before might still have to.
func (c *countingConn) use() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = c.sealed || c.isSpent
	return c.writes
}

func (c *countingConn) spend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isSpent = true
}

// seal makes further writes fail and returns the number of writes so far. After a
// cancelled call the transport may still be about to write, so that a count without
// the seal could miss a write.
func (c *countingConn) seal() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// trace returns the hooks that record the connections.
func (t *connTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, ok := info.Conn.(*countingConn)
		if !ok {
			return
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		t.conns = append(t.conns, trackedConn{conn, conn.use(), info.Reused})
	}}
}

// mayHaveWritten reports whether a byte of the call may have been sent. It seals the
// connections.
func (t *connTracker) mayHaveWritten() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	wrote := false
	for _, tracked := range t.conns {
		if tracked.conn.seal() > tracked.writesBefore {
			wrote = true
		}
	}
	return wrote
}

// spend keeps further calls from the connection of the answer, and reports whether an earlier one has used it.
func (t *connTracker) spend() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.conns) == 0 {
		return false
	}
	last := t.conns[len(t.conns)-1]
	last.conn.spend()
	return last.isReused
}

// close closes the connections.
func (t *connTracker) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, tracked := range t.conns {
		tracked.conn.Close()
	}
}

// wrapError adds the attempt to a transport error; the result matches spoke.ErrNotRun if no
// byte of the call was sent.
func (t *connTracker) wrapError(err error, at spoke.Address, call spoke.PlainCall) error {
	if t.mayHaveWritten() {
		return eris.Wrapf(err, "attempt %s at %s", call.Attempt, at)
	}
	return eris.Wrapf(spoke.ErrNotRun, "attempt %s at %s: %s", call.Attempt, at, err)
}
