package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/engine"
	"magnoliaspoke.example/spoke/fake/model"
)

const (
	modelName spoke.ModelName    = "quill"
	version   spoke.ModelVersion = "v1"
)

func serve(t *testing.T, handler http.Handler) spoke.Address {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return spoke.Address(server.Listener.Addr().String())
}

func startEngine(t *testing.T, opts ...model.Option) spoke.Address {
	t.Helper()
	opts = append([]model.Option{model.WithModel(modelName, version), model.WithPrefillRate(0), model.WithDecodeRate(0)}, opts...)
	eng := model.New(opts...)
	addr := serve(t, eng)
	t.Cleanup(eng.Close)
	return addr
}

func startClient(t *testing.T) *engine.Client {
	t.Helper()
	client := engine.New()
	t.Cleanup(client.Close)
	return client
}

func runSpec(attempt spoke.AttemptID, prompt string) spoke.RunSpec {
	return spoke.RunSpec{
		Request: "request-1", Attempt: attempt, Workspace: "parish", Service: "almanac",
		Model: modelName, Version: version, Prompt: prompt, MaxTokens: 20,
	}
}

func readAll(ctx context.Context, stream spoke.RunStream) (string, spoke.Piece, error) {
	var text strings.Builder
	var last spoke.Piece
	for {
		piece, err := stream.Next(ctx)
		if errors.Is(err, io.EOF) {
			return text.String(), last, nil
		}
		if err != nil {
			return text.String(), last, err
		}
		text.WriteString(piece.Text)
		last = piece
	}
}

func setFault(t *testing.T, addr spoke.Address, body string) {
	t.Helper()
	post(t, addr, "/faults", body)
}

func post(t *testing.T, addr spoke.Address, path, body string) {
	t.Helper()
	response, err := http.Post("http://"+string(addr)+path, "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// Guards against text that differs from the engine's tokens, and against lost usage.
func TestRunReadsCompleteResponse(t *testing.T) {
	addr, client := startEngine(t), startClient(t)
	prompt := strings.Repeat("feast", 8000)
	for i, cached := range []spoke.TokenCount{0, 2 * spoke.PieceTokens} {
		stream, err := client.Run(t.Context(), addr, runSpec(spoke.AttemptID(fmt.Sprint("a", i)), prompt))
		assert.NilError(t, err)
		text, last, err := readAll(t.Context(), stream)
		assert.NilError(t, err)
		assert.NilError(t, stream.Close())
		assert.Equal(t, text, model.Answer(prompt, version, 0, 20))
		assert.Equal(t, last.Finish, spoke.FinishLength)
		assert.Equal(t, last.Usage, spoke.Usage{Prompt: 10000, Completion: 20, Cached: cached})
	}
}

// Guards against a resumed run that repeats or skips tokens.
func TestRunResumesAtToken(t *testing.T) {
	addr, client := startEngine(t), startClient(t)
	spec := runSpec("a", "moon")
	spec.ResumeFrom = 7
	stream, err := client.Run(t.Context(), addr, spec)
	assert.NilError(t, err)
	text, last, err := readAll(t.Context(), stream)
	assert.NilError(t, err)
	assert.NilError(t, stream.Close())
	assert.Equal(t, text, model.Answer("moon", version, 7, 20))
	assert.Equal(t, last.Offset, spoke.TokenCount(19))
}

// Guards against pieces of another attempt in the text of a run.
func TestRunDropsPiecesOfOtherAttempts(t *testing.T) {
	addr, client := startEngine(t), startClient(t)
	setFault(t, addr, `{"cross-streams":true}`)
	stream, err := client.Run(t.Context(), addr, runSpec("a", "moon"))
	assert.NilError(t, err)
	text, _, err := readAll(t.Context(), stream)
	assert.NilError(t, err)
	assert.NilError(t, stream.Close())
	assert.Equal(t, text, model.Answer("moon", version, 0, 20))
}

// Guards against a truncated stream that appears complete, and against pieces of another model
// version.
func TestRunRejectsInvalidStreams(t *testing.T) {
	const text = `data: {"attempt_id":"a","version":"v1","offset":0,"choices":[{"text":"abcd"}]}`
	const finish = `data: {"attempt_id":"a","version":"v1","offset":1,"choices":[{"text":"efgh","finish_reason":"stop"}]}`
	cases := map[string]struct {
		events []string
		want   error
	}{
		"text only":                    {[]string{text}, spoke.ErrIncomplete},
		"no DONE event":                {[]string{text, finish}, spoke.ErrIncomplete},
		"no finish reason":             {[]string{text, "data: [DONE]"}, spoke.ErrIncomplete},
		"skipped token":                {[]string{finish, "data: [DONE]"}, spoke.ErrIncomplete},
		"truncated event":              {[]string{text, `data: {"attempt_id":"a"`}, spoke.ErrIncomplete},
		"error event":                  {[]string{text, `data: {"error":{"code":"x","message":"y"}}`}, spoke.ErrIncomplete},
		"other version":                {[]string{strings.Replace(text, "v1", "v2", 1)}, spoke.ErrWrongVersion},
		"final piece of other attempt": {[]string{text, strings.Replace(finish, `"a"`, `"b"`, 1), "data: [DONE]"}, spoke.ErrIncomplete},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			addr := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, strings.Join(tc.events, "\n\n")+"\n\n")
			}))
			stream, err := startClient(t).Run(t.Context(), addr, runSpec("a", "moon"))
			assert.NilError(t, err)
			_, _, err = readAll(t.Context(), stream)
			assert.ErrorIs(t, err, tc.want)
			assert.Assert(t, !errors.Is(err, spoke.ErrNotRun))
			assert.Assert(t, !errors.Is(err, spoke.ErrUpstreamDied))
			assert.NilError(t, stream.Close())
		})
	}
}

