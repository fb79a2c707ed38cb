package relay_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/relay"
)

// listen returns a listener and a relay to it.
func listen(t *testing.T) (net.Listener, *relay.Relay) {
	t.Helper()
	listener, err := net.Listen("tcp", string(loopback))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	r, err := relay.New(loopback, spoke.Address(listener.Addr().String()))
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, r.Close()) })
	return listener, r
}

func accept(t *testing.T, listener net.Listener) net.Conn {
	t.Helper()
	conn, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func reset(t *testing.T, conn net.Conn) {
	t.Helper()
	assert.NilError(t, conn.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, conn.Close())
}

// Guards against a cut that delivers held-up bytes although their sender has reset the connection: its kernel drops what
// is not acknowledged.
func TestResetDropsBytesHeldUpByCut(t *testing.T) {
	listener, r := listen(t)
	conn := dial(t, r)
	received := accept(t, listener)
	send(t, conn, "sent")
	expect(t, received, "sent")
	r.Cut()
	send(t, conn, "held")
	expectNothing(t, received)
	reset(t, conn)
	r.Restore()
	assert.NilError(t, received.SetReadDeadline(time.Now().Add(testTimeout)))
	text, err := io.ReadAll(received)
	assert.Equal(t, string(text), "")
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}

// Guards against a connection that is made after a cut although its client has reset it meanwhile.
func TestConnectionResetDuringCutIsNotMade(t *testing.T) {
	listener, r := listen(t)
	r.Cut()
	conn := dial(t, r)
	send(t, conn, "held")
	poll.WaitOn(t, func(poll.LogT) poll.Result { return result(r.OpenConnections() == 1) })
	reset(t, conn)
	r.Restore()
	poll.WaitOn(t, func(poll.LogT) poll.Result { return result(r.OpenConnections() == 0) })
	send(t, dial(t, r), "next")
	expect(t, accept(t, listener), "next")
}

func result(isDone bool) poll.Result {
	if isDone {
		return poll.Success()
	}
	return poll.Continue("not yet")
}
