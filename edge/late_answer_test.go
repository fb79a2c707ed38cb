package edge_test

import (
	"fmt"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

// startLate runs a host with engines whose copies of earlier answers come late.
func startLate(t *testing.T, engines int) (*deployment, []*fake.LateListener) {
	t.Helper()
	d := start(t, 0)
	var listeners []*fake.LateListener
	for i := range engines {
		raw, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listener := &fake.LateListener{Listener: raw}
		engine := fake.NewEngineAt(listener, fmt.Sprintf("i-%d", i), 4)
		t.Cleanup(engine.Close)
		d.engines, listeners = append(d.engines, engine), append(listeners, listener)
		d.putEntry(engine, "ready")
	}
	awaitTrue(t, "no engine gets calls", func() bool {
		_, err := d.send(lookCall("first"))
		assert.NilError(t, err)
		return d.runs() > 0
	})
	return d, listeners
}

// framedAnswerOf returns the body of the complete answer to a call.
func framedAnswerOf(c call, engine *fake.Engine) string {
	if strings.HasPrefix(c.path, "/chat/") || strings.HasPrefix(c.path, "/quote/") {
		return wholeStream
	}
	return fake.WholeAnswer(engine.ID)
}

// anonymous returns an answer without the id of its request.
func anonymous(answer string) string {
	return regexp.MustCompile("Magnoliaspoke-Request-Id: [^\r]*\r\n").ReplaceAllString(answer, "")
}

// lateAnswers lists what a faulty engine may send before an answer, made of the answer before.
var lateAnswers = map[string]func(last string) string{
	"copy":           func(last string) string { return last },
	"anonymous copy": anonymous,
	"two copies":     func(last string) string { return last + last },
	"three copies":   func(last string) string { return strings.Repeat(last, 3) },
	"refusal": func(string) string {
		return "HTTP/1.1 503 Service Unavailable\r\nMagnoliaspoke-Request-Id: earlier\r\nMagnoliaspoke-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	},
	"anonymous refusal": func(string) string {
		return "HTTP/1.1 503 Service Unavailable\r\nMagnoliaspoke-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	},
	"anonymous refusal behind a copy": func(last string) string {
		return last + "HTTP/1.1 429 Too Many Requests\r\nMagnoliaspoke-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	},
	"copy behind an interim answer": func(last string) string { return "HTTP/1.1 103 Early Hints\r\n\r\n" + last },
	"copy before an interim answer": func(last string) string { return last + "HTTP/1.1 103 Early Hints\r\n\r\n" },
	"over 1 MB": func(string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nMagnoliaspoke-Request-Id: earlier\r\nContent-Length: %d\r\n\r\n%s", 2<<20, strings.Repeat("x", 2<<20))
	},
	"neither length nor chunks": func(string) string {
		return "HTTP/1.1 200 OK\r\nMagnoliaspoke-Request-Id: earlier\r\n\r\nid: 1\ndata: earlier\n\n"
	},
	"refusal that stops inside": func(string) string {
		return "HTTP/1.1 503 Service Unavailable\r\nMagnoliaspoke-Not-Executed: 1\r\nDate: Mon"
	},
	"failure that stops inside": func(string) string { return "HTTP/1.1 500 Internal" },
	"copy that stops inside":    func(last string) string { return last[:len(last)-5] },
}

// Guards against callers that get the answer of another call, or "not run" for a call that has run, because an engine
// sends something late on a kept connection, and against a connection that is used again behind it.
func TestLateAnswersReachNoOtherCaller(t *testing.T) {
	for name, copyOf := range lateAnswers {
		for _, newCall := range []func(id string) call{bookCall, lookCall, chatCall, quoteCall} {
			t.Run(name+" "+newCall("").path, func(t *testing.T) {
				t.Parallel()
				d, listeners := startLate(t, 1)
				before := newCall("before")
				_, err := d.send(before)
				assert.NilError(t, err)
				listeners[0].SetCopies(copyOf)
				sent := newCall("own")
				got, err := d.send(sent)
				assert.NilError(t, err)
				ran := len(runsOf(sent, d.engines))
				t.Logf("status %d, %d runs, %d copies", got.status, ran, listeners[0].Copies())
				assert.Assert(t, ran <= 1, "%d runs", ran)
				assert.Assert(t, listeners[0].Copies() > 0, "no kept connection")
				switch got.status {
				case http.StatusOK:
					assert.Equal(t, got.body, framedAnswerOf(sent, d.engines[0]))
				case http.StatusBadGateway, http.StatusGatewayTimeout:
				default:
					t.Errorf("status %d after %d runs", got.status, ran)
				}
				copies := listeners[0].Copies()
				_, err = d.send(newCall("next"))
				assert.NilError(t, err)
				assert.Equal(t, listeners[0].Copies(), copies, "connection was used again")
			})
		}
	}
}

// Guards against calls that fail at each engine, and engines that count as broken, since a caller's id, which engines repeat,
// looks like a status line.
func TestIDMayLookLikeAStatusLine(t *testing.T) {
	d := start(t, 2)
	for _, newCall := range []func(string) call{lookCall, bookCall, chatCall, quoteCall} {
		got, err := d.send(newCall("HTTP/1.1 200"))
		assert.NilError(t, err)
		assert.Equal(t, got.status, http.StatusOK)
	}
	assert.Equal(t, d.runs(), 4)
}
