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
	quill   spoke.ModelName    = "quill"
	version spoke.ModelVersion = "v1"
)

func serve(t *testing.T, handler http.Handler) spoke.Address {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return spoke.Address(server.Listener.Addr().String())
}

func startEngine(t *testing.T, opts ...model.Option) spoke.Address {
	t.Helper()
	opts = append([]model.Option{model.WithModel(quill, version), model.WithPrefillRate(0), model.WithDecodeRate(0)}, opts...)
	stand := model.New(opts...)
	at := serve(t, stand)
	t.Cleanup(stand.Close)
	return at
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
		Model: quill, Version: version, Prompt: prompt, MaxTokens: 20,
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

func fault(t *testing.T, at spoke.Address, body string) {
	t.Helper()
	post(t, at, "/faults", body)
}

func post(t *testing.T, at spoke.Address, path, body string) {
	t.Helper()
	answer, err := http.Post("http://"+string(at)+path, "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	answer.Body.Close()
	assert.Equal(t, answer.StatusCode, http.StatusOK)
}

// Guards against answers that differ from the engine's tokens, and against lost usage.
func TestRunReadsWholeAnswer(t *testing.T) {
	at, client := startEngine(t), startClient(t)
	prompt := strings.Repeat("feast", 8000)
	for i, cached := range []spoke.TokenCount{0, 2 * spoke.PieceTokens} {
		stream, err := client.Run(t.Context(), at, runSpec(spoke.AttemptID(fmt.Sprint("a", i)), prompt))
		assert.NilError(t, err)
		text, last, err := readAll(t.Context(), stream)
		assert.NilError(t, err)
		assert.NilError(t, stream.Close())
		assert.Equal(t, text, model.Answer(prompt, version, 0, 20))
		assert.Equal(t, last.Finish, spoke.FinishLength)
		assert.Equal(t, last.Usage, spoke.Usage{Prompt: 10000, Completion: 20, Cached: cached})
	}
}

// Guards against tokens that a resumed run repeats or leaves out.
func TestRunResumesAtToken(t *testing.T) {
	at, client := startEngine(t), startClient(t)
	spec := runSpec("a", "moon")
	spec.ResumeFrom = 7
	stream, err := client.Run(t.Context(), at, spec)
	assert.NilError(t, err)
	text, last, err := readAll(t.Context(), stream)
	assert.NilError(t, err)
	assert.NilError(t, stream.Close())
	assert.Equal(t, text, model.Answer("moon", version, 7, 20))
	assert.Equal(t, last.Offset, spoke.TokenCount(19))
}

// Guards against pieces of another attempt in an answer.
func TestRunDropsForeignPieces(t *testing.T) {
	at, client := startEngine(t), startClient(t)
	fault(t, at, `{"cross-streams":true}`)
	stream, err := client.Run(t.Context(), at, runSpec("a", "moon"))
	assert.NilError(t, err)
	text, _, err := readAll(t.Context(), stream)
	assert.NilError(t, err)
	assert.NilError(t, stream.Close())
	assert.Equal(t, text, model.Answer("moon", version, 0, 20))
}

// Guards against a short answer that looks complete, and against pieces of another version.
func TestRunRejectsFaultyStreams(t *testing.T) {
	const text = `data: {"attempt_id":"a","version":"v1","offset":0,"choices":[{"text":"abcd"}]}`
	const finish = `data: {"attempt_id":"a","version":"v1","offset":1,"choices":[{"text":"efgh","finish_reason":"stop"}]}`
	cases := map[string]struct {
		events []string
		want   error
	}{
		"no mark at all":    {[]string{text}, spoke.ErrIncomplete},
		"no end mark":       {[]string{text, finish}, spoke.ErrIncomplete},
		"no finish mark":    {[]string{text, "data: [DONE]"}, spoke.ErrIncomplete},
		"missing tokens":    {[]string{finish, "data: [DONE]"}, spoke.ErrIncomplete},
		"half an event":     {[]string{text, `data: {"attempt_id":"a"`}, spoke.ErrIncomplete},
		"error event":       {[]string{text, `data: {"error":{"code":"x","message":"y"}}`}, spoke.ErrIncomplete},
		"another version":   {[]string{strings.Replace(text, "v1", "v2", 1)}, spoke.ErrWrongVersion},
		"foreign end piece": {[]string{text, strings.Replace(finish, `"a"`, `"b"`, 1), "data: [DONE]"}, spoke.ErrIncomplete},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			at := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, strings.Join(tc.events, "\n\n")+"\n\n")
			}))
			stream, err := startClient(t).Run(t.Context(), at, runSpec("a", "moon"))
			assert.NilError(t, err)
			_, _, err = readAll(t.Context(), stream)
			assert.ErrorIs(t, err, tc.want)
			assert.Assert(t, !errors.Is(err, spoke.ErrNotRun))
			assert.Assert(t, !errors.Is(err, spoke.ErrUpstreamDied))
			assert.NilError(t, stream.Close())
		})
	}
}

// Guards against a stream cut in mid-answer that counts as finished or as a dead engine.
func TestRunReportsCutStreams(t *testing.T) {
	for _, body := range []string{`{"close-streams":true}`, `{"reset-streams":true}`} {
		at, client := startEngine(t, model.WithDecodeRate(200)), startClient(t)
		spec := runSpec("a", "moon")
		spec.MaxTokens = 1 << 20
		stream, err := client.Run(t.Context(), at, spec)
		assert.NilError(t, err)
		_, err = stream.Next(t.Context())
		assert.NilError(t, err)
		fault(t, at, body)
		_, _, err = readAll(t.Context(), stream)
		assert.ErrorIs(t, err, spoke.ErrIncomplete)
		assert.Assert(t, !errors.Is(err, spoke.ErrUpstreamDied))
		assert.NilError(t, stream.Close())
	}
}

