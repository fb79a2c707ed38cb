package edge_test

import (
	"errors"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

// Guards against events that come twice or go back within an answer: an upstream repeats one, or joins another run.
func TestEventsGoBackWithinNoStream(t *testing.T) {
	for name, rest := range map[string]string{
		"repeated event": "id: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n",
		"joined run":     "id: 1\ndata: other\n\nid: 2\ndata: other\n\nid: 3\ndata: other\n\nid: 4\ndata: other\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			d := start(t, 2)
			for _, engine := range d.engines {
				engine.SetUnframedAnswer(fake.UnframedAnswer{Head: []string{"HTTP/1.1 200 OK"}, Body: twoEvents + rest})
			}
			got, err := d.send(quoteCall("quote"))
			assert.Check(t, errors.Is(err, io.ErrUnexpectedEOF), "error %v", err)
			assert.Check(t, got.body == twoEvents, "body %q", got.body)
			got, err = d.send(chatCall("chat"))
			assert.NilError(t, err)
			assert.Equal(t, got.body, wholeStream)
		})
	}
}

// Guards against events twice in a stream that its caller takes up, if the upstream sends it from its beginning.
func TestStreamTakenUpRepeatsNoEvent(t *testing.T) {
	d := start(t, 1)
	d.engines[0].SetUnframedAnswer(fake.UnframedAnswer{Head: []string{"HTTP/1.1 200 OK"}, Body: wholeStream, IgnoresLastEvent: true})
	c := chatCall("taken-up")
	c.header = http.Header{"Last-Event-Id": {"2"}}
	got, err := d.send(c)
	assert.NilError(t, err)
	assert.Equal(t, got.body, fake.WholeStream(2, 4))
}
