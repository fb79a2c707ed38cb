package platform

import (
	"net"
	"sync"
)

type (
	// LateListener accepts the connections of an engine that sends copies of earlier responses late.
	LateListener struct {
		net.Listener

		mu     sync.Mutex
		copyOf func(last string) string
		copies int
	}

	// lateConn is a connection on which bytes precede the response to a request that is not the first.
	lateConn struct {
		net.Conn
		listener *LateListener

		mu   sync.Mutex
		last []byte
	}
)

// SetCopies makes the listener send bytes before the next responses that are not the first of their connection; copyOf
// returns them for the response before, and nothing if none are sent.
func (l *LateListener) SetCopies(copyOf func(last string) string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.copyOf, l.copies = copyOf, 0
}

// Copies returns the number of times that bytes were sent since SetCopies.
func (l *LateListener) Copies() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.copies
}

// Accept returns the next connection.
func (l *LateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{Conn: conn, listener: l}, nil
}

func (l *LateListener) nextCopy(last string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.copyOf == nil || last == "" {
		return ""
	}
	extra := l.copyOf(last)
	if extra != "" {
		l.copies++
	}
	return extra
}

// Read reads bytes of a request; the first ones behind a response are those of the next one.
func (c *lateConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if extra := c.listener.nextCopy(string(c.last)); extra != "" {
		_, _ = c.Conn.Write([]byte(extra))
	}
	c.last = nil
	return n, err
}

// Write records the response.
func (c *lateConn) Write(bytes []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = append(c.last, bytes...)
	return c.Conn.Write(bytes)
}
