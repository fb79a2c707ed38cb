package edge_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

const wholeStream = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"

func bookCall(id string) call {
	return call{method: http.MethodPost, path: "/book/1?x=%2F", key: callerKey, id: id, body: "one carton"}
}

func lookCall(id string) call {
	return call{method: http.MethodGet, path: "/look/1", key: callerKey, id: id}
}

func chatCall(id string) call {
	return call{method: http.MethodPost, path: "/chat/1", key: callerKey, id: id, body: "hello"}
}

func quoteCall(id string) call {
	return call{method: http.MethodPost, path: "/quote/1", key: callerKey, id: id, body: "hello"}
}

// Guards against requests or answers that are changed when they are relayed, and against headers of the
// caller that only this system may set.
func TestCallsAreRelayedUnchanged(t *testing.T) {
	d := start(t, 1)
	sent := bookCall("r1")
	sent.header = http.Header{
		"Magnoliaspoke-Tenant": {"other"}, "Magnoliaspoke-Kv-Hold": {"1"}, "Kv-From": {"1.2.3.4:5/6"},
		"Magnoliaspoke-Cache-Salt": {"theirs"}, "X-Other": {"kept"}, "Connection": {"x-drop"}, "X-Drop": {"1"},
	}
	got, err := d.send(sent)
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, "whole answer of i-0")
	assert.Equal(t, got.header.Get("Magnoliaspoke-Server-Stamp"), "stamp-i-0")

	run := d.engines[0].Runs()[0]
	assert.Equal(t, run.Method+" "+run.Target+" "+run.Host, "POST /book/1?x=%2F "+hostName)
	assert.Equal(t, run.Body, "one carton")
	assert.Equal(t, run.Header.Get("Magnoliaspoke-Tenant"), "workspace-1")
	assert.Equal(t, run.Header.Get("Magnoliaspoke-Expect-Instance"), "i-0")
	assert.Equal(t, run.Header.Get("X-Other"), "kept")
	for _, name := range []string{"Authorization", "Magnoliaspoke-Kv-Hold", "Kv-From", "Magnoliaspoke-Cache-Salt", "X-Drop"} {
		assert.Equal(t, run.Header.Get(name), "", name)
	}
	remaining, err := strconv.Atoi(run.Header.Get("Magnoliaspoke-Deadline-Ms"))
	assert.NilError(t, err)
	assert.Assert(t, remaining > 3000 && remaining <= 4000, "%d ms left", remaining)
}

// Guards against events that are lost, duplicated or truncated when an engine breaks the connection
// inside an event.
func TestBrokenStreamResumesAtOtherEngine(t *testing.T) {
	d := start(t, 2)
	d.setBehaviour(fake.ResetMidway)
	got, err := d.send(chatCall("r1"))
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, wholeStream)
	assert.Equal(t, d.runs(), 2)
}

// Guards against a broken stream that looks complete, and against a second run of a request that must
// run at most once.
func TestNonResumableBrokenStreamIsAborted(t *testing.T) {
	d := start(t, 2)
	d.setBehaviour(fake.ResetMidway)
	got, err := d.send(quoteCall("r1"))
	assert.ErrorContains(t, err, "unexpected EOF")
	assert.Equal(t, got.body, "id: 1\ndata: piece 1\n\n")
	assert.Equal(t, d.runs(), 1)
}

// Guards against the body of a failure that is sent as a part of a stream and ends it as complete, when the
// engine that should resume the stream fails.
func TestFailureOnResumptionAbortsStream(t *testing.T) {
	d := start(t, 2)
	d.setBehaviour(fake.FailResumed)
	got, err := d.send(chatCall("r1"))
	assert.ErrorContains(t, err, "unexpected EOF")
	assert.Equal(t, got.body, "id: 1\ndata: piece 1\n\n")
	assert.Equal(t, d.runs(), 2)
}

// Guards against the text or the head of an error in the middle of a caller's stream, and against a stream that ends as
// if it were whole, when the next engine answers with an error, with other bytes or not at all.
func TestErrorOfNextEngineStaysOutOfStream(t *testing.T) {
	const own = "Magnoliaspoke-Request-Id: " + fake.RequestIDPlace + "\r\nMagnoliaspoke-Server-Stamp: s\r\n"
	const text = "Content-Length: 12\r\n\r\nengine error"
	for name, raw := range map[string]string{
		"not run":        "HTTP/1.1 503 Service Unavailable\r\nMagnoliaspoke-Not-Executed: 1\r\n" + own + text,
		"not run, no id": "HTTP/1.1 429 Too Many Requests\r\nMagnoliaspoke-Not-Executed: 1\r\n" + text,
		"failed":         "HTTP/1.1 500 Internal Server Error\r\n" + own + text,
		"unframed error": "HTTP/1.1 502 Bad Gateway\r\n" + own + "\r\nengine error\n\n",
		"bad request":    "HTTP/1.1 400 Bad Request\r\n" + own + text,
		"no stamp":       "HTTP/1.1 200 OK\r\nMagnoliaspoke-Request-Id: " + fake.RequestIDPlace + "\r\n" + text,
		"other request":  "HTTP/1.1 200 OK\r\nMagnoliaspoke-Request-Id: other\r\nMagnoliaspoke-Server-Stamp: s\r\n" + text,
		"two heads":      "HTTP/1.1 200 OK\r\n" + own + "\r\nHTTP/1.1 500 Internal Server Error\r\n" + own + text,
		"bare lines":     "HTTP/1.1 200 OK\r\n" + own + "\r\nHTTP/1.1 500 Internal Server Error\nContent-Length: 12\n\nengine error\n\n",
		"no head":        "engine error\n\n",
		"half a head":    "HTTP/1.1 500 Internal",
		"nothing":        "",
	} {
		t.Run(name, func(t *testing.T) {
			d := start(t, 2)
			for _, engine := range d.engines {
				engine.SetResumedAnswer(raw)
			}
			got, err := d.send(chatCall("r1"))
			assert.ErrorContains(t, err, "unexpected EOF")
			assert.Equal(t, got.body, "id: 1\ndata: piece 1\n\n")
		})
	}
}

