package link_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/link"
)

// Guards against a late refusal without an id that counts as the only response of its connection, since the connection is
// new and the late response before it was skipped.
func TestSkippedResponseShowsThatOthersMayFollow(t *testing.T) {
	address := upstream(t, func(conn net.Conn, _ *http.Request) { _, _ = io.WriteString(conn, staleResponse+ownResponse) })
	pool := link.New()
	defer pool.Close()
	response, err := pool.Do(t.Context(), link.Request{Address: address, Method: http.MethodGet, Target: "/", HostName: "h"}, func(_ int, header http.Header) bool {
		return header.Get(lateID) == "second"
	})
	assert.NilError(t, err)
	defer response.Close(0)
	assert.Equal(t, pool.Opened(), 1)
	assert.Assert(t, response.IsReused)
}
