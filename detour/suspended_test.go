package detour_test

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/detour"
)

// slowWriter is a connection whose first write waits.
type slowWriter struct {
	*net.TCPConn
	writes, goOn chan struct{}
}

// Write writes once it may go on.
func (w *slowWriter) Write(p []byte) (int, error) {
	select {
	case w.writes <- struct{}{}:
	default:
	}
	<-w.goOn
	return w.TCPConn.Write(p)
}

// Guards against a request that runs after it was given up, since its relaying host stood still meanwhile and passes it on
// when it goes on.
func TestBytesOfResetTunnelAreNotPassedOn(t *testing.T) {
	writes, goOn := make(chan struct{}, 1), make(chan struct{})
	s := newSetup(t, detour.WithDial(func(_ context.Context, network, address string) (net.Conn, error) {
		conn, err := net.Dial(network, address)
		if err != nil {
			return nil, err
		}
		return &slowWriter{TCPConn: conn.(*net.TCPConn), writes: writes, goOn: goOn}, nil
	}))
	conn, upstream := s.open(t)
	send(t, conn, "first")
	<-writes
	send(t, conn, "second")
	assert.NilError(t, conn.Reset())
	close(goOn)
	got, err := io.ReadAll(upstream)
	assert.Equal(t, string(got), "first")
	assert.Assert(t, err == nil || errors.Is(err, syscall.ECONNRESET), err)
}

// Guards against streams through other hosts that break off because their caller reads nothing for some seconds.
func TestPausedReaderKeepsItsTunnel(t *testing.T) {
	const (
		size  = 16 << 20
		pause = 3 * time.Second
	)
	s := newSetup(t)
	conn, upstream := s.open(t)
	go func() {
		_, err := upstream.Write(make([]byte, size))
		assert.Check(t, err)
		assert.Check(t, upstream.Close())
	}()
	_, err := io.ReadFull(conn, make([]byte, 1<<10))
	assert.NilError(t, err)
	<-time.After(pause)
	rest, err := io.Copy(io.Discard, conn)
	assert.NilError(t, err)
	assert.Equal(t, rest, int64(size-1<<10))
}
