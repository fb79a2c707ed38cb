package edge_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

// unframedHeads lists the heads with which an answer with neither a length nor chunks may begin,
// without the status.
var unframedHeads = [][]string{
	{"HTTP/1.1"}, {"HTTP/1.1", "Connection: close"}, {"HTTP/1.0"}, {"HTTP/1.0", "Connection: keep-alive"},
}

type unframedCase struct {
	name    string
	call    func(id string) call
	status  int
	body    string
	isReset bool

	wantStatus int
	wantBody   string
	// isBroken is set if the caller's connection must be closed before the end of the answer.
	isBroken bool
	wantRuns int
}

// testUnframed makes each call once with each head. Each case has two engines of its own, since failed
// engines get no calls for some time.
func testUnframed(t *testing.T, cases []unframedCase) {
	t.Helper()
	d := start(t, 0)
	engines := d.addServices(len(cases))
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d.engines = engines[i]
			for j, lines := range unframedHeads {
				head := slices.Clone(lines)
				head[0] += fmt.Sprintf(" %d %s", c.status, http.StatusText(c.status))
				d.checkUnframed(t, c, head, callOfService(c.call(fmt.Sprintf("call-%d-%d", i, j)), i))
			}
		})
	}
}

// checkUnframed makes the call of a case once, at engines that answer with the head.
func (d *deployment) checkUnframed(t *testing.T, c unframedCase, head []string, sent call) {
	t.Helper()
	runs := d.runs()
	for _, engine := range d.engines {
		engine.SetUnframedAnswer(fake.UnframedAnswer{Head: head, Body: c.body, IsReset: c.isReset})
	}
	got, err := d.send(sent)
	assert.Check(t, (err != nil) == c.isBroken, "%s: error %v", head, err)
	assert.Check(t, !c.isBroken || errors.Is(err, io.ErrUnexpectedEOF), "%s: error %v", head, err)
	assert.Check(t, got.status == c.wantStatus, "%s: status %d", head, got.status)
	assert.Check(t, got.status == http.StatusBadGateway || got.body == c.wantBody, "%s: body %q", head, got.body)
	assert.Check(t, d.runs()-runs == c.wantRuns, "%s: %d runs", head, d.runs()-runs)
}

// addServices adds services with the routes of table and two engines each, and waits until they are in use.
func (d *deployment) addServices(count int) [][]*fake.Engine {
	d.t.Helper()
	engines := make([][]*fake.Engine, count)
	for i := range count {
		for j := range 2 {
			engine := fake.NewEngine(fmt.Sprintf("i-%d-%d", i, j), 4)
			d.t.Cleanup(engine.Close)
			engines[i] = append(engines[i], engine)
			d.store.Put("servers/"+engine.ID, engine.Entry(fmt.Sprint("service-", i), "a", "ready"))
		}
	}
	d.store.Put("op/config", tableOfServices(2, count))
	awaitTrue(d.t, "services are not in use", func() bool {
		got, err := d.send(callOfService(lookCall("first"), count-1))
		return err == nil && got.status == http.StatusOK
	})
	return engines
}

// tableOfServices returns table with further services, each with the routes of table.
func tableOfServices(version, count int) map[string]any {
	next := table(version, callerKey)
	routes, service := next["routes"].([]any), next["services"].([]any)[0].(map[string]any)
	for i := range count {
		name := fmt.Sprint("service-", i)
		for _, route := range routes[:4] {
			own := maps.Clone(route.(map[string]any))
			own["name"], own["service"], own["prefix"] = fmt.Sprint(own["name"], "-", i), name, fmt.Sprintf("/%d%s", i, own["prefix"])
			next["routes"] = append(next["routes"].([]any), own)
		}
		own := maps.Clone(service)
		own["name"] = name
		next["services"] = append(next["services"].([]any), own)
	}
	return next
}

