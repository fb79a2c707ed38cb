package edge_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaspoke.example/spoke"
	fake "magnoliaspoke.example/spoke/fake/platform"
	"magnoliaspoke.example/spoke/relay"
)

const (
	// answerDelay is the time that a request takes to a distant engine, within the idle time of repeatable calls.
	answerDelay = 250 * time.Millisecond
	// leaveLimit is the time within which engines stop work for a caller that has left.
	leaveLimit = 500 * time.Millisecond
)

// startDistant runs a host with one engine that requests reach after a delay.
func startDistant(t *testing.T, delay time.Duration) *deployment {
	t.Helper()
	d := start(t, 0)
	engine := fake.NewEngine("i-far", 4)
	t.Cleanup(engine.Close)
	line, err := relay.New("127.0.0.1:0", spoke.Address(engine.Address()))
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, line.Close()) })
	d.engines = append(d.engines, engine)
	d.store.PutEngine(engine, "models", string(line.Address()), false)
	awaitTrue(t, "engine not in use", func() bool { got, err := d.send(bookCall("first")); return err == nil && got.status == http.StatusOK })
	line.Delay(relay.Forward, delay)
	return d
}

// readFinal returns the status and the body of the answer behind interim responses.
func readFinal(t *testing.T, conn net.Conn) (int, io.Reader) {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(6*time.Second)))
	reader := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		if response.StatusCode >= http.StatusOK {
			t.Cleanup(func() { response.Body.Close() })
			return response.StatusCode, response.Body
		}
	}
}

// Guards against a caller that closes its sending side behind its request, is taken for gone and gets no answer.
func TestHalfClosedCallerIsAnswered(t *testing.T) {
	cases := []struct {
		name      string
		call      call
		behaviour fake.Behaviour
		status    int
		body      string
	}{
		{"repeatable", lookCall("a"), fake.Serve, http.StatusOK, "whole answer of i-far"},
		{"once only", bookCall("b"), fake.Serve, http.StatusOK, "whole answer of i-far"},
		{"stream", chatCall("c"), fake.Serve, http.StatusOK, wholeStream},
		{"refused", bookCall("d"), fake.Shed, http.StatusServiceUnavailable, `{"error":{"code":"not-taken","outcome":"not-run"}}`},
		{"failed", bookCall("e"), fake.ResetAtOnce, http.StatusBadGateway, `{"error":{"code":"upstream-failed","outcome":"outcome-unknown"}}`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := startDistant(t, answerDelay)
			d.setBehaviour(c.behaviour)
			conn := d.openCall(c.call)
			assert.NilError(t, conn.CloseWrite())
			assertAnswer(t, conn, c.status, c.body)
		})
	}
}

// Guards against a stream that is cut because its caller closes its sending side behind the first event.
func TestHalfClosedCallerGetsWholeStream(t *testing.T) {
	d := start(t, 1)
	d.engines[0].SetEventInterval(300 * time.Millisecond)
	conn := d.openCall(chatCall("a"))
	_, body := readFinal(t, conn)
	first := make([]byte, 3)
	_, err := io.ReadFull(body, first)
	assert.NilError(t, err)
	assert.NilError(t, conn.CloseWrite())
	rest, err := io.ReadAll(body)
	assert.NilError(t, err)
	assert.Equal(t, string(first)+string(rest), wholeStream)
}

// Guards against engines that stay at work for a caller that has closed its connection, since its end looks like
// the end of its sending side.
func TestEngineStopsWhenCallerCloses(t *testing.T) {
	t.Run("before the answer", func(t *testing.T) {
		d := start(t, 1)
		d.setBehaviour(fake.Hang)
		conn := d.openCall(lookCall("a"))
		awaitTrue(t, "call not sent", func() bool { return d.runs() == 1 })
		conn.Close()
		d.awaitCancelled()
	})
	t.Run("in the middle of a stream", func(t *testing.T) {
		d := start(t, 1)
		d.engines[0].SetEventInterval(120 * time.Millisecond)
		conn := d.openCall(chatCall("a"))
		_, body := readFinal(t, conn)
		_, err := io.ReadFull(body, make([]byte, 1))
		assert.NilError(t, err)
		conn.Close()
		d.awaitCancelled()
	})
	t.Run("behind a proxy", func(t *testing.T) {
		d := start(t, 1)
		line, err := relay.New("127.0.0.1:0", d.settings.Caller)
		assert.NilError(t, err)
		t.Cleanup(func() { assert.NilError(t, line.Close()) })
		line.Delay(relay.Forward, 50*time.Millisecond)
		line.Delay(relay.Backward, 50*time.Millisecond)
		d.settings.Caller = line.Address()
		d.setBehaviour(fake.Hang)
		conn := d.openCall(lookCall("a"))
		awaitTrue(t, "call not sent", func() bool { return d.runs() == 1 })
		conn.Close()
		d.awaitCancelled()
	})
}

// awaitCancelled waits until an engine was told to stop a run.
func (d *deployment) awaitCancelled() {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if d.engines[0].Cancelled() > 0 {
			return poll.Success()
		}
		return poll.Continue("engine still at work")
	}, poll.WithTimeout(leaveLimit), poll.WithDelay(5*time.Millisecond))
}

// Guards against a call that waits on, and is sent to an engine, after its caller has closed its connection.
func TestWaitingCallEndsWhenCallerCloses(t *testing.T) {
	d := start(t, 1)
	d.setBehaviour(fake.Hang)
	conn := d.openWaiting(d.openRequest)
	requireQuiet(t, conn)
	conn.Close()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if d.hasLogged("caller left") {
			return poll.Success()
		}
		return poll.Continue("call still waits")
	}, poll.WithTimeout(leaveLimit))
	assertContains(t, d.explainRequest("waiting", "caller left"), "sent=false")
	assert.Equal(t, d.runs(), 1)
}

// Guards against a refusal that a half-closed caller does not get because its call has waited.
func TestHalfClosedCallerGetsRefusalAfterWaiting(t *testing.T) {
	d := start(t, 1)
	d.setBehaviour(fake.Hang)
	conn := d.openWaiting(d.openRequest)
	requireQuiet(t, conn)
	assert.NilError(t, conn.CloseWrite())
	status, _ := readFinal(t, conn)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, d.runs(), 1)
}

// openWaiting sends two calls whose prompts fill the only engine, and returns the connection of the second one,
// which waits.
func (d *deployment) openWaiting(open func(*http.Request) *net.TCPConn) *net.TCPConn {
	d.t.Helper()
	large := func(id string) *net.TCPConn {
		request := d.request(quoteCall(id))
		request.Header.Set("Magnoliaspoke-Token-Usage", "90000,20")
		return open(request)
	}
	large("running")
	awaitTrue(d.t, "call not sent", func() bool { return d.runs() == 1 })
	return large("waiting")
}

// requireQuiet fails the test if an answer arrives within answerDelay.
func requireQuiet(t *testing.T, conn net.Conn) {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(answerDelay)))
	_, err := conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
}
