package link_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/fake/heap"
	"magnoliaspoke.example/spoke/link"
)

const (
	// endlessConnections is the number of concurrent connections with endless responses.
	endlessConnections = 60
)

// writeEndlessly writes prefix and then piece repeatedly until the other end closes the connection.
func writeEndlessly(conn net.Conn, prefix, piece string) {
	_, err := io.WriteString(conn, prefix)
	block := strings.Repeat(piece, 1+(8<<10)/len(piece))
	for err == nil {
		_, err = io.WriteString(conn, block)
	}
}

// Guards against endless heads, which grew memory until the deadline of the call, and against
// failures of concurrent calls to a healthy upstream.
func TestEndlessHeadsAreRejected(t *testing.T) {
	healthy := upstream(t, func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	for name, shape := range map[string][2]string{
		"status line":       {"", "x"},
		"header line":       {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"header lines":      {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"informational":     {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"foreign responses": {"", "HTTP/1.1 200 OK\r\nOther: 1\r\nContent-Length: 1\r\n\r\nx"},
	} {
		t.Run(name, func(t *testing.T) {
			bad := upstream(t, func(conn net.Conn, _ *http.Request) { writeEndlessly(conn, shape[0], shape[1]) })
			pool := link.New()
			defer pool.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			peak := heap.Peak(ctx)
			var group sync.WaitGroup
			for range endlessConnections {
				group.Go(func() {
					begin := time.Now()
					_, err := pool.Do(ctx, link.Request{Address: bad, Method: http.MethodGet, Target: "/", HostName: "h"}, isOwnResponse)
					assert.Check(t, err != nil)
					assert.Check(t, !isNotRun(err), "%v", err)
					assert.Check(t, time.Since(begin) < 4*time.Second)
					body, err := get(t, pool, healthy)
					assert.Check(t, err == nil && body == "ok", "%v", err)
				})
			}
			group.Wait()
			cancel()
			assert.Assert(t, <-peak < heap.SmallHostBytes)
			assert.Assert(t, pool.Idle() > 0)
		})
	}
}

func isOwnResponse(_ int, header http.Header) bool { return header.Get("Other") == "" }

// Guards against endless trailers and chunk extensions.
func TestEndlessChunkFramingIsRejected(t *testing.T) {
	for name, shape := range map[string][2]string{
		"chunk extension": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;", "x"},
		"trailer":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "X: y\r\n"},
		"trailer line":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: ", "y"},
	} {
		t.Run(name, func(t *testing.T) {
			bad := upstream(t, func(conn net.Conn, _ *http.Request) { writeEndlessly(conn, shape[0], shape[1]) })
			pool := link.New()
			defer pool.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			response, err := pool.Do(ctx, link.Request{Address: bad, Method: http.MethodGet, Target: "/", HostName: "h"}, acceptAny)
			assert.NilError(t, err)
			defer response.Close(0)
			_, err = io.ReadAll(response.Body)
			assert.Assert(t, err != nil)
			assert.NilError(t, ctx.Err(), "reading ended only at the deadline of the call")
		})
	}
}

// Guards against idle connections that stay open after their idle timeout, as those to removed
// upstreams did, or although unsolicited bytes arrive on them.
func TestIdleConnectionsAreSwept(t *testing.T) {
	now := time.Now()
	pool := link.New(link.WithClock(func() time.Time { return now }))
	defer pool.Close()
	flood, closed := make(chan struct{}), make(chan struct{})
	flooding := upstream(t, func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		<-flood
		writeEndlessly(conn, "", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
		close(closed)
	})
	quiet := upstream(t, func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	for _, address := range []spoke.Address{flooding, quiet} {
		_, err := get(t, pool, address)
		assert.NilError(t, err)
	}
	assert.Equal(t, pool.Idle(), 2)
	close(flood)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		pool.Sweep()
		if pool.Idle() == 1 {
			return poll.Success()
		}
		return poll.Continue("%d idle connections", pool.Idle())
	}, poll.WithTimeout(5*time.Second))
	<-closed
	now = now.Add(time.Minute)
	pool.Sweep()
	assert.Equal(t, pool.Idle(), 0)
}
