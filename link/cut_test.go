package link_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/link"
)

// cutResponse is a response of which only the first bytes are sent.
type cutResponse struct {
	raw string
	// head is the size of the head in bytes, with the informational response before it.
	head    int
	isReset bool
	// endsWithConnection is set if the response has neither a length nor chunks.
	endsWithConnection bool
}

// cutResponses returns a response for each framing, status, end of the connection and possible informational
// response before it.
func cutResponses() []cutResponse {
	var responses []cutResponse
	for _, framing := range []struct{ field, body string }{
		{"Content-Length: 12\r\n", "twelve bytes"},
		{"Transfer-Encoding: chunked\r\n", "c\r\ntwelve bytes\r\n0\r\n\r\n"},
		{"Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n", "6\r\ntwelve\r\n6;a=b\r\n bytes\r\n0\r\nX-Sum: 12\r\n\r\n"},
		{"", "twelve bytes"},
	} {
		for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
			for _, interim := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"} {
				head := interim + fmt.Sprintf("HTTP/1.1 %d %s\r\nServer: x\r\n%sDate: now\r\n\r\n", status, http.StatusText(status), framing.field)
				for _, isReset := range []bool{false, true} {
					responses = append(responses, cutResponse{head + framing.body, len(head), isReset, framing.field == ""})
				}
			}
		}
	}
	return responses
}

// Guards against a response that an upstream has cut inside its head or its chunks and that looks whole.
func TestCutResponseIsAnError(t *testing.T) {
	for _, cut := range cutResponses() {
		end := len(cut.raw)
		if cut.endsWithConnection && !cut.isReset {
			// The end of the connection is the end of such a body.
			end = cut.head
		}
		for sent := range end {
			_, err := getRaw(t, cut.raw[:sent], cut.isReset)
			assert.Assert(t, err != nil && !isNotRun(err), "cut after %q: %v", cut.raw[:sent], err)
		}
		body, err := getRaw(t, cut.raw, false)
		assert.NilError(t, err, "%q", cut.raw)
		assert.Equal(t, body, "twelve bytes")
	}
}

// getRaw returns the body of a response that consists of the given bytes.
func getRaw(t *testing.T, raw string, isReset bool) (string, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go respondRaw(listener, raw, isReset)
	pool := link.New()
	defer pool.Close()
	return get(t, pool, spoke.Address(listener.Addr().String()))
}

// respondRaw reads one request and sends the given bytes.
func respondRaw(listener net.Listener, raw string, isReset bool) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	serve(conn, func(conn net.Conn, _ *http.Request) {
		_, _ = io.Copy(conn, strings.NewReader(raw))
		if isReset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	})
}
