package dial_test

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/dial"
)

// pair returns the two ends of a connection.
func pair(t *testing.T) (made, accepted *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	conn, err := dial.New(0).DialContext(t.Context(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	other, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = other.Close() })
	return conn.(*net.TCPConn), other.(*net.TCPConn)
}

// Guards against an accepted connection that stays open for minutes behind a host that no longer responds.
func TestAcceptedConnectionsAreLikeMadeOnes(t *testing.T) {
	made, accepted := pair(t)
	assert.NilError(t, dial.Accepted(accepted))
	for _, option := range []int{unix.TCP_KEEPIDLE, unix.TCP_KEEPINTVL, unix.TCP_KEEPCNT} {
		assert.Equal(t, optionOf(t, accepted, option), optionOf(t, made, option), "option %d", option)
	}
	assert.Equal(t, optionOf(t, made, unix.TCP_USER_TIMEOUT), 2000)
	assert.Equal(t, optionOf(t, accepted, unix.TCP_USER_TIMEOUT), 10_000)
}

func optionOf(t *testing.T, conn *net.TCPConn, option int) int {
	raw, err := conn.SyscallConn()
	assert.NilError(t, err)
	value := 0
	assert.NilError(t, raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option) }))
	assert.NilError(t, err)
	return value
}

// Guards against a reset that looks like an end because its error was given to another call.
func TestOnlyEndsAreInOrder(t *testing.T) {
	conn, peer := pair(t)
	assert.Assert(t, dial.IsEstablished(conn) && !dial.IsEndedInOrder(conn))
	assert.NilError(t, peer.CloseWrite())
	_, err := conn.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "EOF")
	assert.Assert(t, !dial.IsEstablished(conn) && dial.IsEndedInOrder(conn))
	assert.NilError(t, peer.SetLinger(0))
	assert.NilError(t, peer.Close())
	for err = nil; err == nil; {
		_, err = conn.Write([]byte("x"))
	}
	assert.Assert(t, !dial.IsEstablished(conn) && !dial.IsEndedInOrder(conn))
}