// callOfService returns the call with the path of a service that addServices has added.
func callOfService(c call, service int) call {
	if strings.HasPrefix(c.path, "/chat/") || strings.HasPrefix(c.path, "/quote/") {
		prompt := http.Header{
			"Magnoliaspoke-Model": {"model-a"}, "Magnoliaspoke-Token-Usage": {"300,20"}, "Magnoliaspoke-Prefix-Hash": {"aa:100,bb:150,cc:50"},
		}
		maps.Copy(prompt, c.header)
		c.header = prompt
	}
	c.path = fmt.Sprintf("/%d%s", service, c.path)
	return c
}

// Guards against answers without a length that are cut or refused although they are whole, and against
// ones that a reset has cut short and that look complete. Whole and cut answers differ only in the reset.
func TestUnframedAnswersAreRelayedIfWhole(t *testing.T) {
	testUnframed(t, []unframedCase{
		{name: "whole", call: bookCall, status: 200, body: "whole", wantStatus: 200, wantBody: "whole", wantRuns: 1},
		{name: "whole failure", call: bookCall, status: 500, body: "failed", wantStatus: 500, wantBody: "failed", wantRuns: 1},
		{name: "whole failure of repeatable call", call: lookCall, status: 500, body: "failed", wantStatus: 500, wantBody: "failed", wantRuns: 2},
		{name: "whole failure before stream", call: quoteCall, status: 500, body: "failed", wantStatus: 500, wantBody: "failed", wantRuns: 1},
		{name: "long", call: bookCall, status: 200, body: strings.Repeat("x", 300<<10), wantStatus: 200, wantBody: strings.Repeat("x", 300<<10), wantRuns: 1},
		{name: "empty", call: bookCall, status: 200, wantStatus: 200, wantRuns: 1},
		{name: "empty failure", call: bookCall, status: 500, wantStatus: 500, wantRuns: 1},
		{name: "reset", call: bookCall, status: 200, body: "who", isReset: true, wantStatus: 502, wantRuns: 1},
		{name: "reset failure", call: bookCall, status: 500, body: "fai", isReset: true, wantStatus: 502, wantRuns: 1},
		{name: "reset after head", call: bookCall, status: 200, isReset: true, wantStatus: 502, wantRuns: 1},
		{name: "reset of repeatable call", call: lookCall, status: 200, body: "who", isReset: true, wantStatus: 502, wantRuns: 2},
		{name: "reset failure before stream", call: quoteCall, status: 500, body: "fai", isReset: true, wantStatus: 502, wantRuns: 1},
	})
}

const (
	twoEvents = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
	cutInside = twoEvents + "id: 3\ndata: pie"
)

// Guards against streams without chunks that are cut although they are whole, and against ones that
// ended inside an event or were reset and that look complete.
func TestUnframedStreamsAreRelayedIfWhole(t *testing.T) {
	testUnframed(t, []unframedCase{
		{name: "whole", call: quoteCall, status: 200, body: wholeStream, wantStatus: 200, wantBody: wholeStream, wantRuns: 1},
		{name: "ends inside event", call: quoteCall, status: 200, body: cutInside, wantStatus: 200, wantBody: twoEvents, isBroken: true, wantRuns: 1},
		{name: "ends inside first event", call: quoteCall, status: 200, body: "id: 1\ndata: pie", wantStatus: 502, wantRuns: 1},
		{name: "ends inside first field name", call: quoteCall, status: 200, body: "i", wantStatus: 502, wantRuns: 1},
		{name: "ends after a line of an event", call: quoteCall, status: 200, body: twoEvents + "id: 3\n", wantStatus: 200, wantBody: twoEvents, isBroken: true, wantRuns: 1},
		{name: "ends without last empty line", call: quoteCall, status: 200, body: strings.TrimSuffix(wholeStream, "\n"), wantStatus: 200, wantBody: fake.WholeStream(0, 3), isBroken: true, wantRuns: 1},
		{name: "reset inside event", call: quoteCall, status: 200, body: cutInside, isReset: true, wantStatus: 200, wantBody: twoEvents, isBroken: true, wantRuns: 1},
		{name: "reset between events", call: quoteCall, status: 200, body: twoEvents, isReset: true, wantStatus: 200, wantBody: twoEvents, isBroken: true, wantRuns: 1},
		{name: "reset after last event", call: quoteCall, status: 200, body: wholeStream, isReset: true, wantStatus: 200, wantBody: wholeStream, isBroken: true, wantRuns: 1},
		{name: "reset after head", call: quoteCall, status: 200, isReset: true, wantStatus: 502, wantRuns: 1},
	})
}

