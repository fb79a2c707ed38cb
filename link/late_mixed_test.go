package link_test

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a head that is mixed of two: a late response stops inside its head or its body, and the next one
// follows at once.
func TestLateResponseThatStopsInsideIsNoResponse(t *testing.T) {
	c := startLateClient(t)
	c.closes = true
	for name, extra := range map[string]string{
		"length": "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Other: 2\r\nX-Id: first\r\nContent-Length: 5\r\n\r\nstale",
		"chunks": "HTTP/1.1 500 Internal Server Error\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\nConnection: keep-alive\r\nX-Id: first\r\n\r\n5\r\nstale\r\n0\r\n\r\n",
	} {
		for sent := 1; sent < len(extra); sent++ {
			for moment, raw := range map[string]string{"own": extra[:sent] + ownResponse, "interim": extra[:sent] + interim + ownResponse} {
				body, err := c.exchange(raw, 0)
				assert.Assert(t, err != nil && !isNotRun(err), "%s, %s, cut after %q: body %q, error %v", name, moment, extra[:sent], body, err)
			}
		}
	}
}
