package caller

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// writeTimeout is above the time for which callers wait for an answer. A caller that reads nothing for that long keeps its
	// call and its connection from being released.
	writeTimeout = 30 * time.Second
	// writePiece is the number of bytes that a caller must be able to take within writeTimeout.
	writePiece = 16 << 10
)

// errNotTCP reports a connection that does not have the methods of a TCP connection.
var errNotTCP = errors.New("connection of the caller is not a TCP connection")

// tcpConn has the methods of a TCP connection that are used.
type tcpConn interface {
	CloseWrite() error
	SetLinger(seconds int) error
	SyscallConn() (syscall.RawConn, error)
}

// conn records the errors of a caller's connection. It has no ReadFrom, so that all bytes pass through Write.
type conn struct {
	net.Conn
	// writeTimeout is the time without progress after which a write fails.
	writeTimeout time.Duration
	readErr      atomic.Pointer[error]
	writeErr     atomic.Pointer[error]
	// endedAt is when the caller's bytes ended, nil before that.
	endedAt atomic.Pointer[time.Time]

	// writing keeps interim responses out of the answer and guards the fields behind it.
	writing sync.Mutex
	// mayProbe is set while a request is served whose answer has not begun.
	mayProbe bool
	ending   answerEnding
}

// Read reads the caller's bytes and records the error that ended them.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	record(&c.readErr, err)
	if errors.Is(err, io.EOF) {
		now := time.Now()
		c.endedAt.CompareAndSwap(nil, &now)
	}
	return n, err
}

// Write writes to the caller and records the first error.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.mayProbe = false
	n, err := c.writePieces(p)
	record(&c.writeErr, err)
	c.ending.hasFailed = c.ending.hasFailed || err != nil
	return n, err
}

// writePieces writes bytes in pieces, each of which must be written within writeTimeout, so that slow readers of long answers
// get them and those that do not read at all do not hold a call for ever.
func (c *conn) writePieces(p []byte) (written int, err error) {
	for {
		if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(written+writePiece, len(p))])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Close closes the connection; it resets it under an answer that is not whole.
func (c *conn) Close() error {
	c.finishAnswer()
	return c.Conn.Close()
}

// NetConn returns the wrapped connection.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side.
func (c *conn) CloseWrite() error {
	tcp, ok := c.Conn.(tcpConn)
	if !ok {
		return errNotTCP
	}
	c.finishAnswer()
	return tcp.CloseWrite()
}

// SetLinger sets how Close handles unsent bytes; with zero seconds, it resets the connection.
func (c *conn) SetLinger(seconds int) error {
	tcp, ok := c.Conn.(tcpConn)
	if !ok {
		return errNotTCP
	}
	return tcp.SetLinger(seconds)
}

// pendingError returns the error that the network has reported for the connection, such as a reset.
func (c *conn) pendingError() error {
	tcp, ok := c.Conn.(tcpConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var pending int
	if controlErr := raw.Control(func(fd uintptr) {
		pending, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
	}); controlErr != nil {
		return controlErr
	}
	if err == nil && pending != 0 {
		err = unix.Errno(pending)
	}
	return err
}

// record keeps the first error; the server itself ends reads with a deadline.
func record(target *atomic.Pointer[error], err error) {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		target.CompareAndSwap(nil, &err)
	}
}

func load(from *atomic.Pointer[error]) error {
	if err := from.Load(); err != nil {
		return *err
	}
	return nil
}

// Evidence returns what shows that the caller of a request has left, empty if nothing does.
func Evidence(ctx context.Context) string {
	c := connOf(ctx)
	if c == nil {
		return ""
	}
	if err := load(&c.writeErr); err != nil {
		return err.Error()
	}
	err := load(&c.readErr)
	switch {
	case errors.Is(context.Cause(ctx), errTimeOver):
		return errTimeOver.Error()
	case err == nil:
		return ""
	case errors.Is(err, io.EOF):
		return "end of the caller's bytes"
	default:
		return err.Error()
	}
}

// EndedAt returns when the bytes of the caller of a request ended, the zero time if they have not.
func EndedAt(ctx context.Context) time.Time {
	if c := connOf(ctx); c != nil {
		if at := c.endedAt.Load(); at != nil {
			return *at
		}
	}
	return time.Time{}
}
