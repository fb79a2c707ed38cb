package edge_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against answers that keep a core busy beyond the deadline of their call, since they hold many lines that look like
// the begin of a response.
func TestSearchForAnotherAnswerTakesLinearTime(t *testing.T) {
	const size = 256 << 10
	for name, line := range map[string]string{
		"field":       "Field: HTTP/1.1 200 OK\r\n",
		"status line": "HTTP/1.1 200 OK\r\n",
		"one line":    "HTTP/1.1 200 ",
		"no response": "HTTP/1.",
	} {
		t.Run(name, func(t *testing.T) {
			d, engines := startRaw(t)
			body := strings.Repeat(line, size/len(line))
			for _, engine := range engines {
				engine.set(behindCase{framing: openFramings[0], body: body, behind: func(string) string { return "" }}.respond(0))
			}
			got, err := d.send(lookCall("look"))
			assert.NilError(t, err)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, body)
		})
	}
}
