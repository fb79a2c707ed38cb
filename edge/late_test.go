package edge_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

// Guards against a second copy of a statement "not run", late on a connection that is in use again,
// that is taken for the next request: its caller was told that it had not run, and it was run twice.
func TestLateStatementNotRunBelongsToNoOtherRequest(t *testing.T) {
	d := start(t, 2)
	d.behave(fake.ShedCopyFirst)
	got, err := d.send(book("own"))
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, fake.OwnAnswer)
	assert.Equal(t, d.runs(), 1)
}

// Guards against a stalled stream that never ends since its engine sends a byte now and then.
func TestStreamThatTricklesEnds(t *testing.T) {
	d := start(t, 2)
	d.engines[0].SetBehaviour(fake.Trickle)
	d.engines[1].SetBehaviour(fake.Trickle)
	begin := time.Now()
	got, err := d.send(quote("once"))
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(begin) < 4500*time.Millisecond)

	d.engines[0].SetBehaviour(fake.Serve)
	awaitTrue(t, "no engine serves", func() bool {
		got, err := d.send(chat("resumable"))
		return err == nil && got.status == http.StatusOK && got.body == wholeStream
	})
}

// Guards against a slow but sound stream that is cut.
func TestSlowStreamIsNotCut(t *testing.T) {
	d := start(t, 2)
	for _, engine := range d.engines {
		engine.SetEventInterval(900 * time.Millisecond)
	}
	for _, c := range []call{quote("once"), chat("resumable")} {
		got, err := d.send(c)
		assert.NilError(t, err)
		assert.Equal(t, got.body, wholeStream)
	}
	assert.Equal(t, d.runs(), 2)
}
