package guard

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// progressBytes is the part of a request that counts as progress. Callers that send single bytes are stalled.
	progressBytes = 4 << 10
	// refusalTime bounds the time to write a refusal.
	refusalTime = 20 * time.Millisecond
	// lingerTime is the time in which a refused caller can read the answer. Closing a connection with unread bytes resets
	// it, and the answer would be lost.
	lingerTime = 500 * time.Millisecond
)

// errNotTCP reports a connection that does not have the methods of a TCP connection.
var errNotTCP = errors.New("connection is not a TCP connection")

// tcpConn has the methods of a TCP connection that are used.
type tcpConn interface {
	CloseWrite() error
	SetLinger(seconds int) error
	SyscallConn() (syscall.RawConn, error)
}

// conn follows the requests of a connection.
type conn struct {
	net.Conn
	guard *Guard
	id    ID
	group Group
	// inHead is set while the head of a request is expected or arrives. The server parses heads before any handler runs.
	inHead atomic.Bool
	// head and unseen belong to the reading goroutine.
	head headScanner
	// unseen counts the bytes since the last progress.
	unseen int
	// isClosed is set once the connection was refused or chosen to be closed.
	isClosed atomic.Bool
	// lingers is set if the connection stays open for a while after Close, so that its caller can read a refusal.
	lingers atomic.Bool
}

// Read reads the caller's bytes; it fails once the connection is to be closed.
func (c *conn) Read(p []byte) (int, error) {
	if c.isClosed.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(p)
	if c.isClosed.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	if n == 0 {
		return n, err
	}
	c.recordProgress(n)
	if c.inHead.Load() && !c.guard.takeHead(c, p[:n]) {
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

func (c *conn) recordProgress(n int) {
	c.unseen += n
	if c.unseen >= progressBytes {
		c.unseen = 0
		c.guard.progress(c)
	}
}

// Close closes the connection, later if it was refused.
func (c *conn) Close() error {
	if c.lingers.Swap(false) {
		time.AfterFunc(lingerTime, func() { _ = c.close() })
		return nil
	}
	return c.close()
}

func (c *conn) close() error {
	err := c.Conn.Close()
	c.guard.forget(c)
	return err
}

// refuse writes an answer for a request whose head is not parsed, and lets the connection end.
func (c *conn) refuse(answer []byte) {
	if c.SetWriteDeadline(time.Now().Add(refusalTime)) == nil {
		_, _ = c.Write(answer) // The caller may have left.
	}
	if tcp, ok := c.Conn.(tcpConn); ok {
		_ = tcp.CloseWrite()
	}
}

// SetReadDeadline sets the deadline of reads, which stays in the past once the connection is to be closed.
func (c *conn) SetReadDeadline(at time.Time) error {
	err := c.Conn.SetReadDeadline(at)
	if c.isClosed.Load() {
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

// NetConn returns the wrapped connection.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(tcpConn); ok {
		return tcp.CloseWrite()
	}
	return errNotTCP
}

// SetLinger sets how Close handles unsent bytes; with zero seconds, it resets the connection.
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(tcpConn); ok {
		return tcp.SetLinger(seconds)
	}
	return errNotTCP
}

// SyscallConn returns the raw connection.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if tcp, ok := c.Conn.(tcpConn); ok {
		return tcp.SyscallConn()
	}
	return nil, errNotTCP
}
