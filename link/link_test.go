package link_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/link"
)

// upstream accepts connections and lets a script answer each request on them.
func upstream(t *testing.T, answer func(conn net.Conn, request *http.Request)) spoke.Address {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn, answer)
		}
	}()
	return spoke.Address(listener.Addr().String())
}

func serve(conn net.Conn, answer func(conn net.Conn, request *http.Request)) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer(conn, request)
	}
}

func own(int, http.Header) bool { return true }

func get(t *testing.T, pool *link.Pool, at spoke.Address) (string, error) {
	t.Helper()
	answer, err := pool.Do(context.Background(), link.Request{Address: at, Method: http.MethodGet, Target: "/a?b=%2F", HostName: "h"}, own)
	if err != nil {
		return "", err
	}
	defer answer.Close(5 * time.Second)
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

// Guards against connections that are not used again, and against a call on one that the
// upstream has closed.
func TestConnectionsAreKeptWhileTheyAreGood(t *testing.T) {
	var closes atomic.Bool
	closed := make(chan struct{}, 3)
	at := upstream(t, func(conn net.Conn, request *http.Request) {
		isLast := closes.Load()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		if isLast {
			_ = conn.Close()
			closed <- struct{}{}
		}
	})
	pool := link.New()
	defer pool.Close()
	for range 3 {
		body, err := get(t, pool, at)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
	assert.Equal(t, pool.Opened(), 1)
	closes.Store(true)
	for range 3 {
		body, err := get(t, pool, at)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
		<-closed
	}
}

// Guards against bytes after an answer that are read as the answer to the next request.
func TestBytesAfterAnAnswerEndTheConnection(t *testing.T) {
	at := upstream(t, func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
	})
	pool := link.New()
	defer pool.Close()
	for range 5 {
		body, err := get(t, pool, at)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
}

// Guards against a statement "not run" for a request of which bytes have left, and against the
// lack of it where no connection was made.
func TestErrorsSayWhetherTheRequestLeft(t *testing.T) {
	at := upstream(t, func(conn net.Conn, _ *http.Request) { _ = conn.Close() })
	pool := link.New()
	defer pool.Close()
	_, err := get(t, pool, at)
	assert.Assert(t, err != nil)
	assert.Assert(t, !isNotRun(err))

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed := spoke.Address(listener.Addr().String())
	assert.NilError(t, listener.Close())
	_, err = get(t, pool, closed)
	assert.Assert(t, isNotRun(err), "%v", err)
}

func isNotRun(err error) bool { return strings.Contains(err.Error(), spoke.ErrNotRun.Error()) }

// Guards against an answer without length that is cut by a reset and looks whole.
func TestResetAnswerIsNotWhole(t *testing.T) {
	at := upstream(t, func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	})
	pool := link.New()
	defer pool.Close()
	_, err := get(t, pool, at)
	assert.Assert(t, err != nil)
}

// Guards against a deadlock with an upstream that answers before it has read a long body.
func TestEarlyAnswerToALongBody(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
	}()
	pool := link.New()
	defer pool.Close()
	answer, err := pool.Do(context.Background(), link.Request{
		Address: spoke.Address(listener.Addr().String()), Method: http.MethodPost, Target: "/", HostName: "h", Body: make([]byte, 64<<20),
	}, own)
	assert.NilError(t, err)
	assert.Equal(t, answer.Status, http.StatusRequestEntityTooLarge)
	answer.Close(0)
}

// Guards against an exchange that outlives its caller.
func TestExchangeEndsWithItsContext(t *testing.T) {
	at := upstream(t, func(net.Conn, *http.Request) {})
	pool := link.New()
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := pool.Do(ctx, link.Request{Address: at, Method: http.MethodGet, Target: "/", HostName: "h"}, own)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

// Guards against connections that an upstream drops without a sign while they are idle: the
// first loss must not be followed by many.
func TestDroppedIdleConnectionsAreLearned(t *testing.T) {
	var seen sync.Map
	at := upstream(t, func(conn net.Conn, _ *http.Request) {
		if _, isSecond := seen.LoadOrStore(conn, true); isSecond {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	now := time.Now()
	pool := link.New(link.WithClock(func() time.Time { return now }))
	defer pool.Close()
	_, err := get(t, pool, at)
	assert.NilError(t, err)
	now = now.Add(2 * time.Second)
	_, err = get(t, pool, at)
	assert.ErrorContains(t, err, "reset")
	for range 3 {
		_, err = get(t, pool, at)
		assert.NilError(t, err)
		now = now.Add(1500 * time.Millisecond)
	}
}
