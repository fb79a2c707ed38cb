package link_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/link"
)

// upstream listens and calls respond for each request on its connections.
func upstream(t *testing.T, respond func(conn net.Conn, request *http.Request)) spoke.Address {
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
			go serve(conn, respond)
		}
	}()
	return spoke.Address(listener.Addr().String())
}

func serve(conn net.Conn, respond func(conn net.Conn, request *http.Request)) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		respond(conn, request)
	}
}

func acceptAny(int, http.Header) bool { return true }

func get(t *testing.T, pool *link.Pool, address spoke.Address) (string, error) {
	t.Helper()
	response, err := pool.Do(context.Background(), link.Request{Address: address, Method: http.MethodGet, Target: "/a?b=%2F", HostName: "h"}, acceptAny)
	if err != nil {
		return "", err
	}
	defer response.Close(5 * time.Second)
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against connections that are not reused, and against reuse of one that the upstream has
// closed.
func TestOpenConnectionsAreReused(t *testing.T) {
	var closes atomic.Bool
	closed := make(chan struct{}, 3)
	address := upstream(t, func(conn net.Conn, request *http.Request) {
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
		body, err := get(t, pool, address)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
	assert.Equal(t, pool.Opened(), 1)
	closes.Store(true)
	for range 3 {
		body, err := get(t, pool, address)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
		<-closed
	}
}

// Guards against bytes after a response that are read as the response to the next request.
func TestBytesAfterResponseCloseConnection(t *testing.T) {
	address := upstream(t, func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
	})
	pool := link.New()
	defer pool.Close()
	for range 5 {
		body, err := get(t, pool, address)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
}

// Guards against an error that wraps ErrNotRun although bytes of the request may have been sent,
// and against one that does not although no connection was made.
func TestOnlyFailedDialsReportNotRun(t *testing.T) {
	address := upstream(t, func(conn net.Conn, _ *http.Request) { _ = conn.Close() })
	pool := link.New()
	defer pool.Close()
	_, err := get(t, pool, address)
	assert.Assert(t, err != nil)
	assert.Assert(t, !isNotRun(err))

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed := spoke.Address(listener.Addr().String())
	assert.NilError(t, listener.Close())
	_, err = get(t, pool, closed)
	assert.Assert(t, isNotRun(err), "%v", err)
	assert.Assert(t, errors.Is(err, spoke.ErrNotRun) && errors.Is(err, syscall.ECONNREFUSED), "%v", err)
}

func isNotRun(err error) bool { return strings.Contains(err.Error(), spoke.ErrNotRun.Error()) }

// Guards against a response without length that is truncated by a reset and looks complete.
func TestResetMidBodyIsAnError(t *testing.T) {
	address := upstream(t, func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	})
	pool := link.New()
	defer pool.Close()
	_, err := get(t, pool, address)
	assert.Assert(t, err != nil)
}

// Guards against a deadlock with an upstream that responds before it has read a long body.
func TestResponseBeforeLongBodyIsRead(t *testing.T) {
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
	response, err := pool.Do(context.Background(), link.Request{
		Address: spoke.Address(listener.Addr().String()), Method: http.MethodPost, Target: "/", HostName: "h", Body: make([]byte, 64<<20),
	}, acceptAny)
	assert.NilError(t, err)
	assert.Equal(t, response.Status, http.StatusRequestEntityTooLarge)
	response.Close(0)
}

// Guards against an exchange that continues after its context has ended.
func TestExchangeEndsWithContext(t *testing.T) {
	address := upstream(t, func(net.Conn, *http.Request) {})
	pool := link.New()
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := pool.Do(ctx, link.Request{Address: address, Method: http.MethodGet, Target: "/", HostName: "h"}, acceptAny)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

// Guards against repeated failures when an upstream drops idle connections without closing them:
// after the first reset, connections that were idle for as long must not be reused.
func TestResetOfIdleConnectionShortensReuse(t *testing.T) {
	var seen sync.Map
	address := upstream(t, func(conn net.Conn, _ *http.Request) {
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
	_, err := get(t, pool, address)
	assert.NilError(t, err)
	now = now.Add(2 * time.Second)
	_, err = get(t, pool, address)
	assert.ErrorContains(t, err, "reset")
	for range 3 {
		_, err = get(t, pool, address)
		assert.NilError(t, err)
		now = now.Add(1500 * time.Millisecond)
	}
}

// Guards against a connection that is used again although a copy of its last response may follow.
func TestDiscardedConnectionIsNotReused(t *testing.T) {
	address := upstream(t, func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	pool := link.New()
	defer pool.Close()
	for _, isDiscarded := range []bool{false, true} {
		response, err := pool.Do(t.Context(), link.Request{Address: address, Method: http.MethodGet, Target: "/", HostName: "h"}, acceptAny)
		assert.NilError(t, err)
		assert.Equal(t, response.IsReused, isDiscarded)
		_, err = io.ReadAll(response.Body)
		assert.NilError(t, err)
		if isDiscarded {
			response.Discard()
		}
		response.Close(0)
	}
	assert.Equal(t, pool.Idle(), 0)
}
