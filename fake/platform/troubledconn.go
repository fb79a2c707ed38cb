package platform

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

type (
	// troubledListener accepts connections on which an engine with troubles can send bytes behind its answers.
	troubledListener struct{ net.Listener }

	// troubledConn is a connection on which bytes can follow an answer.
	troubledConn struct {
		net.Conn

		mu sync.Mutex
		// next is sent together with the next bytes of the answer.
		next string
		// late is sent before the next answer; delay is the time after the answer at which it is, zero for the time when the
		// next request has arrived.
		late  string
		delay time.Duration
		// onLate is called when late has been sent.
		onLate func()
		// isAnswering is set from the first byte of an answer to its end.
		isAnswering bool
	}

	troubledConnKey struct{}
)

// Accept waits for the next connection.
func (l troubledListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &troubledConn{Conn: conn}, nil
}

// Write sends bytes of an answer.
func (c *troubledConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isAnswering = true
	if c.next == "" {
		return c.Conn.Write(b)
	}
	joined := append(append([]byte(nil), b...), c.next...)
	c.next = ""
	n, err := c.Conn.Write(joined)
	return min(n, len(b)), err
}

// setNext sets what is sent together with the next bytes of the answer.
func (c *troubledConn) setNext(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = text
}

// setLate sets what is sent before the next answer.
func (c *troubledConn) setLate(text string, delay time.Duration, onLate func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.late, c.delay, c.onLate = text, delay, onLate
}

// sendLate sends what is due before the next answer, unless that has begun.
func (c *troubledConn) sendLate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.late == "" || c.isAnswering {
		return
	}
	if _, err := c.Conn.Write([]byte(c.late)); err == nil {
		c.onLate()
	}
	c.late = ""
}

// becomeIdle records the end of an answer.
func (c *troubledConn) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isAnswering = false
	if c.late != "" && c.delay > 0 {
		time.AfterFunc(c.delay, c.sendLate)
	}
}

// abort resets the connection.
func (c *troubledConn) abort() {
	if conn, isTCP := c.Conn.(*net.TCPConn); isTCP {
		_ = conn.SetLinger(0)
	}
	_ = c.Close()
}

// useTroubledConns makes a server use connections of a troubledListener.
func useTroubledConns(server *http.Server) {
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, troubledConnKey{}, conn)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, isTroubled := conn.(*troubledConn); isTroubled && state == http.StateIdle {
			c.becomeIdle()
		}
	}
}

func troubledConnOf(r *http.Request) *troubledConn {
	return r.Context().Value(troubledConnKey{}).(*troubledConn)
}
