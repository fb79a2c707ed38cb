package detour_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaspoke.example/spoke/detour"
	"magnoliaspoke.example/spoke/dial"
)

// Guards against lost, added or reordered bytes.
func TestBytesPassBothWays(t *testing.T) {
	s := newSetup(t)
	conn, upstream := s.open(t)
	for range 3 {
		send(t, conn, "request")
		expect(t, upstream, "request")
		send(t, upstream, "answer")
		send(t, upstream, ", continued")
		expect(t, conn, "answer, continued")
	}
}

// Guards against large bodies that are garbled at the ends of frames or buffers, also while both directions are in use.
func TestLargeBodiesPassWhole(t *testing.T) {
	conn, upstream := newSetup(t).open(t)
	body := make([]byte, 8<<20+123)
	_, _ = rand.Read(body)
	var group errgroup.Group
	for _, ends := range [][2]net.Conn{{conn, upstream}, {upstream, conn}} {
		group.Go(func() error {
			_, err := ends[0].Write(body)
			return err
		})
		group.Go(func() error {
			got := make([]byte, len(body))
			if _, err := io.ReadFull(ends[1], got); err != nil {
				return err
			}
			if !bytes.Equal(got, body) {
				return errors.New("other bytes")
			}
			return nil
		})
	}
	assert.NilError(t, group.Wait())
}

// Guards against a relaying host that buffers an answer without bound while its caller does not read.
func TestUnreadAnswerBlocksUpstream(t *testing.T) {
	conn, upstream := newSetup(t).open(t)
	sent := writeUntilBlocked(t, upstream)
	assert.NilError(t, upstream.Close())
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
	read, err := io.Copy(io.Discard, conn)
	assert.NilError(t, err)
	assert.Equal(t, int(read), sent)
}

// writeUntilBlocked writes until nothing more is taken, and returns the number of bytes.
func writeUntilBlocked(t *testing.T, conn net.Conn) int {
	const farTooMuch = 256 << 20
	chunk := make([]byte, 1<<20)
	sent := 0
	for {
		assert.NilError(t, conn.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
		n, err := conn.Write(chunk)
		sent += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return sent
		}
		assert.NilError(t, err)
		assert.Assert(t, sent < farTooMuch)
	}
}

// Guards against an answer whose end is that of its connection and that looks whole although it was cut.
func TestEndsAreToldApart(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(t *testing.T, s *setup, upstream *net.TCPConn)
		want error
	}{
		"end":                     {func(t *testing.T, _ *setup, upstream *net.TCPConn) { assert.NilError(t, upstream.Close()) }, io.EOF},
		"end of the sending side": {func(t *testing.T, _ *setup, upstream *net.TCPConn) { assert.NilError(t, upstream.CloseWrite()) }, io.EOF},
		"reset": {func(t *testing.T, _ *setup, upstream *net.TCPConn) {
			assert.NilError(t, upstream.SetLinger(0))
			assert.NilError(t, upstream.Close())
		}, syscall.ECONNRESET},
		"end of the relaying host": {func(t *testing.T, s *setup, _ *net.TCPConn) { assert.NilError(t, s.handler.Close()) }, detour.ErrBroken},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSetup(t)
			conn, upstream := s.open(t)
			send(t, upstream, "part")
			expect(t, conn, "part")
			test.end(t, s, upstream)
			// The error must not change when it is read again.
			for range 2 {
				err := readError(t, conn)
				for _, kind := range []error{io.EOF, syscall.ECONNRESET, detour.ErrBroken} {
					assert.Equal(t, errors.Is(err, kind), errors.Is(test.want, kind), "%v is %v", err, kind)
				}
			}
		})
	}
}

// Guards against a reset that looks like an end, because the system reports it to the write of a request only.
func TestResetDuringRequestIsNoEnd(t *testing.T) {
	s := newSetup(t)
	for range 50 {
		conn, upstream := s.open(t)
		written := make(chan struct{})
		go func() {
			defer close(written)
			for {
				if _, err := conn.Write(make([]byte, 1<<10)); err != nil {
					return
				}
			}
		}()
		expect(t, upstream, string(make([]byte, 1<<10)))
		send(t, upstream, "part")
		assert.NilError(t, upstream.SetLinger(0))
		assert.NilError(t, upstream.Close())
		err := readError(t, conn)
		assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
		assert.NilError(t, conn.Close())
		<-written
	}
}

// Guards against a call that goes on at the upstream after it was cancelled.
func TestCloseReachesUpstream(t *testing.T) {
	s := newSetup(t)
	conn, upstream := s.open(t)
	assert.NilError(t, conn.Close())
	assert.Equal(t, readError(t, upstream), io.EOF)
	conn, upstream = s.open(t)
	assert.NilError(t, conn.Reset())
	assert.Assert(t, errors.Is(readError(t, upstream), syscall.ECONNRESET))
	assert.NilError(t, s.handler.Drain(within(t)))
}

// Guards against an upstream that takes a cut request for a whole one when the host that sends it has ended.
func TestDeathOfSenderResetsUpstream(t *testing.T) {
	s := newSetup(t)
	for _, sent := range []string{"", "\x01", "\x01\x00\x00\x00\x09part", "\x01\x00\x00\x00\x04part", "\x03", "\x04", "\x01\xff\xff\xff\xff", "\x01\x00\x00\x00\x00"} {
		raw, upstream := dialRaw(t, s)
		send(t, raw, sent)
		_ = raw.CloseWrite() // It fails where the relaying host has already reset the tunnel.
		err := readError(t, upstream)
		assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%q: %v", sent, err)
	}
}

