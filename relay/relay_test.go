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
	// idlePeriod is the time without data after which a connection counts as silent.
	idlePeriod  = 50 * time.Millisecond
	testTimeout = 10 * time.Second
)

// echo starts a server that sends a name on each connection and then echoes what it reads.
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

func openRelay(t *testing.T, options ...relay.Option) *relay.Relay {
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
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
	buffer := make([]byte, len(text))
	_, err := io.ReadFull(conn, buffer)
	assert.NilError(t, err)
	assert.Equal(t, string(buffer), text)
}

// expectAdvancing advances the clock repeatedly until the text arrives, because the relay may
// start to wait only after an advance.
func expectAdvancing(t *testing.T, clock *timer.Manual, step time.Duration, conn net.Conn, text string) {
	t.Helper()
	got := ""
	for end := time.Now().Add(testTimeout); len(got) < len(text) && time.Now().Before(end); {
		clock.Advance(step)
		got += readUntilIdle(t, conn)
	}
	assert.Equal(t, got, text)
}

// readUntilIdle reads until no data arrives for idlePeriod.
func readUntilIdle(t *testing.T, conn net.Conn) string {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(idlePeriod)))
	text, err := io.ReadAll(conn)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	return string(text)
}

func expectNothing(t *testing.T, conn net.Conn) {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(idlePeriod)))
	_, err := conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// Guards against a cut that loses bytes, is visible to either side or lets new connections through.
func TestCutBuffersUntilRestore(t *testing.T) {
	r := openRelay(t)
	conn := dial(t, r)
	expect(t, conn, "a")
	r.Cut()
	send(t, conn, "held")
	duringCut := dial(t, r)
	expectNothing(t, conn)
	expectNothing(t, duringCut)
	r.Restore()
	expect(t, conn, "held")
	expect(t, duringCut, "a")
}

// Guards against connects that are answered or refused across a partition, and against ones that stay lost behind it.
func TestCutDropsConnects(t *testing.T) {
	r := openRelay(t, relay.WithDroppedConnects())
	before := dial(t, r)
	expect(t, before, "a")
	r.Cut()
	r.Cut()
	for range 3 {
		_, err := net.DialTimeout("tcp", string(r.Address()), idlePeriod)
		var failure net.Error
		assert.Assert(t, errors.As(err, &failure) && failure.Timeout(), "%v", err)
	}
	send(t, before, "held")
	dialed := make(chan net.Conn)
	go func() {
		conn, err := net.DialTimeout("tcp", string(r.Address()), testTimeout)
		assert.Check(t, err)
		dialed <- conn
	}()
	expectNothing(t, before)
	r.Restore()
	expect(t, before, "held")
	late := <-dialed
	t.Cleanup(func() { late.Close() })
	expect(t, late, "a")
	expect(t, dial(t, r), "a")
}

// Guards against silence that closes connections, affects new ones or ends with Restore.
func TestSilenceAffectsOpenConnectionsOnly(t *testing.T) {
	r := openRelay(t)
	oldConn := dial(t, r)
	expect(t, oldConn, "a")
	r.Silence()
	newConn := dial(t, r)
	expect(t, newConn, "a")
	send(t, oldConn, "lost")
	send(t, newConn, "kept")
	expect(t, newConn, "kept")
	expectNothing(t, oldConn)
	r.Restore()
	expectNothing(t, oldConn)
	assert.NilError(t, oldConn.Close())
	assert.Equal(t, r.OpenConnections(), 2)
}

// Guards against a relay that connects to the old target after the target process has restarted
// at another address, or that interrupts open connections.
func TestSetTargetAppliesToNewConnections(t *testing.T) {
	r := openRelay(t)
	before := dial(t, r)
	expect(t, before, "a")
	r.SetTarget(echo(t, "b"))
	expect(t, dial(t, r), "b")
	send(t, before, "same")
	expect(t, before, "same")
	r.SetTarget("127.0.0.1:1")
	assert.ErrorIs(t, connectionError(t, r), syscall.ECONNRESET)
}

