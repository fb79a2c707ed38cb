package relay_test

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/relay"
	"magnoliaspoke.example/spoke/timer"
)

const (
	loopback = spoke.Address("127.0.0.1:0")
	// quiet is how long a connection must stay without data to count as silent.
	quiet = 50 * time.Millisecond
	limit = 10 * time.Second
)

// echo serves connections that send back what they read, prefixed by a name.
func echo(t testing.TB, name string) spoke.Address {
	t.Helper()
	listener, err := net.Listen("tcp", string(loopback))
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = conn.Write([]byte(name))
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return spoke.Address(listener.Addr().String())
}

func open(t *testing.T, options ...relay.Option) *relay.Relay {
	t.Helper()
	r, err := relay.New(loopback, echo(t, "a"), options...)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, r.Close()) })
	return r
}

func dial(t *testing.T, r *relay.Relay) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", string(r.Address()))
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := conn.Write([]byte(text))
	assert.NilError(t, err)
}

func expect(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(limit)))
	buffer := make([]byte, len(text))
	_, err := io.ReadFull(conn, buffer)
	assert.NilError(t, err)
	assert.Equal(t, string(buffer), text)
}

// expectWith advances the clock until the text arrives, because the relay may reach its
// wait only after an advance.
func expectWith(t *testing.T, clock *timer.Manual, step time.Duration, conn net.Conn, text string) {
	t.Helper()
	got := ""
	for end := time.Now().Add(limit); len(got) < len(text) && time.Now().Before(end); {
		clock.Advance(step)
		got += drain(t, conn)
	}
	assert.Equal(t, got, text)
}

// drain reads until the connection stays quiet.
func drain(t *testing.T, conn net.Conn) string {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(quiet)))
	text, err := io.ReadAll(conn)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	return string(text)
}

func expectNothing(t *testing.T, conn net.Conn) {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(quiet)))
	_, err := conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// Guards against a cut that loses bytes, tells a side of it or lets new connections through.
func TestCutHoldsAndRestoreDelivers(t *testing.T) {
	r := open(t)
	conn := dial(t, r)
	expect(t, conn, "a")
	r.Cut()
	send(t, conn, "held")
	late := dial(t, r)
	expectNothing(t, conn)
	expectNothing(t, late)
	r.Restore()
	expect(t, conn, "held")
	expect(t, late, "a")
}

// Guards against silence that ends connections, harms new ones or ends with Restore.
func TestSilenceStrikesOpenConnectionsOnly(t *testing.T) {
	r := open(t)
	old := dial(t, r)
	expect(t, old, "a")
	r.Silence()
	fresh := dial(t, r)
	expect(t, fresh, "a")
	send(t, old, "lost")
	send(t, fresh, "kept")
	expect(t, fresh, "kept")
	expectNothing(t, old)
	r.Restore()
	expectNothing(t, old)
	assert.NilError(t, old.Close())
	assert.Equal(t, r.Open(), 2)
}

// Guards against a relay that keeps its old target after a restart of the process behind it.
func TestTargetChanges(t *testing.T) {
	r := open(t)
	before := dial(t, r)
	expect(t, before, "a")
	r.SetTarget(echo(t, "b"))
	expect(t, dial(t, r), "b")
	send(t, before, "same")
	expect(t, before, "same")
	r.SetTarget("127.0.0.1:1")
	assert.ErrorIs(t, firstFailure(t, r), syscall.ECONNRESET)
}

// firstFailure returns the error of a new connection, which a reset may reach before the
// dial has returned.
func firstFailure(t *testing.T, r *relay.Relay) error {
	t.Helper()
	conn, err := net.Dial("tcp", string(r.Address()))
	if err != nil {
		return err
	}
	defer conn.Close()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(limit)))
	_, err = conn.Read(make([]byte, 1))
	return err
}

// Guards against a relay that hides the end of a process from those who connect, who must
// be able to tell that nothing ran, and against a cut that tells them.
func TestRefusesWithoutTarget(t *testing.T) {
	r := open(t)
	expect(t, dial(t, r), "a")
	r.SetTarget("")
	for range 3 {
		_, err := net.Dial("tcp", string(r.Address()))
		assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	}
	r.Cut()
	held := dial(t, r)
	expectNothing(t, held)
	r.SetTarget(echo(t, "b"))
	r.Restore()
	expect(t, held, "b")
	expect(t, dial(t, r), "b")
}

