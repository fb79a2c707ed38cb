package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

const (
	uploadBytes = 7 << 20
	// brokenAnswerTime bounds the time from a reset to the final answer of the caller.
	brokenAnswerTime = time.Second
)

// earlyEngine is an engine that answers calls before it has read their bodies and ends the connection. It passes other
// requests on to a usual engine.
type earlyEngine struct {
	*fake.Engine
	// head and body are those of its answer; the head lacks the lines of the engine.
	head, body string
	// pause is the time from the answer to the reset of the connection, or until the engine reads on.
	pause   time.Duration
	isReset bool
}

func (e *earlyEngine) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go e.serveConn(conn)
	}
}

func (e *earlyEngine) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.Method == http.MethodPost {
			e.answer(conn, request)
			return
		}
		request.URL.Scheme, request.URL.Host = "http", e.Address()
		response, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			return
		}
		_ = response.Write(conn)
		_ = response.Body.Close()
	}
}

func (e *earlyEngine) answer(conn net.Conn, request *http.Request) {
	const head = "%sConnection: close\r\nMagnoliaspoke-Request-Id: %s\r\nMagnoliaspoke-Server-Stamp: stamp\r\n\r\n%s"
	_, _ = fmt.Fprintf(conn, head, e.head, request.Header.Get("Magnoliaspoke-Request-Id"), e.body)
	time.Sleep(e.pause)
	if e.isReset {
		_ = conn.(*net.TCPConn).SetLinger(0)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
}

// startEarly runs a host with an engine that answers early.
func startEarly(t *testing.T, early *earlyEngine) *deployment {
	t.Helper()
	d := start(t, 0)
	next := table(2, "key-2")
	next["limits"] = map[string]any{"max-body-bytes": 2 * uploadBytes, "idle-timeout-ms": 15000}
	d.store.Put("op/config", next)
	awaitTrue(t, "new table not known", func() bool { return d.hasLogged(`"table":2`) })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	early.Engine = fake.NewEngine("i-0", 4)
	d.closeAfterHosts(func() {
		_ = listener.Close()
		early.Close()
	})
	go early.serve(listener)
	entry := early.Entry("models", "a", "ready")
	entry["address"] = listener.Addr().String()
	d.store.Put("servers/i-0", entry)
	awaitTrue(t, "engine gets no calls", func() bool { return d.bookingStatus("probe", "key-2") != http.StatusServiceUnavailable })
	return d
}

// Guards against a part of an answer that callers get as whole, or only after seconds as broken off: its engine sends it
// with neither a length nor chunks and resets the connection while a long request is still being written.
func TestAnswerThatIsResetDuringUploadDoesNotLookWhole(t *testing.T) {
	for _, delay := range []time.Duration{0, 5 * time.Millisecond, 60 * time.Millisecond} {
		for _, c := range []call{bookCall("book"), quoteCall("quote"), chatCall("chat")} {
			t.Run(fmt.Sprint(c.id, " ", delay), func(t *testing.T) {
				d := startEarly(t, &earlyEngine{head: "HTTP/1.1 200 OK\r\n", body: twoEvents, pause: delay, isReset: true})
				c.key, c.body = "key-2", strings.Repeat("x", uploadBytes)
				begin := time.Now()
				got, err := d.send(c)
				assert.Check(t, err != nil || got.status == http.StatusBadGateway, "status %d, body %q", got.status, got.body)
				assert.Check(t, time.Since(begin) < delay+brokenAnswerTime, "after %s", time.Since(begin))
			})
		}
	}
}

// Guards against an early answer that is broken off although its engine reads the rest of the request and then ends it.
func TestEarlyAnswerIsWholeOnceItsRequestIsRead(t *testing.T) {
	for name, framing := range map[string]string{"length": "Content-Length: 5\r\n", "connection": ""} {
		t.Run(name, func(t *testing.T) {
			d := startEarly(t, &earlyEngine{head: "HTTP/1.1 200 OK\r\n" + framing, body: "whole", pause: 100 * time.Millisecond})
			c := bookCall("book")
			c.key, c.body = "key-2", strings.Repeat("x", uploadBytes)
			got, err := d.send(c)
			assert.NilError(t, err)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, "whole")
		})
	}
}
