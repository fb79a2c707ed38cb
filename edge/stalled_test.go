package edge_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

// Guards against a delayed second copy of a "not run" answer that is taken for the answer to the next
// request on the connection. Its caller would retry a call that was run, so that it is run twice.
func TestDelayedNotRunAnswerIsDiscarded(t *testing.T) {
	d := start(t, 2)
	d.setBehaviour(fake.ShedCopyFirst)
	got, err := d.send(bookCall("own"))
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, fake.OwnAnswer)
	assert.Equal(t, d.runs(), 1)
}

// Guards against an earlier refusal that a faulty engine repeats, without a request id, on a kept connection: the caller
// was told that its call had not run, or the call ran again at another engine.
func TestRepeatedRefusalIsNoAnswer(t *testing.T) {
	d := start(t, 1)
	got, err := d.send(bookCall("first"))
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusOK)
	d.setBehaviour(fake.AnonymousShedFirst)
	got, err = d.send(bookCall("second"))
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, d.runs(), 2)

	// On a new connection there is nothing to repeat.
	got, err = d.send(bookCall("third"))
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
}

// Guards against a stalled stream that never times out because its engine sends single bytes.
func TestTricklingStreamTimesOut(t *testing.T) {
	d := start(t, 2)
	d.engines[0].SetBehaviour(fake.Trickle)
	d.engines[1].SetBehaviour(fake.Trickle)
	begin := time.Now()
	got, err := d.send(quoteCall("once"))
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(begin) < 4500*time.Millisecond)

	d.engines[0].SetBehaviour(fake.Serve)
	awaitTrue(t, "no engine serves", func() bool {
		got, err := d.send(chatCall("resumable"))
		return err == nil && got.status == http.StatusOK && got.body == wholeStream
	})
}

// Guards against a slow but valid stream that is aborted.
func TestSlowStreamIsNotAborted(t *testing.T) {
	d := start(t, 2)
	for _, engine := range d.engines {
		engine.SetEventInterval(900 * time.Millisecond)
	}
	for _, c := range []call{quoteCall("once"), chatCall("resumable")} {
		got, err := d.send(c)
		assert.NilError(t, err)
		assert.Equal(t, got.body, wholeStream)
	}
	assert.Equal(t, d.runs(), 2)
}
