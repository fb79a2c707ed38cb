package edge_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

const (
	// splitPause separates two writes, so that the host reads them apart.
	splitPause = 3 * time.Millisecond

	outcomeWhole, outcomeBroken, outcomeFailed = "whole", "broken", "failed"
	// outcomeShort and outcomeOther look whole and have fewer events, or others, than the answer.
	outcomeShort, outcomeOther = "short", "other"
	// outcomeMixed does not look whole and has events that are none of the answer.
	outcomeMixed = "mixed"
)

type (
	// behindFraming encodes the response to a request: a body and the bytes behind it.
	behindFraming struct {
		name   string
		encode func(id, body, behind string) string
		// isOpen is set if nothing but the connection shows the end.
		isOpen bool
	}
	// behindCase is a stream of four events, or of the first two, and the bytes behind it.
	behindCase struct {
		framing behindFraming
		body    string
		behind  func(id string) string
		// staysOpen keeps the connection open until the host closes it.
		staysOpen bool
	}
	// rawEngine responds with raw bytes to runs; the rest is that of the engine behind it.
	rawEngine struct {
		*fake.Engine
		address string
		respond atomic.Pointer[responder]
	}
	// responder writes the response to a request that begins a run, or that resumes it after an event.
	responder func(id string, after int, conn net.Conn)
)

var (
	behindFramings = []behindFraming{
		{name: "length", encode: func(id, body, behind string) string {
			return responseHead("HTTP/1.1", id, "Content-Length: "+strconv.Itoa(len(wholeStream))) + body + behind
		}},
		{name: "length around both", encode: func(id, body, behind string) string {
			return responseHead("HTTP/1.1", id, "Connection: close", "Content-Length: "+strconv.Itoa(len(body+behind))) + body + behind
		}},
		{name: "chunks", encode: func(id, body, behind string) string {
			last := ""
			if body == wholeStream {
				last = "0\r\n\r\n"
			}
			return responseHead("HTTP/1.1", id, "Transfer-Encoding: chunked") + chunk(body) + last + behind
		}},
		{name: "chunks around both", encode: func(id, body, behind string) string {
			return responseHead("HTTP/1.1", id, "Connection: close", "Transfer-Encoding: chunked") + chunk(body) + chunk(behind) + "0\r\n\r\n"
		}},
		{name: "neither 1.1", encode: unframed("HTTP/1.1"), isOpen: true},
		{name: "neither 1.0", encode: unframed("HTTP/1.0"), isOpen: true},
	}

	// heads are second responses, bytes that are no events others that cannot be one, and more the events of another run.
	headsBehind = map[string]func(id string) string{
		"answer without frame": func(id string) string { return responseHead("HTTP/1.1", id) + wholeStream },
		"answer with chunks": func(id string) string {
			return responseHead("HTTP/1.1", id, "Transfer-Encoding: chunked") + chunk(wholeStream) + "0\r\n\r\n"
		},
		"answer with length": func(id string) string {
			return responseHead("HTTP/1.1", id, "Content-Length: "+strconv.Itoa(len(wholeStream))) + wholeStream
		},
		"answer with later ids": func(id string) string { return responseHead("HTTP/1.1", id) + fake.WholeStream(4, 8) },
		"answer to other":       func(string) string { return responseHead("HTTP/1.1", "other", "Content-Length: 7") + "another" },
		"interim and answer": func(id string) string {
			return "HTTP/1.1 100 Continue\r\n\r\n" + responseHead("HTTP/1.0", id) + wholeStream
		},
	}
	noEventsBehind = map[string]func(id string) string{
		"bytes":                func(string) string { return "\x00\xffnothing of an answer" },
		"bytes with delimiter": func(string) string { return "\x00\xffnothing\n\nof an answer\n\n" },
		"text":                 func(string) string { return "<html>nothing of an answer</html>" },
	}
	sameEvents = func(string) string { return wholeStream }
	nextEvents = func(string) string { return fake.WholeStream(4, 5) }
)

func responseHead(version, id string, fields ...string) string {
	lines := append([]string{version + " 200 OK", "Magnoliaspoke-Request-Id: " + id, "Magnoliaspoke-Server-Stamp: stamp"}, fields...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

func chunk(body string) string {
	if body == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
}

func unframed(version string) func(id, body, behind string) string {
	return func(id, body, behind string) string { return responseHead(version, id) + body + behind }
}

// newRawEngine starts an engine whose runs respond writes.
func newRawEngine(t *testing.T, id string) *rawEngine {
	t.Helper()
	e := &rawEngine{Engine: fake.NewEngine(id, 4)}
	t.Cleanup(e.Close)
	usual := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: e.Address()})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/report" {
			usual.ServeHTTP(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		(*e.respond.Load())(r.Header.Get("Magnoliaspoke-Request-Id"), after, conn)
	}))
	t.Cleanup(server.Close)
	e.address = server.Listener.Addr().String()
	return e
}

func (e *rawEngine) set(respond responder) { e.respond.Store(&respond) }