// dialRaw opens a tunnel and returns the connection that carries the frames.
func dialRaw(t *testing.T, s *setup) (*net.TCPConn, *net.TCPConn) {
	raw, err := net.Dial("tcp", string(s.via))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = raw.Close() })
	send(t, raw, "GET "+detour.Path+"?upstream=server+1%262 HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: spoke-detour\r\n\r\n")
	upstream := accept(t, s.listener)
	response, err := http.ReadResponse(bufio.NewReader(raw), nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusSwitchingProtocols)
	return raw.(*net.TCPConn), upstream
}

// Guards against a cancelled call whose request waits at the relaying host until the upstream reads on.
func TestCloseReachesUpstreamThatDoesNotRead(t *testing.T) {
	for name, fill := range map[string]func(t *testing.T, conn *detour.Conn){
		"at the relaying host": func(t *testing.T, conn *detour.Conn) {
			_, err := conn.Write(make([]byte, 128<<10))
			assert.NilError(t, err)
		},
		"on the way to it": func(t *testing.T, conn *detour.Conn) {
			for conn.Unsent() < 1<<20 {
				_, err := conn.Write(make([]byte, 128<<10))
				assert.NilError(t, err)
			}
		},
		"in a write that has ended": func(t *testing.T, conn *detour.Conn) {
			writeUntilBlocked(t, conn)
			_, err := conn.Write([]byte("x"))
			assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "part of a frame was sent: %v", err)
		},
		"in a write": func(t *testing.T, conn *detour.Conn) {
			written := make(chan struct{})
			go func() {
				defer close(written)
				_, _ = io.Copy(conn, zeros{})
			}()
			t.Cleanup(func() { <-written })
			poll.WaitOn(t, whether(func() bool { return conn.Unsent() > 1<<20 }))
		},
	} {
		t.Run(name, func(t *testing.T) {
			// Without a user timeout, the system keeps the blocked connection open.
			s := newSetup(t, detour.WithDial(dialSmall))
			conn, upstream := s.open(t)
			fill(t, conn)
			// The user timeout of the tunnel's own connection would end it after two seconds.
			ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
			defer cancel()
			assert.NilError(t, conn.Close())
			assert.NilError(t, s.handler.Drain(ctx))
			assert.Assert(t, !dial.IsEstablished(upstream))
		})
	}
}

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// dialSmall makes connections that take few bytes before they block.
func dialSmall(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
}

// Guards against the reuse of a connection that has ended or holds bytes of an earlier exchange.
func TestIsOpenAndEmpty(t *testing.T) {
	s := newSetup(t)
	conn, upstream := s.open(t)
	assert.Assert(t, conn.IsOpenAndEmpty())
	send(t, upstream, "answer")
	poll.WaitOn(t, whether(func() bool { return !conn.IsOpenAndEmpty() }))
	expect(t, conn, "ans")
	assert.Assert(t, !conn.IsOpenAndEmpty(), "the rest of a frame is buffered")
	expect(t, conn, "wer")
	assert.Assert(t, conn.IsOpenAndEmpty())
	assert.NilError(t, upstream.Close())
	poll.WaitOn(t, whether(func() bool { return !conn.IsOpenAndEmpty() }))
	assert.Equal(t, readError(t, conn), io.EOF)
	assert.Assert(t, !conn.IsOpenAndEmpty())

	conn, _ = s.open(t)
	assert.NilError(t, conn.Close())
	assert.Assert(t, !conn.IsOpenAndEmpty())
	conn, _ = s.open(t)
	assert.NilError(t, s.handler.Close())
	poll.WaitOn(t, whether(func() bool { return !conn.IsOpenAndEmpty() }))
}

func whether(holds func() bool) poll.Check {
	return func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("not yet")
	}
}

// Guards against frames that are read from the wrong byte on after a deadline.
func TestReadGoesOnBehindDeadline(t *testing.T) {
	listener := listen(t)
	conn, relay := openByHand(t, listener)
	for _, part := range []string{"\x01", "\x00\x00\x00", "\x06", "par"} {
		send(t, relay, part)
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Millisecond)))
		buffer := make([]byte, 16)
		n, err := conn.Read(buffer)
		if part == "par" {
			assert.Equal(t, string(buffer[:n]), part)
			continue
		}
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	}
	send(t, relay, "ts\n\x02")
	expect(t, conn, "ts\n")
	assert.Equal(t, readError(t, conn), io.EOF)
}

// Guards against a relaying host that is killed, whose system ends its connections in order, and against one that sends
// something else.
func TestEndOfTunnelIsNoEndOfUpstream(t *testing.T) {
	listener := listen(t)
	for _, sent := range []string{"", "\x01\x00\x00", "\x01\x00\x00\x00\x06par", "\x01\x00\x00\x00\x04part", "\x00", "\x01\xff\xff\xff\xffpart", "\x01\x00\x00\x00\x00"} {
		conn, relay := openByHand(t, listener)
		send(t, relay, sent)
		assert.NilError(t, relay.CloseWrite())
		err := readError(t, conn)
		assert.Assert(t, errors.Is(err, detour.ErrBroken), "%q: %v", sent, err)
		assert.Assert(t, !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET), "%q: %v", sent, err)
	}
}
