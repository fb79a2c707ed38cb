package edge_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
	"magnoliaspoke.example/spoke/relay"
)

const (
	// fullLinkDelay is the time that bytes wait in the queue of a host's full link, longer than engines may stay at work.
	fullLinkDelay = 600 * time.Millisecond
	// firstEventWait is the time for which callers of streams wait for the first event on the table of these tests.
	firstEventWait = 2 * time.Second
)

// startBehindFullLink runs a host whose bytes to its callers wait in a queue.
func startBehindFullLink(t *testing.T) *deployment {
	t.Helper()
	d := start(t, 1)
	d.putImpatientTable()
	line, err := relay.New("127.0.0.1:0", d.settings.Caller)
	assert.NilError(t, err)
	d.closeAfterHosts(func() { _ = line.Close() })
	line.Delay(relay.Backward, fullLinkDelay)
	d.settings.Caller = line.Address()
	return d
}

// Guards against engines that work on for callers that have left at the end of their time: the interim response that
// would show it, and the reset that answers it, need a way there and back over a full link.
func TestEngineStopsAtEndOfCallersTimeBehindFullLink(t *testing.T) {
	t.Run("before the first event", func(t *testing.T) {
		t.Parallel()
		d := startBehindFullLink(t)
		d.setBehaviour(fake.Hang)
		conn := d.openCall(longCall(chatCall("a")))
		<-time.After(firstEventWait)
		conn.Close()
		d.awaitCancelled()
		assertContains(t, d.explainRequest("a", "caller left"), "time is over", "sent=true")
	})
	t.Run("between events", func(t *testing.T) {
		t.Parallel()
		d := startBehindFullLink(t)
		d.engines[0].SetStall(fake.Stall{After: 1, For: time.Minute})
		request := d.request(longCall(chatCall("a")))
		request.Header.Set("Magnoliaspoke-Deadline-Ms", "20000")
		conn := d.openRequest(request)
		_, body := readFinal(t, conn)
		_, err := io.ReadFull(body, make([]byte, 1))
		assert.NilError(t, err)
		<-time.After(firstEventWait)
		conn.Close()
		d.awaitCancelled()
	})
	t.Run("at the deadline", func(t *testing.T) {
		t.Parallel()
		d := startBehindFullLink(t)
		d.setBehaviour(fake.Hang)
		request := d.request(longCall(lookCall("a")))
		request.Header.Set("Magnoliaspoke-Deadline-Ms", "2400")
		conn := d.openRequest(request)
		// The caller's time has begun before its call arrived.
		<-time.After(1900 * time.Millisecond)
		conn.Close()
		d.awaitCancelled()
	})
}

// Guards against a late first event that does not reach a caller that has closed its sending side behind its request and
// waits beyond its time.
func TestHalfClosedCallerGetsLateStream(t *testing.T) {
	d := start(t, 1)
	d.putImpatientTable()
	d.engines[0].SetStall(fake.Stall{For: lateFirstEvent})
	conn := d.openCall(longCall(chatCall("a")))
	assert.NilError(t, conn.CloseWrite())
	assertAnswer(t, conn, http.StatusOK, wholeStream)
}