// startRaw starts a host and two raw engines.
func startRaw(t *testing.T) (*deployment, []*rawEngine) {
	t.Helper()
	d := start(t, 0)
	var engines []*rawEngine
	for i := range 2 {
		engine := newRawEngine(t, fmt.Sprint("raw-", i))
		entry := engine.Entry("models", "a", "ready")
		entry["address"] = engine.address
		d.store.Put("servers/"+engine.ID, entry)
		engines = append(engines, engine)
	}
	// Changes apply in order, so that the engines are known once the table is in force.
	d.store.Put("op/config", tableOfServices(2, 1))
	added := callOfService(lookCall("first"), 0)
	added.key = ""
	awaitTrue(t, "engines are not in use", func() bool {
		got, err := d.send(added)
		return err == nil && got.status == http.StatusUnauthorized
	})
	return d, engines
}

// respond writes the case's response to a request that begins a run, cut in two writes at a byte if that is not 0, and the
// missing events to one that resumes it.
func (c behindCase) respond(cut int) responder {
	return func(id string, after int, conn net.Conn) {
		if after > 0 {
			missing := fake.WholeStream(after, 4)
			_, _ = io.WriteString(conn, responseHead("HTTP/1.1", id, "Connection: close", "Content-Length: "+strconv.Itoa(len(missing)))+missing)
			return
		}
		raw := c.framing.encode(id, c.body, c.behind(id))
		if cut > 0 {
			_, _ = io.WriteString(conn, raw[:len(raw)-cut])
			<-time.After(splitPause)
			raw = raw[len(raw)-cut:]
		}
		_, _ = io.WriteString(conn, raw)
		if c.staysOpen {
			_, _ = io.Copy(io.Discard, conn)
		}
	}
}

// lastLines returns the last lines of the host's log.
func (d *deployment) lastLines(count int) string {
	raw, err := os.ReadFile(filepath.Join(d.logs, "host-1.log"))
	assert.NilError(d.t, err)
	lines := strings.Split(string(raw), "\n")
	return strings.Join(lines[max(len(lines)-count, 0):], "\n")
}

