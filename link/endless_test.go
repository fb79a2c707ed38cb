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
	// manyEndless connections carry bytes without end at the same time.
	manyEndless = 60
)

// pour writes a beginning and then a piece again and again until the caller closes.
func pour(conn net.Conn, begin, piece string) {
	_, err := io.WriteString(conn, begin)
	block := strings.Repeat(piece, 1+(8<<10)/len(piece))
	for err == nil {
		_, err = io.WriteString(conn, block)
	}
}

// Guards against heads without end, which grew memory until the call's time was over, and against
// sound calls that suffer beside them.
func TestHeadsWithoutEndAreGivenUp(t *testing.T) {
	sound := upstream(t, func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	for name, shape := range map[string][2]string{
		"status line":      {"", "x"},
		"header line":      {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"header lines":     {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"informational":    {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"answers to other": {"", "HTTP/1.1 200 OK\r\nOther: 1\r\nContent-Length: 1\r\n\r\nx"},
	} {
		t.Run(name, func(t *testing.T) {
			bad := upstream(t, func(conn net.Conn, _ *http.Request) { pour(conn, shape[0], shape[1]) })
			pool := link.New()
			defer pool.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			peak := heap.Peak(ctx)
			var group sync.WaitGroup
			for range manyEndless {
				group.Go(func() {
					begin := time.Now()
					_, err := pool.Do(ctx, link.Request{Address: bad, Method: http.MethodGet, Target: "/", HostName: "h"}, isNoStranger)
					assert.Check(t, err != nil)
					assert.Check(t, !isNotRun(err), "%v", err)
					assert.Check(t, time.Since(begin) < 4*time.Second)
					body, err := get(t, pool, sound)
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

func isNoStranger(_ int, header http.Header) bool { return header.Get("Other") == "" }

// Guards against trailers and chunk extensions without end.
func TestFramesWithoutEndAreGivenUp(t *testing.T) {
	for name, shape := range map[string][2]string{
		"chunk extension": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;", "x"},
		"trailer":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "X: y\r\n"},
		"trailer line":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: ", "y"},
	} {
		t.Run(name, func(t *testing.T) {
			bad := upstream(t, func(conn net.Conn, _ *http.Request) { pour(conn, shape[0], shape[1]) })
			pool := link.New()
			defer pool.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			answer, err := pool.Do(ctx, link.Request{Address: bad, Method: http.MethodGet, Target: "/", HostName: "h"}, own)
			assert.NilError(t, err)
			defer answer.Close(0)
			_, err = io.ReadAll(answer.Body)
			assert.Assert(t, err != nil)
			assert.NilError(t, ctx.Err(), "only the call's time ended it")
		})
	}
}

// Guards against connections of upstreams that are gone, and against idle ones on which bytes without
// end arrive, which nobody closes.
func TestIdleConnectionsAreSwept(t *testing.T) {
	now := time.Now()
	pool := link.New(link.WithClock(func() time.Time { return now }))
	defer pool.Close()
	kept, closed := make(chan struct{}), make(chan struct{})
	at := upstream(t, func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		<-kept
		pour(conn, "", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
		close(closed)
	})
	quiet := upstream(t, func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	for _, address := range []spoke.Address{at, quiet} {
		_, err := get(t, pool, address)
		assert.NilError(t, err)
	}
	assert.Equal(t, pool.Idle(), 2)
	close(kept)
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
