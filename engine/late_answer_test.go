package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/fake/model"
)

// busyRefusal is a response which states that a run was not run; the place is for the attempt that it names.
const busyRefusal = `{"error":{"code":"busy"%s}}`

type (
	// faultyEngine sends bytes behind or before the responses of a model engine.
	faultyEngine struct {
		engine  http.Handler
		framing string
		// extra returns the bytes that follow a response, or that stand before the next one of the connection if isLate
		// is set; body is that of the response.
		extra  func(framing string, body []byte) []byte
		isLate bool
	}
)

func (e *faultyEngine) start(t *testing.T) spoke.Address {
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
			go e.serve(conn)
		}
	}()
	return spoke.Address(listener.Addr().String())
}

func (e *faultyEngine) serve(conn net.Conn) {
	defer conn.Close()
	defer func() {
		// A stopped engine aborts its handlers in the way of net/http.
		reason := recover()
		if err, _ := reason.(error); reason != nil && !errors.Is(err, http.ErrAbortHandler) {
			panic(reason)
		}
	}()
	reader := bufio.NewReader(conn)
	var late []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		sent, _ := io.ReadAll(request.Body)
		request.Body = io.NopCloser(bytes.NewReader(sent))
		recorder := httptest.NewRecorder()
		e.engine.ServeHTTP(recorder, request)
		raw := slices.Concat(late, framed(e.framing, "200 OK", recorder.Body.Bytes()))
		if request.URL.Path != "/v1/completions" {
			raw = framed("length", "200 OK", []byte("{}"))
		} else if extra := e.extra(e.framing, recorder.Body.Bytes()); e.isLate {
			late = extra
		} else {
			raw = append(raw, extra...)
		}
		if _, err := conn.Write(raw); err != nil || e.framing == "neither" {
			return
		}
	}
}

func framed(framing, status string, body []byte) []byte {
	head := "HTTP/1.1 " + status + "\r\nContent-Type: text/event-stream\r\n"
	switch framing {
	case "length":
		return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	case "chunks":
		return fmt.Appendf(nil, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	}
	return fmt.Appendf(nil, "%s\r\n%s", head, body)
}

// Guards against streams that are joined with others, that have pieces twice or that look complete although they are
// not, since the engine sends bytes behind a response or a late one where the next is due.
func TestExtraBytesBelongToNoStream(t *testing.T) {
	extras := map[string]func(string, []byte) []byte{
		"no response":    func(string, []byte) []byte { return []byte(strings.Repeat("x", 200)) },
		"1 MB":           func(string, []byte) []byte { return bytes.Repeat([]byte("x"), 1<<20+1) },
		"same events":    func(_ string, body []byte) []byte { return body },
		"same response":  func(framing string, body []byte) []byte { return framed(framing, "200 OK", body) },
		"part":           func(framing string, body []byte) []byte { return framed(framing, "200 OK", body)[:200] },
		"other framing":  func(_ string, body []byte) []byte { return framed("neither", "200 OK", body) },
		"without end":    func(_ string, body []byte) []byte { return framed("length", "200 OK", body[:len(body)/2]) },
		"end alone":      func(string, []byte) []byte { return framed("length", "200 OK", []byte("data: [DONE]\n\n")) },
		"failed request": func(string, []byte) []byte { return framed("length", "500 Failed", []byte("{}")) },
	}
	for name, extra := range extras {
		for _, framing := range []string{"length", "chunks", "neither"} {
			for _, isLate := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, late %t", name, framing, isLate), func(t *testing.T) {
					eng := model.New(model.WithModel(modelName, version), model.WithPrefillRate(0), model.WithDecodeRate(0))
					t.Cleanup(eng.Close)
					at := (&faultyEngine{engine: eng, framing: framing, extra: extra, isLate: isLate}).start(t)
					client := startClient(t)
					for number := range 3 {
						checkRun(t, client, at, number)
					}
				})
			}
		}
	}
}

// checkRun makes a run and checks that its text is whole, or a part of it with an error that does not deny the run.
func checkRun(t *testing.T, client spoke.Engine, at spoke.Address, number int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	prompt := fmt.Sprint("prompt ", number)
	whole := model.Answer(prompt, version, 0, 20)
	stream, err := client.Run(ctx, at, runSpec(spoke.AttemptID(fmt.Sprint("r", number)), prompt))
	if err != nil {
		assert.Check(t, !errors.Is(err, spoke.ErrNotRun), "run %d: %v", number, err)
		return
	}
	defer stream.Close()
	text, _, err := readAll(ctx, stream)
	if err == nil {
		assert.Check(t, text == whole, "run %d: %q", number, text)
		return
	}
	assert.Check(t, strings.HasPrefix(whole, text), "run %d: %q", number, text)
	assert.Check(t, !errors.Is(err, spoke.ErrNotRun), "run %d: %v", number, err)
}

// Guards against a run that counts as not run because the engine sent an earlier refusal once more, late.
func TestLateRefusalDoesNotDenyRun(t *testing.T) {
	for _, name := range []string{"", `,"attempt_id":"r0"`} {
		t.Run(name, func(t *testing.T) {
			eng := model.New(model.WithModel(modelName, version), model.WithPrefillRate(0), model.WithDecodeRate(0))
			t.Cleanup(eng.Close)
			refusal := framed("length", "409 Conflict", fmt.Appendf(nil, busyRefusal, name))
			at := (&faultyEngine{engine: eng, framing: "length", extra: func(string, []byte) []byte { return refusal }, isLate: true}).start(t)
			client := startClient(t)
			for number := range 3 {
				checkRun(t, client, at, number)
			}
		})
	}
}

// Guards against a refusal that counts as unknown since the connection has served a run before.
func TestRefusalOnConnectionInUseAgainCounts(t *testing.T) {
	at, client := startEngine(t), startClient(t)
	checkRun(t, client, at, 0)
	refused := runSpec("r1", "prompt")
	refused.Version = "v0"
	_, err := client.Run(t.Context(), at, refused)
	assert.ErrorIs(t, err, spoke.ErrNotRun)
	assert.ErrorIs(t, err, spoke.ErrWrongVersion)
}
