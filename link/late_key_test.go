package link_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a late copy that is taken for the response to another request with the same id, against requests of
// different ids that share no connection, and against connections that become more because an id is repeated.
func TestRequestsWithSameKeyShareNoConnection(t *testing.T) {
	c := startLateClient(t)
	for i := range 20 {
		c.server.set(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %d\r\nContent-Length: 3\r\n\r\nown", i), false)
		_, err := c.send(http.MethodGet, fmt.Sprint(i))
		assert.NilError(t, err)
	}
	assert.Equal(t, c.pool.Opened(), 1)
	c.server.set("HTTP/1.1 200 OK\r\nX-Id: 19\r\nContent-Length: 5\r\n\r\nstale"+"HTTP/1.1 200 OK\r\nX-Id: 19\r\nContent-Length: 3\r\n\r\nown", false)
	for range 3 {
		body, err := c.send(http.MethodGet, "19")
		assert.NilError(t, err)
		assert.Equal(t, body, "19")
	}
	assert.Equal(t, c.pool.Opened(), 4)
	assert.Equal(t, c.pool.Idle(), 1)
}
