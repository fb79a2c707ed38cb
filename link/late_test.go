package link_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/link"
)

const (
	lateID  = "X-Id"
	interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	// ownResponse is the response to the second request of a connection.
	ownResponse = "HTTP/1.1 200 OK\r\nX-Id: second\r\nContent-Length: 3\r\n\r\nown"
	// staleResponse is a copy of the response to the first one.
	staleResponse = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Id: first\r\nContent-Length: 5\r\n\r\nstale"
	// ownLookAlike stands in the bodies of late responses.
	ownLookAlike = "HTTP/1.1 200 OK\r\nX-Id: second\r\nContent-Length: 5\r\n\r\nstale"
	maxSkipped   = 1 << 20
)

type (
	// lateServer answers the first request of a connection, and the others with the bytes that are set.
	lateServer struct {
		address spoke.Address

		mu  sync.Mutex
		raw string
		// closes is set if the connection is closed behind the bytes.
		closes bool
		// conn is the latest connection.
		conn net.Conn
	}

	// tappedConn is a client's connection.
	tappedConn struct {
		*net.TCPConn
		// beforeWrite is called before the next write, if it is set.
		beforeWrite func()
		// untilSplit is the number of bytes that are read before all others.
		untilSplit int
	}

	// lateClient sends requests to a lateServer.
	lateClient struct {
		t      *testing.T
		pool   *link.Pool
		server *lateServer
		conn   *tappedConn
		// closes is set if the server closes connections behind the second response.
		closes bool
	}
)

func startLateClient(t *testing.T) *lateClient {
	t.Helper()
	c := &lateClient{t: t, server: &lateServer{}}
	c.server.address = upstream(t, c.server.respond)
	c.pool = link.New(link.WithConns(func(raw *net.TCPConn) net.Conn {
		// The test opens thousands of connections, which must not wait for late segments.
		assert.Check(t, raw.SetLinger(0))
		c.conn = &tappedConn{TCPConn: raw}
		return c.conn
	}))
	t.Cleanup(func() { _ = c.pool.Close() })
	return c
}

func (s *lateServer) respond(conn net.Conn, request *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != conn {
		s.conn = conn
		id := request.Header.Get(lateID)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n", id, len(id))
		if request.Method != http.MethodHead {
			_, _ = io.WriteString(conn, id)
		}
		return
	}
	_, _ = io.WriteString(conn, s.raw)
	if s.closes {
		_ = conn.Close()
	}
}

// set sets the answer to further requests of a connection.
func (s *lateServer) set(raw string, closes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.raw, s.closes = raw, closes
}

// inject sends bytes on the latest connection.
func (s *lateServer) inject(raw string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = io.WriteString(s.conn, raw)
}

// send sends a request and returns the body of its response.
func (c *lateClient) send(method, id string) (string, error) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), 10*time.Second)
	defer cancel()
	response, err := c.pool.Do(ctx, link.Request{
		Address: c.server.address, Method: method, Target: "/", HostName: "h", Header: http.Header{lateID: {id}}, Key: id,
	}, func(_ int, header http.Header) bool { return header.Get(lateID) == id })
	if err != nil {
		return "", err
	}
	defer response.Close(5 * time.Second)
	body, err := io.ReadAll(response.Body)
	if response.Status != http.StatusOK {
		return "", fmt.Errorf("status %d", response.Status)
	}
	return string(body), err
}

// exchange makes a first request on a new connection and then a second one, whose response begins with the bytes that are
// set and is read in two parts.
func (c *lateClient) exchange(raw string, split int) (string, error) {
	c.t.Helper()
	_ = c.pool.Close()
	c.server.set(raw, c.closes)
	body, err := c.send(http.MethodGet, "first")
	assert.NilError(c.t, err)
	assert.Equal(c.t, body, "first")
	c.conn.untilSplit = split
	opened := c.pool.Opened()
	body, err = c.send(http.MethodGet, "second")
	assert.Equal(c.t, c.pool.Opened(), opened, "the second request had another connection")
	assert.Equal(c.t, c.pool.Idle(), 0, "%q", raw)
	return body, err
}

// Write calls beforeWrite first.
func (c *tappedConn) Write(bytes []byte) (int, error) {
	if before := c.beforeWrite; before != nil {
		c.beforeWrite = nil
		before()
	}
	return c.TCPConn.Write(bytes)
}