// Guards against resumed streams in which an event is missing, incomplete or duplicated, and against a
// second run of a stream that was whole.
func TestBrokenUnframedStreamsAreResumed(t *testing.T) {
	resumed := func(name, body string, isReset bool) unframedCase {
		return unframedCase{name: name, call: chatCall, status: 200, body: body, isReset: isReset, wantStatus: 200, wantBody: wholeStream, wantRuns: 2}
	}
	testUnframed(t, []unframedCase{
		{name: "whole", call: chatCall, status: 200, body: wholeStream, wantStatus: 200, wantBody: wholeStream, wantRuns: 1},
		resumed("ends inside event", cutInside, false),
		resumed("ends after a line of an event", twoEvents+"id: 3\n", false),
		resumed("ends without last empty line", strings.TrimSuffix(wholeStream, "\n"), false),
		resumed("reset inside event", cutInside, true),
		resumed("reset between events", twoEvents, true),
		resumed("reset after last event", wholeStream, true),
	})
}

// Guards against an engine that crashed between the head and the first event of a stream and whose answer
// looks complete. Streams without events are complete if their head or a last chunk says so, and behind the
// last event.
func TestUnframedStreamsWithoutEventsAreBroken(t *testing.T) {
	behindLastEvent := func(id string) call {
		c := chatCall(id)
		c.header = http.Header{"Last-Event-Id": {"4"}}
		return c
	}
	testUnframed(t, []unframedCase{
		{name: "ends after head", call: quoteCall, status: 200, wantStatus: 502, wantRuns: 1},
		{name: "ends after head at both engines", call: chatCall, status: 200, wantStatus: 502, wantRuns: 2},
		{name: "nothing to resume", call: behindLastEvent, status: 200, wantStatus: 200, wantRuns: 1},
	})

	d := start(t, 1)
	for i, framed := range []fake.UnframedAnswer{
		{Head: []string{"HTTP/1.1 200 OK", "Content-Length: 0"}},
		{Head: []string{"HTTP/1.1 200 OK", "Transfer-Encoding: chunked"}, Body: "0\r\n\r\n"},
	} {
		d.engines[0].SetUnframedAnswer(framed)
		got, err := d.send(quoteCall(fmt.Sprint("framed-", i)))
		assert.NilError(t, err)
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.body, "")
	}
}

// Guards against a broken stream that looks complete to a caller of HTTP/1.0: it gets no chunks, so only a
// reset shows that the end is missing.
func TestBrokenStreamResetsCallerWithoutChunks(t *testing.T) {
	d := start(t, 1)
	for behaviour, isBroken := range map[fake.Behaviour]bool{fake.ResetMidway: true, fake.Serve: false} {
		d.setBehaviour(behaviour)
		conn, err := net.Dial("tcp", string(d.settings.Caller))
		assert.NilError(t, err)
		defer conn.Close()
		assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
		var message bytes.Buffer
		assert.NilError(t, d.request(quoteCall("old-"+string(behaviour))).Write(&message))
		_, err = io.WriteString(conn, strings.Replace(message.String(), "HTTP/1.1", "HTTP/1.0", 1))
		assert.NilError(t, err)
		raw, err := io.ReadAll(conn)
		assert.Equal(t, errors.Is(err, syscall.ECONNRESET), isBroken, "%s: %v after %q", behaviour, err, raw)
		assert.Assert(t, isBroken || strings.HasSuffix(string(raw), "\r\n\r\n"+wholeStream), "%q", raw)
	}
}
