package detour_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/detour"
)

const (
	loopback   = "127.0.0.1:0"
	upstreamID = spoke.UpstreamID("server 1&2")
	// testTimeout bounds what takes milliseconds if nothing is wrong.
	testTimeout = 10 * time.Second
)

// setup is a relaying host with one upstream.
type setup struct {
	listener *net.TCPListener
	handler  *detour.Handler
	dialer   *detour.Dialer
	via      spoke.Address
}

func newSetup(t testing.TB, options ...detour.Option) *setup {
	s := &setup{listener: listen(t), dialer: detour.NewDialer(testTimeout)}
	s.handler = detour.NewHandler(func(id spoke.UpstreamID) (spoke.Address, bool) {
		return spoke.Address(s.listener.Addr().String()), id == upstreamID
	}, options...)
	mux := http.NewServeMux()
	mux.Handle("GET "+detour.Path, s.handler)
	server := httptest.NewServer(mux)
	s.via = spoke.Address(server.Listener.Addr().String())
	t.Cleanup(func() {
		assert.NilError(t, s.handler.Close())
		server.Close()
	})
	return s
}

// open returns the two ends of a connection through the relaying host.
func (s *setup) open(t testing.TB) (*detour.Conn, *net.TCPConn) {
	conn, err := s.dialer.Dial(t.Context(), s.via, upstreamID)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*detour.Conn), accept(t, s.listener)
}

func listen(t testing.TB) *net.TCPListener {
	listener, err := net.Listen("tcp", loopback)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener.(*net.TCPListener)
}

func accept(t testing.TB, listener *net.TCPListener) *net.TCPConn {
	assert.NilError(t, listener.SetDeadline(time.Now().Add(testTimeout)))
	conn, err := listener.AcceptTCP()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
	return conn
}

func send(t testing.TB, conn net.Conn, text string) {
	_, err := io.WriteString(conn, text)
	assert.NilError(t, err)
}

func expect(t testing.TB, conn net.Conn, text string) {
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
	buffer := make([]byte, len(text))
	_, err := io.ReadFull(conn, buffer)
	assert.NilError(t, err)
	assert.Equal(t, string(buffer), text)
}

// readError returns the error behind the remaining bytes.
func readError(t testing.TB, conn net.Conn) error {
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
	buffer := make([]byte, 64<<10)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return err
		}
	}
}

// within returns a context that ends when something takes far too long.
func within(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}
