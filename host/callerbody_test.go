package host_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// The rest of a slow body behind the limit of bodies takes longer than a server waits before it closes a
	// connection with unread bytes, and is larger than what it reads before.
	slowBodyChunk    = 512 << 10
	slowBodyChunks   = 32
	slowBodyInterval = 50 * time.Millisecond
)

// Guards against a refusal that is lost because the host closes the connection while the caller still sends its body;
// the caller reads the answer only after that.
func TestRefusalBeforeBodyIsNotLost(t *testing.T) {
	p := startPair(t)
	for _, c := range []struct {
		name, path, header string
		status             int
	}{
		{"unknown key", completionsPath, "Authorization: Bearer other\r\n", http.StatusUnauthorized},
		{"bad deadline", completionsPath, authorization + "X-Spoke-Deadline-Ms: soon\r\n", http.StatusBadRequest},
		{"too large", completionsPath, authorization, http.StatusRequestEntityTooLarge},
		{"unknown path", "/v1/other", authorization, http.StatusNotFound},
		{"unknown service", "/services/other/a", authorization, http.StatusNotFound},
		{"unknown rank", bookingPath, authorization + "X-Spoke-Rank: other\r\n", http.StatusNotFound},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			conn := p.servers[0].openBody(t, c.path, c.header, slowBodyChunk*slowBodyChunks)
			tick := time.NewTicker(slowBodyInterval)
			defer tick.Stop()
			chunk := strings.Repeat("x", slowBodyChunk)
			for range slowBodyChunks {
				<-tick.C
				send(t, conn, chunk)
			}
			status, _ := readFinal(t, conn)
			assert.Equal(t, status, c.status)
		})
	}
}

// Guards against a refusal that is held back until the caller has sent its body, and against a kept connection on which
// the rest of the body is taken for a request.
func TestRefusalPrecedesEndOfBody(t *testing.T) {
	p := startPair(t)
	conn := p.servers[0].openBody(t, completionsPath, "", 10)
	reader := bufio.NewReader(conn)
	for range 2 {
		send(t, conn, "first")
		status, isLast := readResponse(t, reader)
		assert.Equal(t, status, http.StatusUnauthorized)
		assert.Assert(t, !isLast)
		send(t, conn, "rest!"+postHead(completionsPath, "", 10))
	}
}

// Guards against a refusal that waits for the body of a caller that sends none before it is asked to.
func TestCallerThatAwaitsConsentIsRefusedAtOnce(t *testing.T) {
	conn := startPair(t).servers[0].openBody(t, completionsPath, "Expect: 100-continue\r\n", 10)
	status, isLast := readResponse(t, bufio.NewReader(conn))
	assert.Equal(t, status, http.StatusUnauthorized)
	assert.Assert(t, isLast)
}

// postHead returns the head of a request with a body.
func postHead(path, header string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: entry\r\n%sContent-Length: %d\r\n\r\n", path, header, length)
}

// openBody sends the head of a request to the caller API of a host and returns its connection.
func (s *loopbackHost) openBody(t *testing.T, path, header string, length int) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", s.listeners.Caller.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(6*time.Second)))
	send(t, conn, postHead(path, header, length))
	return conn.(*net.TCPConn)
}