// connectionError returns the error of a new connection; the reset may already arrive during
// the dial.
func connectionError(t *testing.T, r *relay.Relay) error {
	t.Helper()
	conn, err := net.Dial("tcp", string(r.Address()))
	if err != nil {
		return err
	}
	defer conn.Close()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
	_, err = conn.Read(make([]byte, 1))
	return err
}

// Guards against a relay that accepts connections after the target process has ended: the
// refusal shows clients that nothing ran. Also guards against a cut that refuses connections.
func TestConnectionsRefusedWithoutTarget(t *testing.T) {
	r := openRelay(t)
	expect(t, dial(t, r), "a")
	r.SetTarget("")
	for range 3 {
		_, err := net.Dial("tcp", string(r.Address()))
		assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	}
	r.Cut()
	duringCut := dial(t, r)
	expectNothing(t, duringCut)
	r.SetTarget(echo(t, "b"))
	r.Restore()
	expect(t, duringCut, "b")
	expect(t, dial(t, r), "b")
}

// Guards against delay in the wrong direction and against reordered bytes.
func TestDelayIsOneWay(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	r := openRelay(t, relay.WithTimer(clock))
	conn := dial(t, r)
	expect(t, conn, "a")
	r.Delay(relay.Forward, time.Second)
	send(t, conn, "slow")
	expectNothing(t, conn)
	r.Delay(relay.Forward, 0)
	send(t, conn, "er")
	expectNothing(t, conn)
	expectAdvancing(t, clock, time.Second, conn, "slower")
}

// Guards against a bandwidth limit that applies to each connection separately.
func TestLimitSharedByConnections(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	r := openRelay(t, relay.WithTimer(clock))
	first, second := dial(t, r), dial(t, r)
	expect(t, first, "a")
	expect(t, second, "a")
	r.Limit(relay.Backward, 1000)
	send(t, first, "0123456789")
	send(t, second, "0123456789")
	expectNothing(t, first)
	clock.Advance(10 * time.Millisecond)
	received := readUntilIdle(t, first) + readUntilIdle(t, second)
	assert.Assert(t, len(received) <= 10, "%d bytes passed in 10 ms at 1,000 bytes/s", len(received))
	for end := time.Now().Add(testTimeout); len(received) < 20 && time.Now().Before(end); {
		clock.Advance(10 * time.Millisecond)
		received += readUntilIdle(t, first) + readUntilIdle(t, second)
	}
	assert.Equal(t, received, "01234567890123456789")
}

// Guards against bytes that are lost, duplicated or reordered while conditions change.
func TestChangingConditionsPreserveBytes(t *testing.T) {
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
			direction := rapid.SampledFrom([]relay.Direction{relay.Forward, relay.Backward}).Draw(t, "direction")
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
				r.Delay(direction, time.Duration(amount)*time.Millisecond)
			case "limit":
				r.Limit(direction, spoke.ByteRate(amount*1000))
			default:
				clock.Advance(time.Duration(amount) * time.Millisecond)
			}
		}
		r.Restore()
		assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
		assert.Equal(t, readAll(t, conn, clock), sent)
	})
}

// readAll reads to the end of the stream while it advances the clock.
func readAll(t assert.TestingT, conn net.Conn, clock *timer.Manual) string {
	got, buffer := "", make([]byte, 1<<10)
	for end := time.Now().Add(testTimeout); time.Now().Before(end); clock.Advance(time.Second) {
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

// Guards against half-closed streams that are truncated and connections that are never released.
func TestHalfCloseIsForwarded(t *testing.T) {
	r := openRelay(t)
	conn := dial(t, r)
	send(t, conn, "last")
	assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
	text, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Equal(t, string(text), "alast")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.OpenConnections() == 0 {
			return poll.Success()
		}
		return poll.Continue("%d connections open", r.OpenConnections())
	}, poll.WithTimeout(testTimeout), poll.WithDelay(time.Millisecond))
}
