package edge_test

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

// Guards against "not run" for a call that runs: the engine at its address answered 421 to the check of an end, and sends
// that once more on the connection.
func TestCopyOfMisdirectedCheckIsNoAnswer(t *testing.T) {
	d, listeners := startLate(t, 1)
	meant, next := d.engines[0], make(chan *fake.Engine, 1)
	late := &fake.LateListener{}
	replace := func() {
		_ = listeners[0].Close()
		raw, err := net.Listen("tcp", meant.Address())
		assert.Check(t, err)
		late.Listener = raw
		next <- fake.NewEngineAt(late, "i-next", 4)
	}
	meant.SetUnframedAnswer(fake.UnframedAnswer{Head: []string{"HTTP/1.1 200 OK"}, Body: "whole", OnSent: replace})
	got, err := d.send(bookCall("ended"))
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusBadGateway)
	d.engines[0] = <-next
	t.Cleanup(d.engines[0].Close)
	assert.Equal(t, d.engines[0].Reports(), 1)
	d.store.Remove("servers/" + meant.ID)
	d.putEntry(d.engines[0], "ready")
	late.SetCopies(anonymous)
	sent := bookCall("next")
	awaitTrue(t, "next engine gets no calls", func() bool {
		got, err = d.send(sent)
		assert.NilError(t, err)
		return len(runsOf(sent, d.engines)) > 0
	})
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, len(runsOf(sent, d.engines)), 1)
}