// Read stops at the split.
func (c *tappedConn) Read(buffer []byte) (int, error) {
	if c.untilSplit > 0 && len(buffer) > c.untilSplit {
		buffer = buffer[:c.untilSplit]
	}
	n, err := c.TCPConn.Read(buffer)
	c.untilSplit -= n
	return n, err
}

// awaitBytes waits until the connection has unread bytes.
func (c *tappedConn) awaitBytes(t *testing.T) {
	t.Helper()
	control, err := c.SyscallConn()
	assert.NilError(t, err)
	err = control.Read(func(fd uintptr) bool {
		var probe [1]byte
		n, _, _ := unix.Recvfrom(int(fd), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return n > 0
	})
	assert.NilError(t, err)
}

// Guards against a late copy of a response on an idle connection or behind its check that is taken for the next response,
// and against a connection that is used again behind it.
func TestLateResponseBeforeRequestIsSkipped(t *testing.T) {
	for name, beforeWrite := range map[string]bool{"idle": false, "between check and write": true} {
		t.Run(name, func(t *testing.T) {
			c := startLateClient(t)
			c.server.set(ownResponse, false)
			_, err := c.send(http.MethodGet, "first")
			assert.NilError(t, err)
			conn := c.conn
			inject := func() {
				c.server.inject(staleResponse)
				conn.awaitBytes(t)
			}
			wantBody, wantOpened, wantIdle := "second", 2, 1
			if beforeWrite {
				conn.beforeWrite = inject
				wantBody, wantOpened, wantIdle = "own", 1, 0
			} else {
				inject()
			}
			body, err := c.send(http.MethodGet, "second")
			assert.NilError(t, err)
			assert.Equal(t, body, wantBody)
			assert.Equal(t, c.pool.Opened(), wantOpened)
			assert.Equal(t, c.pool.Idle(), wantIdle)
		})
	}
}

// Guards against a late response that is taken for the next one, or keeps it from its caller, at each moment before it and
// with each place at which the bytes are read in two parts.
func TestLateResponseAfterRequestIsSkipped(t *testing.T) {
	c := startLateClient(t)
	for name, extra := range map[string]string{
		"names another request": staleResponse,
		"names none":            "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 5\r\n\r\nstale",
		"in chunks":             "HTTP/1.1 200 OK\r\nX-Id: first\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nstale\r\n0\r\n\r\n",
		"without a body":        "HTTP/1.1 204 No Content\r\nX-Id: first\r\n\r\n",
		"two":                   staleResponse + staleResponse,
	} {
		for moment, raw := range map[string]string{
			"after the request": extra + ownResponse, "before an interim response": extra + interim + ownResponse,
			"behind an interim response": interim + extra + ownResponse,
		} {
			for split := range len(raw) {
				body, err := c.exchange(raw, split)
				assert.NilError(t, err, "%s, %s, split at %d", name, moment, split)
				assert.Equal(t, body, "own", "%s, %s, split at %d", name, moment, split)
			}
		}
	}
}

// Guards against bytes of a late response that are taken for a response, when it is too long or has no end of its own.
func TestLateResponseWithoutReachableEndIsAnError(t *testing.T) {
	c := startLateClient(t)
	long := func(size int) string { return strings.Repeat("x", size) + ownLookAlike }
	head := "HTTP/1.1 200 OK\r\nX-Id: first\r\n"
	for name, raw := range map[string]string{
		"over 1 MB":                fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(long(maxSkipped)), long(maxSkipped)),
		"over 1 MB in chunks":      fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(long(maxSkipped)), long(maxSkipped)),
		"neither length nor chunk": head + "\r\nstale",
		"neither, over 1 MB":       head + "\r\n" + long(maxSkipped),
		"three":                    staleResponse + staleResponse + staleResponse,
	} {
		t.Run(name, func(t *testing.T) {
			body, err := c.exchange(raw+ownResponse, 0)
			assert.Assert(t, err != nil && !isNotRun(err), "body %q, error %v", body, err)
			assert.Assert(t, !strings.Contains(err.Error(), context.DeadlineExceeded.Error()), "%v", err)
		})
	}
	body, err := c.exchange(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s%s", head, maxSkipped, strings.Repeat("x", maxSkipped), ownResponse), 0)
	assert.NilError(t, err)
	assert.Equal(t, body, "own")
}
