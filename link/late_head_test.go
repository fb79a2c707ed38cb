package link_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a body that is taken for a head: a request without a body in its response is among those of the
// connection.
func TestLateResponseBesideHeadRequestIsAnError(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: first\r\nContent-Length: "
	for methods, late := range map[[2]string]string{
		{http.MethodGet, http.MethodHead}: fmt.Sprintf("%s%d\r\n\r\n%s", head, len(ownLookAlike), ownLookAlike),
		{http.MethodHead, http.MethodGet}: head + "100\r\n\r\n",
	} {
		c := startLateClient(t)
		c.server.set(late+ownResponse+strings.Repeat("x", 100-len(ownResponse))+ownLookAlike, true)
		_, err := c.send(methods[0], "first")
		assert.NilError(t, err)
		body, err := c.send(methods[1], "second")
		assert.Equal(t, c.pool.Opened(), 1)
		assert.Assert(t, err != nil, "%s: body %q", methods, body)
	}
}