// Guards against a stream broken before its end that is reported as complete or as the death of
// the engine.
func TestRunReportsBrokenStreams(t *testing.T) {
	for _, body := range []string{`{"close-streams":true}`, `{"reset-streams":true}`} {
		addr, client := startEngine(t, model.WithDecodeRate(200)), startClient(t)
		spec := runSpec("a", "moon")
		spec.MaxTokens = 1 << 20
		stream, err := client.Run(t.Context(), addr, spec)
		assert.NilError(t, err)
		_, err = stream.Next(t.Context())
		assert.NilError(t, err)
		setFault(t, addr, body)
		_, _, err = readAll(t.Context(), stream)
		assert.ErrorIs(t, err, spoke.ErrIncomplete)
		assert.Assert(t, !errors.Is(err, spoke.ErrUpstreamDied))
		assert.NilError(t, stream.Close())
	}
}

// Guards against an engine crash that is reported only as a broken stream.
func TestRunReportsCrashedEngine(t *testing.T) {
	var server *httptest.Server
	eng := model.New(model.WithModel(modelName, version), model.WithCrash("boom", func() { server.Listener.Close() }))
	defer eng.Close()
	server = httptest.NewServer(eng)
	defer server.Close()
	addr, client := spoke.Address(server.Listener.Addr().String()), startClient(t)
	stream, err := client.Run(t.Context(), addr, runSpec("a", "boom"))
	assert.NilError(t, err)
	_, _, err = readAll(t.Context(), stream)
	assert.ErrorIs(t, err, spoke.ErrUpstreamDied)
	assert.ErrorIs(t, err, spoke.ErrIncomplete)
	assert.NilError(t, stream.Close())
}

// Guards against a silent connection that blocks its reader or later runs.
func TestRunEndsSilentStreamAtTimeout(t *testing.T) {
	addr, client := startEngine(t, model.WithDecodeRate(200)), startClient(t)
	spec := runSpec("a", "moon")
	spec.MaxTokens = 1 << 20
	stream, err := client.Run(t.Context(), addr, spec)
	assert.NilError(t, err)
	_, err = stream.Next(t.Context())
	assert.NilError(t, err)
	setFault(t, addr, `{"silent":true}`)
	ctx, cancel := context.WithTimeoutCause(t.Context(), 50*time.Millisecond, spoke.ErrIdleTimeout)
	defer cancel()
	_, _, err = readAll(ctx, stream)
	assert.ErrorIs(t, err, spoke.ErrIdleTimeout)
	assert.NilError(t, stream.Close())

	second, err := client.Run(t.Context(), addr, runSpec("b", "moon"))
	assert.NilError(t, err)
	text, _, err := readAll(t.Context(), second)
	assert.NilError(t, err)
	assert.NilError(t, second.Close())
	assert.Equal(t, text, model.Answer("moon", version, 0, 20))
}

