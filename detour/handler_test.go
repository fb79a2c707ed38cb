package detour_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/detour"
)

// Guards against a host that stops and cuts calls that it relays although there is time for them.
func TestDrainWaitsForTunnels(t *testing.T) {
	s := newSetup(t)
	conn, upstream := s.open(t)
	drained := make(chan error, 1)
	go func() { drained <- s.handler.Drain(within(t)) }()
	for {
		other, err := s.dialer.Dial(t.Context(), s.via, upstreamID)
		if errors.Is(err, detour.ErrBusy) {
			break
		}
		assert.NilError(t, err)
		assert.NilError(t, other.Close())
	}
	send(t, upstream, "rest")
	assert.NilError(t, upstream.Close())
	expect(t, conn, "rest")
	assert.Equal(t, readError(t, conn), io.EOF)
	assert.Equal(t, len(drained), 0)
	assert.NilError(t, conn.Close())
	assert.NilError(t, <-drained)
	assert.Equal(t, s.handler.Open(), 0)
}

// Guards against a host that cannot stop because of a tunnel that stays open.
func TestDrainEndsWithContext(t *testing.T) {
	s := newSetup(t)
	conn, _ := s.open(t)
	assert.Equal(t, s.handler.Open(), 1)
	assert.Equal(t, s.handler.Total(), 1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, errors.Is(s.handler.Drain(ctx), context.Canceled))
	assert.Equal(t, s.handler.Open(), 0)
	assert.Equal(t, s.handler.Total(), 1)
	assert.Assert(t, errors.Is(readError(t, conn), detour.ErrBroken))
}

// Guards against a host that cannot stop while it connects to an upstream that does not respond.
func TestCloseEndsConnecting(t *testing.T) {
	connecting := make(chan struct{})
	s := newSetup(t, detour.WithDial(func(ctx context.Context, _, _ string) (net.Conn, error) {
		close(connecting)
		<-ctx.Done()
		return nil, ctx.Err()
	}))
	dialed := make(chan error, 1)
	go func() {
		_, err := s.dialer.Dial(within(t), s.via, upstreamID)
		dialed <- err
	}()
	<-connecting
	assert.Equal(t, s.handler.Open(), 1)
	assert.NilError(t, s.handler.Close())
	assert.Assert(t, errors.Is(<-dialed, detour.ErrUnreachable))
}

// Guards against a request of something else that occupies a connection to an upstream.
func TestOnlyUpgradesOpenTunnels(t *testing.T) {
	s := newSetup(t)
	response, err := http.Get("http://" + string(s.via) + detour.Path + "?upstream=server+1%262")
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusUpgradeRequired)
	assert.Equal(t, s.handler.Total(), 0)
	http.DefaultClient.CloseIdleConnections()
}