// Guards against a crash that looks like a mere broken stream.
func TestRunReportsDeadEngine(t *testing.T) {
	var server *httptest.Server
	stand := model.New(model.WithModel(quill, version), model.WithCrash("boom", func() { server.Listener.Close() }))
	defer stand.Close()
	server = httptest.NewServer(stand)
	defer server.Close()
	at, client := spoke.Address(server.Listener.Addr().String()), startClient(t)
	stream, err := client.Run(t.Context(), at, runSpec("a", "boom"))
	assert.NilError(t, err)
	_, _, err = readAll(t.Context(), stream)
	assert.ErrorIs(t, err, spoke.ErrUpstreamDied)
	assert.ErrorIs(t, err, spoke.ErrIncomplete)
	assert.NilError(t, stream.Close())
}

// Guards against a silent connection that holds its reader or the runs after it.
func TestRunLeavesSilentStream(t *testing.T) {
	at, client := startEngine(t, model.WithDecodeRate(200)), startClient(t)
	spec := runSpec("a", "moon")
	spec.MaxTokens = 1 << 20
	stream, err := client.Run(t.Context(), at, spec)
	assert.NilError(t, err)
	_, err = stream.Next(t.Context())
	assert.NilError(t, err)
	fault(t, at, `{"silent":true}`)
	ctx, cancel := context.WithTimeoutCause(t.Context(), 50*time.Millisecond, spoke.ErrIdleTimeout)
	defer cancel()
	_, _, err = readAll(ctx, stream)
	assert.ErrorIs(t, err, spoke.ErrIdleTimeout)
	assert.NilError(t, stream.Close())

	again, err := client.Run(t.Context(), at, runSpec("b", "moon"))
	assert.NilError(t, err)
	text, _, err := readAll(t.Context(), again)
	assert.NilError(t, err)
	assert.NilError(t, again.Close())
	assert.Equal(t, text, model.Answer("moon", version, 0, 20))
}

// Guards against a run that goes on at the engine after its reader has left.
func TestRunIsCancelledAtEngine(t *testing.T) {
	leave := map[string]func(context.CancelFunc, spoke.RunStream){
		"context": func(cancel context.CancelFunc, _ spoke.RunStream) { cancel() },
		"close":   func(_ context.CancelFunc, stream spoke.RunStream) { _ = stream.Close() },
	}
	for name, end := range leave {
		at, client := startEngine(t, model.WithDecodeRate(100)), startClient(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		spec := runSpec("a", "moon")
		spec.MaxTokens = 1 << 20
		stream, err := client.Run(ctx, at, spec)
		assert.NilError(t, err)
		end(cancel, stream)
		for running := 1; running > 0; {
			report, err := client.Load(t.Context(), at)
			assert.NilError(t, err, name)
			running = report.Running
		}
		assert.NilError(t, stream.Close())
		_, err = stream.Next(t.Context())
		assert.Assert(t, err != nil && !errors.Is(err, io.EOF), "%v", err)
	}
}

// Guards against more connections to an engine than allowed, and against a run that waited for
// one and counts as started.
func TestRunWaitsForConnection(t *testing.T) {
	at := startEngine(t, model.WithDecodeRate(100))
	client := engine.New(engine.WithMaxConnections(1))
	defer client.Close()
	spec := runSpec("a", "moon")
	spec.MaxTokens = 1 << 20
	stream, err := client.Run(t.Context(), at, spec)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = client.Run(ctx, at, runSpec("b", "moon"))
	assert.ErrorIs(t, err, spoke.ErrNotRun)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.NilError(t, stream.Close())
}

// Guards against a refusal that hides that nothing ran, or its class.
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

	at := startEngine(t)
	post(t, at, "/drain", "")
	_, err = client.Run(t.Context(), at, runSpec("a", "moon"))
	assert.ErrorIs(t, err, spoke.ErrNotRun)
	assert.ErrorIs(t, err, spoke.ErrDraining)
}

// Guards against a false "not run" after bytes may have left, and against a missed true one.
func TestRunTellsNotRunFromUnknown(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	at := spoke.Address(listener.Addr().String())
	requests := make(chan string, 8)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			start := make([]byte, 64)
			n, _ := conn.Read(start)
			// The client's probe of the address sends nothing.
			if n > 0 {
				requests <- string(start[:n])
			}
			conn.Close()
		}
	}()
	client := startClient(t)
	_, err = client.Run(t.Context(), at, runSpec("a", "moon"))
	assert.Assert(t, err != nil && !errors.Is(err, spoke.ErrNotRun), "%v", err)
	assert.Assert(t, strings.HasPrefix(<-requests, "POST /v1/completions"))
	listener.Close()

	_, err = client.Run(t.Context(), at, runSpec("b", "moon"))
	assert.ErrorIs(t, err, spoke.ErrNotRun)
	assert.Assert(t, !errors.Is(err, spoke.ErrUpstreamDied))
	assert.Equal(t, len(requests), 0)

	full := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "no", http.StatusServiceUnavailable)
	}))
	_, err = client.Run(t.Context(), full, runSpec("c", "moon"))
	assert.Assert(t, err != nil && !errors.Is(err, spoke.ErrNotRun), "%v", eris.ToString(err, false))
}
