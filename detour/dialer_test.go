package detour_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/detour"
)

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// openByHand opens a tunnel and returns its end and the connection of the relaying host, to which the test sends frames.
func openByHand(t *testing.T, listener *net.TCPListener) (*detour.Conn, *net.TCPConn) {
	dialed := make(chan net.Conn, 1)
	go func() {
		defer close(dialed)
		if conn, err := detour.NewDialer(testTimeout).Dial(t.Context(), addressOf(listener), upstreamID); err == nil {
			dialed <- conn
		}
	}()
	relay := accept(t, listener)
	_, err := http.ReadRequest(bufio.NewReader(relay))
	assert.NilError(t, err)
	send(t, relay, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: spoke-detour\r\n\r\n")
	conn, ok := <-dialed
	assert.Assert(t, ok)
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*detour.Conn), relay
}

func addressOf(listener net.Listener) spoke.Address { return spoke.Address(listener.Addr().String()) }

// Guards against an upstream that counts as ended, unreachable or unlisted although only the relaying host is, and the
// reverse.
func TestErrorsNameWhatFailed(t *testing.T) {
	unreachable := &net.OpError{Op: "dial", Err: syscall.ETIMEDOUT}
	for name, test := range map[string]struct {
		options   []detour.Option
		prepare   func(t *testing.T, s *setup)
		upstream  spoke.UpstreamID
		want      error
		isRefused bool
	}{
		"upstream refuses":          {prepare: func(t *testing.T, s *setup) { assert.NilError(t, s.listener.Close()) }, want: detour.ErrRefused, isRefused: true},
		"upstream does not respond": {options: []detour.Option{detour.WithDial(fail(unreachable))}, want: detour.ErrUnreachable},
		"upstream resets":           {options: []detour.Option{detour.WithDial(fail(syscall.ECONNRESET))}, want: detour.ErrUnreachable},
		"upstream is not listed":    {upstream: "another", want: detour.ErrUnlisted},
		"too many tunnels":          {options: []detour.Option{detour.WithLimit(1)}, prepare: func(t *testing.T, s *setup) { s.open(t) }, want: detour.ErrBusy},
		"host ends":                 {prepare: func(t *testing.T, s *setup) { assert.NilError(t, s.handler.Close()) }, want: detour.ErrBusy},
		"host refuses":              {prepare: func(t *testing.T, s *setup) { s.via = refusing(t) }, want: detour.ErrRelay},
		"host knows no detours":     {prepare: func(t *testing.T, s *setup) { s.via = answering(t, "HTTP/1.1 404 Not Found\r\n\r\n") }, want: detour.ErrRelay},
		"host ends its answer":      {prepare: func(t *testing.T, s *setup) { s.via = answering(t, "HTTP/1.1 101 ") }, want: detour.ErrRelay},
		"host changes to another protocol": {
			prepare: func(t *testing.T, s *setup) {
				s.via = answering(t, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\n\r\n")
			},
			want: detour.ErrRelay,
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSetup(t, test.options...)
			if test.prepare != nil {
				test.prepare(t, s)
			}
			if test.upstream == "" {
				test.upstream = upstreamID
			}
			_, err := s.dialer.Dial(t.Context(), s.via, test.upstream)
			for _, kind := range []error{detour.ErrRefused, detour.ErrUnreachable, detour.ErrUnlisted, detour.ErrBusy, detour.ErrRelay} {
				assert.Equal(t, errors.Is(err, kind), errors.Is(test.want, kind), "%v is %v", err, kind)
			}
			assert.Equal(t, errors.Is(err, syscall.ECONNREFUSED), test.isRefused, "%v", err)
		})
	}
}

func fail(err error) dialFunc {
	return func(context.Context, string, string) (net.Conn, error) { return nil, err }
}

// refusing returns an address that refuses connections.
func refusing(t *testing.T) spoke.Address {
	listener := listen(t)
	assert.NilError(t, listener.Close())
	return addressOf(listener)
}

// answering returns the address of a host that answers one request and closes the connection.
func answering(t *testing.T, answer string) spoke.Address {
	listener := listen(t)
	served := make(chan struct{})
	go func() {
		defer close(served)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = conn.Write([]byte(answer))
		}
	}()
	t.Cleanup(func() { <-served })
	return addressOf(listener)
}

// Guards against a call that hangs behind its deadline while the relaying host connects, and against a connection to the
// upstream that is made for nobody.
func TestCancelEndsDial(t *testing.T) {
	connecting, ended := make(chan struct{}), make(chan struct{})
	s := newSetup(t, detour.WithDial(func(ctx context.Context, _, _ string) (net.Conn, error) {
		close(connecting)
		<-ctx.Done()
		close(ended)
		return nil, ctx.Err()
	}))
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-connecting
		cancel()
	}()
	_, err := s.dialer.Dial(ctx, s.via, upstreamID)
	assert.Assert(t, errors.Is(err, context.Canceled), "%v", err)
	assert.Assert(t, errors.Is(err, detour.ErrRelay), "%v", err)
	select {
	case <-ended:
	case <-within(t).Done():
		t.Fatal("the relaying host still connects")
	}
	assert.NilError(t, s.handler.Drain(within(t)))
}

// Guards against a relaying host that is frozen and keeps a call until the deadline of the call.
func TestSilentHostIsGivenUp(t *testing.T) {
	listener := listen(t)
	_, err := detour.NewDialer(testTimeout).Dial(within(t), addressOf(listener), upstreamID)
	assert.Assert(t, errors.Is(err, detour.ErrRelay), "%v", err)
	assert.Assert(t, !errors.Is(err, context.DeadlineExceeded), "%v", err)
}