// Guards against a run that continues at the engine after its context is cancelled or its stream
// is closed.
func TestRunIsCancelledAtEngine(t *testing.T) {
	endings := map[string]func(context.CancelFunc, spoke.RunStream){
		"context": func(cancel context.CancelFunc, _ spoke.RunStream) { cancel() },
		"close":   func(_ context.CancelFunc, stream spoke.RunStream) { _ = stream.Close() },
	}
	for name, end := range endings {
		addr, client := startEngine(t, model.WithDecodeRate(100)), startClient(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		spec := runSpec("a", "moon")
		spec.MaxTokens = 1 << 20
		stream, err := client.Run(ctx, addr, spec)
		assert.NilError(t, err)
		end(cancel, stream)
		for running := 1; running > 0; {
			report, err := client.Load(t.Context(), addr)
			assert.NilError(t, err, name)
			running = report.Running
		}
		assert.NilError(t, stream.Close())
		_, err = stream.Next(t.Context())
		assert.Assert(t, err != nil && !errors.Is(err, io.EOF), "%v", err)
	}
}

// Guards against more connections to an engine than the limit, and against a run that timed out
// waiting for a connection but is reported as started.
func TestRunWaitsForConnection(t *testing.T) {
	addr := startEngine(t, model.WithDecodeRate(100))
	client := engine.New(engine.WithMaxConnections(1))
	defer client.Close()
	spec := runSpec("a", "moon")
	spec.MaxTokens = 1 << 20
	stream, err := client.Run(t.Context(), addr, spec)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = client.Run(ctx, addr, runSpec("b", "moon"))
	assert.ErrorIs(t, err, spoke.ErrNotRun)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.NilError(t, stream.Close())
}

// Guards against refusals that do not match ErrNotRun or the error of their class.
func TestRunClassifiesRefusals(t *testing.T) {
	client := startClient(t)
	spec := runSpec("a", "moon")
	spec.Version = "v0"
	_, err := client.Run(t.Context(), startEngine(t), spec)
	assert.ErrorIs(t, err, spoke.ErrNotRun)
	assert.ErrorIs(t, err, spoke.ErrWrongVersion)

	_, err = client.Run(t.Context(), startEngine(t, model.WithMaxBatch(0), model.WithMaxWaiting(0)), runSpec("a", "moon"))
	assert.ErrorIs(t, err, spoke.ErrNotRun)
	assert.ErrorIs(t, err, spoke.ErrBusy)

	addr := startEngine(t)
	post(t, addr, "/drain", "")
	_, err = client.Run(t.Context(), addr, runSpec("a", "moon"))
	assert.ErrorIs(t, err, spoke.ErrNotRun)
	assert.ErrorIs(t, err, spoke.ErrDraining)
}

// Guards against ErrNotRun after bytes may have been sent, and against its absence if no
// connection was made.
func TestRunDistinguishesNotRunFromUnknown(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := spoke.Address(listener.Addr().String())
	requests := make(chan string, 8)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			start := make([]byte, 64)
			n, _ := conn.Read(start)
			// The client's connection probes send nothing.
			if n > 0 {
				requests <- string(start[:n])
			}
			conn.Close()
		}
	}()
	client := startClient(t)
	_, err = client.Run(t.Context(), addr, runSpec("a", "moon"))
	assert.Assert(t, err != nil && !errors.Is(err, spoke.ErrNotRun), "%v", err)
	assert.Assert(t, strings.HasPrefix(<-requests, "POST /v1/completions"))
	listener.Close()

	_, err = client.Run(t.Context(), addr, runSpec("b", "moon"))
	assert.ErrorIs(t, err, spoke.ErrNotRun)
	assert.Assert(t, !errors.Is(err, spoke.ErrUpstreamDied))
	assert.Equal(t, len(requests), 0)

	unavailable := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "no", http.StatusServiceUnavailable)
	}))
	_, err = client.Run(t.Context(), unavailable, runSpec("c", "moon"))
	assert.Assert(t, err != nil && !errors.Is(err, spoke.ErrNotRun), "%v", eris.ToString(err, false))
}
