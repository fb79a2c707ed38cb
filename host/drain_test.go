package host_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a drain that resets a keep-alive connection on which a request is arriving:
// the server counts such a connection as idle until it has read the whole request header.
func TestDrainAnswersArrivingRequest(t *testing.T) {
	leaving := startPair(t).servers[1]
	conn, err := net.Dial("tcp", leaving.listeners.Caller.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	responses := bufio.NewReader(conn)
	const head = "GET /ready HTTP/1.1\r\nHost: entry\r\n"
	send(t, conn, head+"\r\n")
	_, isLast := readResponse(t, responses)
	assert.Assert(t, !isLast)

	send(t, conn, head)
	leaving.AnnounceDrain(context.Background())
	send(t, conn, "\r\n")

	status, isLast := readResponse(t, responses)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, isLast, "a draining host keeps the connection open")
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	assert.NilError(t, err)
}

// readResponse returns the status of the next response and whether it closes the connection.
func readResponse(t *testing.T, reader *bufio.Reader) (status int, isLast bool) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response.StatusCode, response.Close
}
