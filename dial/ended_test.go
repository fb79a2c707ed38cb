package dial_test

import (
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/dial"
)

// Guards against a process that counts as ended although it only does not accept, and against one that has ended and
// counts as running.
func TestOnlyRefusedConnectionsShowEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.Assert(t, !dial.HasEnded(t.Context(), address))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	assert.NilError(t, listener.Close())
	assert.Assert(t, dial.HasEnded(t.Context(), address))
	assert.Assert(t, !dial.HasEnded(ended, address))
}

// Guards against a process that counts as ended because it closes connections without a request at once.
func TestClosedConnectionsDoNotShowEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.Close()
		}
	}()
	assert.Assert(t, !dial.HasEnded(t.Context(), listener.Addr().String()))
}
