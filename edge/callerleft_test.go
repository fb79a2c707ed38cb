package edge_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

// openCall sends a call on a connection of its own and returns the connection.
func (d *deployment) openCall(c call) *net.TCPConn {
	d.t.Helper()
	return d.openRequest(d.request(c))
}

func (d *deployment) openRequest(request *http.Request) *net.TCPConn {
	d.t.Helper()
	conn, err := net.Dial("tcp", string(d.settings.Caller))
	assert.NilError(d.t, err)
	d.t.Cleanup(func() { conn.Close() })
	assert.NilError(d.t, request.Write(conn))
	return conn.(*net.TCPConn)
}

// Guards against a log that does not show why a caller was taken for gone and whether its call was sent.
func TestLogExplainsCallerThatLeft(t *testing.T) {
	d := start(t, 1)
	d.setBehaviour(fake.Hang)
	conn := d.openCall(lookCall("left"))
	awaitTrue(t, "call not sent", func() bool { return d.runs() == 1 })
	assert.NilError(t, conn.SetLinger(0))
	conn.Close()
	assertContains(t, d.explainRequest("left", "caller left"), "evidence=", "connection reset", "sent=true")
}

// Guards against a log that does not show how long a host took to find out that a caller has left.
func TestLogShowsTimeSinceCallersBytesEnded(t *testing.T) {
	d := start(t, 1)
	d.setBehaviour(fake.Hang)
	conn := d.openCall(lookCall("left"))
	awaitTrue(t, "call not sent", func() bool { return d.runs() == 1 })
	conn.Close()
	assertContains(t, d.explainRequest("left", "caller left"), "bytes-ended-for=", "sent=true")
}

// openOld sends a request in version 1.0, whose callers count as gone at the end of their bytes, and returns the
// connection.
func (d *deployment) openOld(request *http.Request) *net.TCPConn {
	d.t.Helper()
	conn, err := net.Dial("tcp", string(d.settings.Caller))
	assert.NilError(d.t, err)
	d.t.Cleanup(func() { conn.Close() })
	var message bytes.Buffer
	assert.NilError(d.t, request.Write(&message))
	_, err = io.WriteString(conn, strings.Replace(message.String(), "HTTP/1.1", "HTTP/1.0", 1))
	assert.NilError(d.t, err)
	return conn.(*net.TCPConn)
}

// Guards against a caller that gets no answer because it counts as gone although it still reads.
func TestCallerThatCountsAsGoneIsAnswered(t *testing.T) {
	t.Run("once only", func(t *testing.T) {
		d := startDistant(t, time.Second)
		conn := d.openOld(d.request(bookCall("once-only")))
		awaitTrue(t, "call not placed", func() bool { return d.hasLogged(`"request-id":"once-only"`) })
		assert.NilError(t, conn.CloseWrite())
		assertAnswer(t, conn, http.StatusOK, "whole answer of i-far")
	})
	t.Run("sent", func(t *testing.T) {
		d := start(t, 1)
		d.setBehaviour(fake.Hang)
		conn := d.openOld(d.request(lookCall("a")))
		awaitTrue(t, "call not sent", func() bool { return d.runs() == 1 })
		assert.NilError(t, conn.CloseWrite())
		assertAnswer(t, conn, http.StatusBadGateway, `{"error":{"code":"upstream-failed","outcome":"outcome-unknown"}}`)
	})
	t.Run("not sent", func(t *testing.T) {
		d := start(t, 1)
		d.setBehaviour(fake.Hang)
		conn := d.openWaiting(d.openOld)
		requireQuiet(t, conn)
		assert.NilError(t, conn.CloseWrite())
		assertAnswer(t, conn, http.StatusServiceUnavailable, `{"error":{"code":"not-taken","outcome":"not-run"}}`)
	})
	t.Run("failed once", func(t *testing.T) {
		d := start(t, 2)
		d.engines[0].SetBehaviour(fake.Fail)
		d.engines[1].SetBehaviour(fake.Hang)
		conn := d.openOld(d.request(lookCall("a")))
		awaitTrue(t, "call not sent twice", func() bool { return d.runs() == 2 })
		assert.NilError(t, conn.CloseWrite())
		assertAnswer(t, conn, http.StatusInternalServerError, "engine failed\n")
	})
}

func assertAnswer(t *testing.T, conn net.Conn, status int, body string) {
	t.Helper()
	gotStatus, gotBody := readFinal(t, conn)
	got, err := io.ReadAll(gotBody)
	assert.NilError(t, err)
	assert.Equal(t, gotStatus, status)
	assert.Equal(t, string(got), body)
}

// Guards against a call that may run only once and is cancelled at its engine because its caller has left.
func TestOnceOnlyCallRunsToItsEnd(t *testing.T) {
	d := startDistant(t, time.Second)
	conn := d.openCall(bookCall("left"))
	awaitTrue(t, "call not sent", func() bool { return d.hasLogged(`"request-id":"left"`) })
	assert.NilError(t, conn.SetLinger(0))
	conn.Close()
	assertContains(t, d.explainRequest("left", "answered"), "status=200")
}
