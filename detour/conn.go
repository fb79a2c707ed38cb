package detour

import "net"

// Conn is a connection to an upstream through another host. One reader, one writer and any number of closers may use it at
// the same time.
type Conn struct {
	net.Conn
}

// Read reads the upstream's bytes. It returns io.EOF when the upstream ended its connection in order, an error that wraps
// syscall.ECONNRESET when that was reset, and one that wraps ErrBroken when the tunnel ended without either.
func (c *Conn) Read(p []byte) (int, error) { return 0, ErrBroken }

// Write sends bytes to the upstream; an error that wraps ErrBroken means that the tunnel failed.
func (c *Conn) Write(p []byte) (int, error) { return 0, ErrBroken }

// Close ends the tunnel in order and does not block.
func (c *Conn) Close() error { return nil }

// Reset ends the tunnel so that the upstream's connection is reset.
func (c *Conn) Reset() error { return nil }

// IsOpenAndEmpty reports whether the idle connection is open and has no unread bytes.
func (c *Conn) IsOpenAndEmpty() bool { return false }
