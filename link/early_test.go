package link_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/dial"
	"magnoliaspoke.example/spoke/link"
)

const (
	unframedHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	earlyBody    = "an early body"
	// readBehind is how long an upstream goes on reading a request behind its response.
	readBehind = 300 * time.Millisecond
)

// upload sends a long request to an upstream that answers before it has read all of it, and reads the response. end is
// called behind the response.
func upload(t *testing.T, size int, end func(*net.TCPConn)) (string, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.ReadFull(conn, make([]byte, 1))
		_, _ = io.WriteString(conn, unframedHead+earlyBody)
		end(conn.(*net.TCPConn))
	}()
	pool := link.New()
	t.Cleanup(func() { _ = pool.Close() })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	t.Cleanup(cancel)
	response, err := pool.Do(ctx, link.Request{
		Address: spoke.Address(listener.Addr().String()), Method: http.MethodPost, Target: "/", HostName: "h", Body: make([]byte, size),
	}, func(int, http.Header) bool { return true })
	if err != nil {
		return "", err
	}
	defer response.Close(0)
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against a part of a body that looks whole: its connection is reset while the request is still being written, and
// the writer gets the error of the reset.
func TestResetDuringUploadIsAnError(t *testing.T) {
	for _, size := range []int{200 << 10, 3 << 20, 7 << 20} {
		for _, delay := range []time.Duration{0, 5 * time.Millisecond, 60 * time.Millisecond} {
			for range 6 {
				body, err := upload(t, size, func(conn *net.TCPConn) {
					time.Sleep(delay)
					_ = dial.Reset(conn)
				})
				assert.Check(t, err != nil, "%d bytes, reset after %s: %q", size, delay, body)
			}
		}
	}
}

// Guards against an early response that is refused although its upstream reads on and ends it in order, and against one
// that counts although its upstream has closed the connection before it had read the request.
func TestEarlyResponseNeedsItsRequestRead(t *testing.T) {
	readAll := func(conn *net.TCPConn) {
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}
	for name, c := range map[string]struct {
		end     func(*net.TCPConn)
		isWhole bool
	}{
		"reads on and closes": {func(conn *net.TCPConn) {
			_ = conn.SetReadDeadline(time.Now().Add(readBehind))
			readAll(conn)
		}, true},
		"closes its side and reads on": {func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(readBehind)
			readAll(conn)
		}, true},
		"closes its side and resets": {func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(readBehind)
			_ = dial.Reset(conn)
		}, false},
		"closes": {func(conn *net.TCPConn) { _ = conn.Close() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			body, err := upload(t, 7<<20, c.end)
			assert.Equal(t, err == nil, c.isWhole, "%v", err)
			if c.isWhole {
				assert.Equal(t, body, earlyBody)
			}
		})
	}
}