// outcomeOf makes a call with a limit of tokens and returns what its caller saw.
func (d *deployment) outcomeOf(c call, limit int) string {
	d.t.Helper()
	request := d.request(c)
	if limit > 0 {
		request.Header.Set("Magnoliaspoke-Token-Usage", fmt.Sprint("300,", limit))
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	assert.NilError(d.t, err)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	body := string(raw)
	isPart := strings.HasPrefix(wholeStream, body)
	switch {
	case response.StatusCode != http.StatusOK:
		return outcomeFailed
	case err != nil && isPart:
		return outcomeBroken + " " + strconv.Itoa(strings.Count(body, "\n\n"))
	case err != nil:
		return outcomeMixed
	case body == wholeStream:
		return outcomeWhole
	case isPart:
		return outcomeShort
	}
	return outcomeOther
}

// checkBehind makes the calls of streams with the bytes behind them, whole and cut, and compares what callers saw. The first
// outcome is that of streams that may be resumed, the second that of others.
func checkBehind(t *testing.T, framings []behindFraming, behind map[string]func(string) string, limit int, whole, cut [2]string) {
	t.Helper()
	d, engines := startRaw(t)
	count := 0
	for _, framing := range framings {
		for name, bytes := range behind {
			for body, want := range map[string][2]string{wholeStream: whole, twoEvents: cut} {
				for i, newCall := range []func(string) call{chatCall, quoteCall} {
					if want[i] == "" {
						continue
					}
					count++
					for _, engine := range engines {
						engine.set(behindCase{framing: framing, body: body, behind: bytes}.respond(0))
					}
					got := d.outcomeOf(newCall(fmt.Sprint("call-", count)), limit)
					t.Logf("%s, %s, whole %t, resumable %t: %s", framing.name, name, body == wholeStream, i == 0, got)
					if got != want[i] {
						t.Errorf("want %s, log:\n%s", want[i], d.lastLines(12))
					}
				}
			}
		}
	}
}

var (
	openFramings = slices.DeleteFunc(slices.Clone(behindFramings), func(f behindFraming) bool { return !f.isOpen })
	// outerFramings end before the bytes behind a whole answer, innerFramings contain them.
	outerFramings = []behindFraming{behindFramings[0], behindFramings[2]}
	innerFramings = []behindFraming{behindFramings[1], behindFramings[3]}
)

// Guards against events of a second response, or bytes that are none, in a stream, and against whole events before them that
// are lost.
func TestBytesBehindStreamBelongToNobody(t *testing.T) {
	for _, c := range []struct {
		name       string
		framings   []behindFraming
		behind     map[string]func(string) string
		limit      int
		whole, cut [2]string
	}{
		{"heads, open", openFramings, headsBehind, 0, [2]string{outcomeWhole, "broken 4"}, [2]string{outcomeWhole, "broken 2"}},
		{"heads, outer", outerFramings, headsBehind, 0, [2]string{outcomeWhole, outcomeWhole}, [2]string{outcomeWhole, "broken 2"}},
		{"heads, inner", innerFramings, headsBehind, 0, [2]string{outcomeWhole, "broken 4"}, [2]string{outcomeWhole, "broken 2"}},
		{"no events, open", openFramings, noEventsBehind, 0, [2]string{outcomeWhole, "broken 4"}, [2]string{outcomeWhole, "broken 2"}},
		{"no events, outer", outerFramings, noEventsBehind, 0, [2]string{outcomeWhole, outcomeWhole}, [2]string{outcomeWhole, "broken 2"}},
		{"no events, inner", innerFramings, noEventsBehind, 0, [2]string{outcomeWhole, "broken 4"}, [2]string{outcomeWhole, "broken 2"}},
		{"same events, open", openFramings, map[string]func(string) string{"same": sameEvents}, 0, [2]string{outcomeWhole, "broken 4"}, [2]string{outcomeWhole, "broken 2"}},
		{"same events, outer", outerFramings, map[string]func(string) string{"same": sameEvents}, 0, [2]string{outcomeWhole, outcomeWhole}, [2]string{outcomeWhole, "broken 2"}},
		{"same events, inner", innerFramings, map[string]func(string) string{"same": sameEvents}, 0, [2]string{outcomeWhole, "broken 4"}, [2]string{outcomeWhole, "broken 2"}},
		// Below the limit, nothing tells events whose ids go on from those of the answer.
		{"next events, open", openFramings, map[string]func(string) string{"next": nextEvents}, 0, [2]string{outcomeOther, outcomeOther}, [2]string{outcomeOther, outcomeOther}},
		{"next events, outer", outerFramings, map[string]func(string) string{"next": nextEvents}, 0, [2]string{outcomeWhole, outcomeWhole}, [2]string{}},
		{"next events, inner", innerFramings, map[string]func(string) string{"next": nextEvents}, 0, [2]string{outcomeOther, outcomeOther}, [2]string{outcomeOther, outcomeOther}},
		{"limit, open", openFramings, map[string]func(string) string{
			"same": sameEvents, "next": nextEvents, "bytes": noEventsBehind["bytes with delimiter"], "text": noEventsBehind["text"],
			"answer": headsBehind["answer without frame"], "later ids": headsBehind["answer with later ids"],
		}, 4, [2]string{outcomeWhole, outcomeWhole}, [2]string{}},
	} {
		t.Run(c.name, func(t *testing.T) { checkBehind(t, c.framings, c.behind, c.limit, c.whole, c.cut) })
	}
}

// Guards against results that depend on how the bytes are cut into reads, and against streams that wait for the end of the
// connection behind another response.
func TestBytesBehindStreamAreJudgedInAnyRead(t *testing.T) {
	d, engines := startRaw(t)
	for name, c := range map[string]struct {
		behind func(id string) string
		limit  int
		want   string
	}{
		"answer":     {headsBehind["answer without frame"], 0, "broken 4"},
		"bytes":      {noEventsBehind["bytes with delimiter"], 0, "broken 4"},
		"same":       {sameEvents, 0, "broken 4"},
		"next":       {nextEvents, 4, outcomeWhole},
		"text limit": {noEventsBehind["text"], 4, outcomeWhole},
	} {
		size := len(c.behind("call"))
		for _, cut := range []int{1, 2, size / 3, size / 2, size - 9, size - 1, size, size + 1, size + 2, size + 9} {
			for _, engine := range engines {
				engine.set(behindCase{framing: openFramings[0], body: wholeStream, behind: c.behind, staysOpen: true}.respond(cut))
			}
			got := d.outcomeOf(quoteCall("call"), c.limit)
			assert.Check(t, got == c.want, "%s, cut at %d: %s, want %s", name, cut, got, c.want)
		}
	}
}

// Guards against answers that contain another response. It cannot be cut there, since an answer may contain such bytes.
func TestAnswerWithAnotherBehindItIsBroken(t *testing.T) {
	for name, behind := range headsBehind {
		t.Run(name, func(t *testing.T) {
			d, engines := startRaw(t)
			for i, framing := range openFramings {
				c := behindCase{framing: framing, body: "whole", behind: behind}
				engines[0].set(c.respond(0))
				engines[1].set(c.respond(0))
				got, err := d.send(bookCall(fmt.Sprint("book-", i)))
				assert.NilError(t, err)
				assert.Equal(t, got.status, http.StatusBadGateway, "%s: %q", framing.name, got.body)
				engines[1].set(behindCase{framing: framing, body: "whole", behind: func(string) string { return " HTTP/1.1 200 OK\r\n\r\n" }}.respond(0))
				engines[0].set(behindCase{framing: framing, body: "whole", behind: func(string) string { return " HTTP/1.1 200 OK\r\n\r\n" }}.respond(0))
				got, err = d.send(lookCall(fmt.Sprint("look-", i)))
				assert.NilError(t, err)
				assert.Equal(t, got.status, http.StatusOK, "%s: %q", framing.name, got.body)
			}
		})
	}
}
