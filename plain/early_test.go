package plain_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/plain"
)

const longUpload = 7 << 20

// callEarly makes a call to a service that answers with some bytes before it has read the request, and then resets the
// connection or reads on.
func callEarly(t *testing.T, raw string, body []byte, isReset bool) (spoke.PlainAnswer, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.ReadFull(conn, make([]byte, 1))
		_, _ = io.WriteString(conn, raw)
		if isReset {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	}()
	client := plain.NewClient()
	t.Cleanup(func() { _ = client.Close() })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	call := spoke.PlainCall{Request: "r", Attempt: "r-1", Method: http.MethodPost, Path: "/bookings", Body: body, FreshConnection: true}
	return client.Call(ctx, spoke.Address(listener.Addr().String()), call)
}

// Guards against a part of an answer that looks whole: its connection is reset while the request is still being written,
// and the writer gets the error of the reset.
func TestResetDuringUploadLeavesNoWholeAnswer(t *testing.T) {
	const part = "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Attempt-Id: r-1\r\n\r\na part"
	// Which of the two gets the error is a race, which net/http mostly decides for the better.
	for range 300 {
		answer, err := callEarly(t, part, make([]byte, longUpload), true)
		assert.Check(t, err != nil && !errors.Is(err, spoke.ErrNotRun), "%v, answer %q", err, answer.Body)
	}
}