// Guards against "not run" answers for requests that may have run, and against repeatable requests that
// are not retried.
func TestUpstreamFailuresAreRetriedOrReported(t *testing.T) {
	cases := []struct {
		behaviour fake.Behaviour
		call      call
		status    int
		runs      int
	}{
		{fake.Shed, bookCall("a"), http.StatusServiceUnavailable, 0},
		{fake.Busy, bookCall("b"), http.StatusBadGateway, 1},
		{fake.ResetAtOnce, bookCall("c"), http.StatusBadGateway, 1},
		{fake.Unproved, bookCall("d"), http.StatusBadGateway, 1},
		{fake.Fail, bookCall("e"), http.StatusInternalServerError, 1},
		{fake.OtherFirst, bookCall("f"), http.StatusOK, 1},
		{fake.Fail, lookCall("g"), http.StatusInternalServerError, 2},
		{fake.ResetAtOnce, lookCall("h"), http.StatusBadGateway, 2},
		{fake.Shed, lookCall("i"), http.StatusServiceUnavailable, 0},
		{fake.ResetAtOnce, quoteCall("j"), http.StatusBadGateway, 1},
		{fake.ResetAtOnce, chatCall("k"), http.StatusBadGateway, 2},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%s %s", c.behaviour, c.call.path), func(t *testing.T) {
			d := start(t, 2)
			d.setBehaviour(c.behaviour)
			got, err := d.send(c.call)
			assert.NilError(t, err)
			assert.Equal(t, got.status, c.status)
			assert.Equal(t, d.runs(), c.runs)
			if c.status == http.StatusServiceUnavailable {
				seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				assert.NilError(t, err)
				assert.Assert(t, seconds > 0 && seconds < 4, "%v s", seconds)
			}
		})
	}
}

// Guards against engines that continue the runs of callers that have disconnected.
func TestCallerDisconnectCancelsRun(t *testing.T) {
	d := start(t, 1)
	d.engines[0].SetEventInterval(300 * time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	response, err := http.DefaultClient.Do(d.request(chatCall("r1")).WithContext(ctx))
	assert.NilError(t, err)
	_, err = io.ReadFull(response.Body, make([]byte, 10))
	assert.NilError(t, err)
	cancel()
	_ = response.Body.Close()
	awaitTrue(t, "run was not cancelled", func() bool { return d.engines[0].Cancelled() == 1 })
}

// Guards against a final answer that comes after the deadline of the caller.
func TestSilentEngineTimesOutAtCallerDeadline(t *testing.T) {
	d := start(t, 1)
	d.setBehaviour(fake.Hang)
	c := d.request(bookCall("r1"))
	c.Header.Set("Magnoliaspoke-Deadline-Ms", "400")
	begun := time.Now()
	response, err := http.DefaultClient.Do(c)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(begun) < 900*time.Millisecond)
}

// Guards against malformed requests that reach an engine.
func TestMalformedCallsAreRefused(t *testing.T) {
	d := start(t, 1)
	const tail = " HTTP/1.1\r\nHost: " + hostName + "\r\nAuthorization: Bearer " + callerKey + "\r\nContent-Length: 0\r\n"
	cases := []string{
		"POST /book/1" + tail + "\r\n",
		"POST /book/1" + tail + "Magnoliaspoke-Request-Id: a\r\nMagnoliaspoke-Request-Id: b\r\n\r\n",
		"POST /book/1" + tail + "Magnoliaspoke-Request-Id: " + strings.Repeat("a", 300) + "\r\n\r\n",
		"POST /book/1" + tail + "Magnoliaspoke-Request-Id: a\r\nMagnoliaspoke-Deadline-Ms: soon\r\n\r\n",
		"POST /book/1" + tail + "Magnoliaspoke-Request-Id: a\r\nMagnoliaspoke-Prefix-Hash: aa\r\n\r\n",
		"POST /book/1" + tail + "Magnoliaspoke-Request-Id: a\r\nMagnoliaspoke-Token-Usage: -1,2\r\n\r\n",
		"POST http://" + hostName + "/book/1" + tail + "Magnoliaspoke-Request-Id: a\r\n\r\n",
	}
	for _, message := range cases {
		assert.Equal(t, d.sendRaw(message), "HTTP/1.1 400 Bad Request", message)
	}
	assert.Equal(t, d.runs(), 0)
}
