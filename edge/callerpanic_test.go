package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	fake "magnoliaspoke.example/spoke/fake/platform"
	"magnoliaspoke.example/spoke/platform"
)

// panickingCalls is more than the number of calls that one engine serves at a time.
const panickingCalls = 20

// failingCodec panics on the calls whose ids begin with the name of one of its methods.
type failingCodec struct{ platform.Codec }

func (c failingCodec) DecodeCall(r *http.Request) (*spoke.RelayedCall, error) {
	panicOn("decode-call", r.Header.Get("Magnoliaspoke-Request-Id"))
	return c.Codec.DecodeCall(r)
}

func (c failingCodec) EncodeAttempt(attempt spoke.RelayedAttempt) http.Header {
	panicOn("encode-attempt", string(attempt.Call.Request))
	return c.Codec.EncodeAttempt(attempt)
}

func (c failingCodec) DecodeAnswer(attempt spoke.RelayedAttempt, status int, header http.Header) spoke.AnswerHead {
	if attempt.LastEventID != "" {
		panicOn("decode-resumed", string(attempt.Call.Request))
	}
	panicOn("decode-answer", string(attempt.Call.Request))
	return c.Codec.DecodeAnswer(attempt, status, header)
}

func panicOn(method, id string) {
	if strings.HasPrefix(id, method) {
		panic("codec failed in " + method)
	}
}

// startFailing runs a host whose codec fails.
func startFailing(t *testing.T, engines int) *deployment {
	t.Helper()
	d := start(t, engines).beside("host-2")
	d.codec = failingCodec{}
	d.runHost()
	return d
}

// Guards against a call whose connection is closed without an answer because its handler panicked, and against an
// engine that counts as busy with it from then on.
func TestPanicIsAnswered(t *testing.T) {
	d := startFailing(t, 1)
	for _, c := range []struct {
		method string
		status int
		body   string
	}{
		{"decode-call", http.StatusServiceUnavailable, `{"error":{"code":"internal","outcome":"not-run"}}`},
		{"encode-attempt", http.StatusBadGateway, `{"error":{"code":"internal","outcome":"outcome-unknown"}}`},
		{"decode-answer", http.StatusBadGateway, `{"error":{"code":"internal","outcome":"outcome-unknown"}}`},
	} {
		for i := range panickingCalls {
			got, err := d.send(chatCall(fmt.Sprint(c.method, "-", i)))
			assert.NilError(t, err)
			assert.Equal(t, got.status, c.status)
			assert.Equal(t, got.body, c.body)
		}
		awaitTrue(t, "panic not logged", func() bool { return d.hasLogged("codec failed in " + c.method) })
	}
	got, err := d.send(chatCall("sound"))
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusOK)
}

// Guards against the text of an error in the middle of a stream whose handler panics.
func TestPanicInsideStreamAbortsIt(t *testing.T) {
	d := startFailing(t, 2)
	d.setBehaviour(fake.ResetMidway)
	got, err := d.send(chatCall("decode-resumed"))
	assert.ErrorContains(t, err, "unexpected EOF")
	assert.Equal(t, got.body, "id: 1\ndata: piece 1\n\n")
}
