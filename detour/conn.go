package detour

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"

	"golang.org/x/sys/unix"

	"magnoliaspoke.example/spoke/dial"
)

// Conn is a connection to an upstream through another host. One reader, one writer and any number of closers may use it at
// the same time.
type Conn struct {
	net.Conn
	tcp    *net.TCPConn
	frames frameReader

	// writing guards the fields behind it.
	writing sync.Mutex
	header  [headerBytes]byte
	parts   [2][]byte
	vector  net.Buffers
	// writeErr is the first error of a write, behind which part of a frame may have been sent.
	writeErr error
}

func newConn(tcp *net.TCPConn, reader *bufio.Reader) *Conn {
	return &Conn{Conn: tcp, tcp: tcp, frames: frameReader{reader: reader}}
}

// Read reads the upstream's bytes. It returns io.EOF when the upstream ended its connection in order, an error that wraps
// syscall.ECONNRESET when that was reset, and one that wraps ErrBroken when the tunnel ended without either.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	n, err := c.frames.read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, errEnd):
		return n, io.EOF
	case errors.Is(err, errReset):
		return n, err
	default:
		return n, tunnelError(err)
	}
}

// Write sends bytes to the upstream; an error that wraps ErrBroken means that the tunnel failed. No write succeeds after
// one that failed.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	written := 0
	for written < len(p) && c.writeErr == nil {
		n, err := c.writeFrame(p[written:min(len(p), written+maxFrameBytes)])
		written += n
		c.writeErr = tunnelError(err)
	}
	if written < len(p) {
		return written, c.writeErr
	}
	return written, nil
}

// writeFrame sends a data frame and returns how many of its bytes were sent; the mutex must be held.
func (c *Conn) writeFrame(data []byte) (int, error) {
	putHeader(c.header[:], len(data))
	c.parts = [2][]byte{c.header[:], data}
	c.vector = c.parts[:]
	n, err := c.vector.WriteTo(c.tcp)
	c.parts = [2][]byte{}
	return max(0, int(n)-headerBytes), err
}

// Close ends the tunnel in order and does not block. Where the end would have to wait for the relaying host or behind a
// write, the tunnel is reset instead.
func (c *Conn) Close() error {
	if !c.sendLast(kindEnd) {
		return c.Reset()
	}
	return c.tcp.Close()
}

// Reset ends the tunnel so that the upstream's connection is reset; it does not block. Bytes that the relaying host has not
// read are dropped, so that it passes none of them on if it stood still meanwhile.
func (c *Conn) Reset() error { return dial.Reset(c.tcp) }

// IsOpenAndEmpty reports whether the idle connection is open and has no unread bytes; there must be no reader meanwhile.
func (c *Conn) IsOpenAndEmpty() bool {
	return c.frames.isEmpty() && dial.IsOpenAndEmpty(c.tcp)
}

// sendLast sends a last frame without blocking and reports whether nothing keeps it from arriving.
func (c *Conn) sendLast(kind frameKind) bool {
	if !c.writing.TryLock() {
		return false
	}
	defer c.writing.Unlock()
	if c.writeErr != nil {
		return false
	}
	c.writeErr = net.ErrClosed
	control, err := c.tcp.SyscallConn()
	if err != nil {
		return false
	}
	isSent := false
	// Control, unlike Write, ignores deadlines that have passed.
	err = control.Control(func(fd uintptr) {
		_, sendErr := unix.SendmsgN(int(fd), []byte{byte(kind)}, nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
		unsent, outErr := unix.IoctlGetInt(int(fd), unix.SIOCOUTQNSD)
		isSent = sendErr == nil && outErr == nil && unsent == 0
	})
	return err == nil && isSent
}

// tunnelError returns err as the error of a tunnel. Only the text of the system's error is kept, since it is the tunnel's
// connection that ended and not the upstream's.
func tunnelError(err error) error {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
		return err
	}
	return &brokenError{cause: err.Error()}
}