// Guards against delay in the wrong direction and against bytes that overtake each other.
func TestDelayIsOneWay(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	r := open(t, relay.WithTimer(clock))
	conn := dial(t, r)
	expect(t, conn, "a")
	r.Delay(relay.Forward, time.Second)
	send(t, conn, "slow")
	expectNothing(t, conn)
	r.Delay(relay.Forward, 0)
	send(t, conn, "er")
	expectNothing(t, conn)
	expectWith(t, clock, time.Second, conn, "slower")
}

// Guards against a bandwidth limit that each connection gets for itself.
func TestLimitIsShared(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	r := open(t, relay.WithTimer(clock))
	first, second := dial(t, r), dial(t, r)
	expect(t, first, "a")
	expect(t, second, "a")
	r.Limit(relay.Backward, 1000)
	send(t, first, "0123456789")
	send(t, second, "0123456789")
	expectNothing(t, first)
	clock.Advance(10 * time.Millisecond)
	early := drain(t, first) + drain(t, second)
	assert.Assert(t, len(early) <= 10, "%d bytes passed in 10 ms at 1,000 bytes/s", len(early))
	for end := time.Now().Add(limit); len(early) < 20 && time.Now().Before(end); {
		clock.Advance(10 * time.Millisecond)
		early += drain(t, first) + drain(t, second)
	}
	assert.Equal(t, early, "01234567890123456789")
}

// Guards against bytes that get lost, doubled or reordered while conditions change.
func TestChangingConditionsKeepBytes(t *testing.T) {
	target := echo(t, "")
	rapid.Check(t, func(t *rapid.T) {
		clock := timer.NewManual(time.Unix(1000, 0))
		r, err := relay.New(loopback, target, relay.WithTimer(clock))
		assert.NilError(t, err)
		defer func() { assert.NilError(t, r.Close()) }()
		conn, err := net.Dial("tcp", string(r.Address()))
		assert.NilError(t, err)
		defer conn.Close()
		sent := ""
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			way := rapid.SampledFrom([]relay.Direction{relay.Forward, relay.Backward}).Draw(t, "direction")
			amount := rapid.IntRange(0, 50).Draw(t, "amount")
			switch rapid.SampledFrom([]string{"send", "cut", "restore", "delay", "limit", "advance"}).Draw(t, "step") {
			case "send":
				text := rapid.StringN(amount, amount, -1).Draw(t, "text")
				_, err := conn.Write([]byte(text))
				assert.NilError(t, err)
				sent += text
			case "cut":
				r.Cut()
			case "restore":
				r.Restore()
			case "delay":
				r.Delay(way, time.Duration(amount)*time.Millisecond)
			case "limit":
				r.Limit(way, spoke.ByteRate(amount*1000))
			default:
				clock.Advance(time.Duration(amount) * time.Millisecond)
			}
		}
		r.Restore()
		assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
		assert.Equal(t, readAll(t, conn, clock), sent)
	})
}

// readAll reads to the end of the stream while the clock moves on.
func readAll(t assert.TestingT, conn net.Conn, clock *timer.Manual) string {
	got, buffer := "", make([]byte, 1<<10)
	for end := time.Now().Add(limit); time.Now().Before(end); clock.Advance(time.Second) {
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(time.Millisecond)))
		count, err := conn.Read(buffer)
		got += string(buffer[:count])
		if errors.Is(err, io.EOF) {
			return got
		}
		assert.Assert(t, err == nil || errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	}
	return got + " and no end"
}

// Guards against half-closed streams that are cut short and links that are never given up.
func TestHalfClose(t *testing.T) {
	r := open(t)
	conn := dial(t, r)
	send(t, conn, "last")
	assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(limit)))
	text, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Equal(t, string(text), "alast")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.Open() == 0 {
			return poll.Success()
		}
		return poll.Continue("%d links open", r.Open())
	}, poll.WithTimeout(limit), poll.WithDelay(time.Millisecond))
}
