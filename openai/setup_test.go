package openai_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	callerapi "magnoliaspoke.example/spoke/openai"
)

const apiKey = "key-of-plume"

type (
	// fakeBackend returns a scripted response and records the last request and call.
	fakeBackend struct {
		mu          sync.Mutex
		pieces      []spoke.Piece
		endErr      error
		refusal     error
		lastRequest spoke.Request
		lastCall    spoke.ServiceCall
		closed      chan struct{}
		once        sync.Once
	}

	scriptedStream struct {
		backend *fakeBackend
		next    int
	}

	reply struct {
		StatusCode int
		Header     http.Header
	}

	fixedManifest struct{ manifest *spoke.Manifest }
)

func (f fixedManifest) Current() *spoke.Manifest { return f.manifest }

func (b *fakeBackend) Complete(_ context.Context, request spoke.Request) (spoke.RunStream, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastRequest = request
	if b.refusal != nil {
		return nil, b.refusal
	}
	return &scriptedStream{backend: b}, nil
}

func (b *fakeBackend) Call(_ context.Context, call spoke.ServiceCall) (spoke.PlainAnswer, error) {
	b.lastCall = call
	if b.refusal != nil {
		return spoke.PlainAnswer{}, b.refusal
	}
	return spoke.PlainAnswer{Status: http.StatusCreated, Header: http.Header{"X-Stock": {"7"}}, Body: []byte("booked")}, nil
}

// Next returns the scripted pieces and then endErr or io.EOF. If endErr is context.Canceled, it
// repeats the last piece until ctx ends.
func (s *scriptedStream) Next(ctx context.Context) (spoke.Piece, error) {
	if s.next < len(s.backend.pieces) {
		s.next++
		return s.backend.pieces[s.next-1], nil
	}
	if s.backend.endErr == context.Canceled { //nolint:errorlint // A marker in the script.
		return s.backend.pieces[len(s.backend.pieces)-1], ctx.Err()
	}
	if s.backend.endErr != nil {
		return spoke.Piece{}, s.backend.endErr
	}
	return spoke.Piece{}, io.EOF
}

func (s *scriptedStream) Close() error {
	s.backend.once.Do(func() { close(s.backend.closed) })
	return nil
}

func newBackend(texts ...string) *fakeBackend {
	b := &fakeBackend{closed: make(chan struct{})}
	for i, text := range texts {
		b.pieces = append(b.pieces, spoke.Piece{Offset: spoke.TokenCount(i), Tokens: 1, Text: text})
	}
	b.pieces = append(b.pieces, spoke.Piece{
		Offset: spoke.TokenCount(len(texts)),
		Finish: spoke.FinishStop,
		Usage:  spoke.Usage{Prompt: 40, Completion: spoke.TokenCount(len(texts)), Cached: 32},
	})
	return b
}

func newManifest() *spoke.Manifest {
	sum := sha256.Sum256([]byte(apiKey))
	var none *spoke.Manifest
	return none.Apply(spoke.Ticket{Number: 1, Objects: []spoke.Object{
		spoke.Service{Name: "quotes", Kind: spoke.ServiceLanguage, DefaultRank: "normal"},
		spoke.Service{Name: "orders", Kind: spoke.ServicePlain, DefaultRank: "normal"},
		spoke.Service{Name: "secret", Kind: spoke.ServicePlain, DefaultRank: "normal"},
		spoke.Rank{Name: "urgent", Order: 0},
		spoke.Rank{Name: "normal", Order: 1},
		spoke.Model{Name: "plume", Service: "quotes", Version: "v1", Adapters: []spoke.AdapterName{"formal"}},
		spoke.Model{Name: "hidden", Service: "secret", Version: "v1"},
		spoke.Workspace{
			ID: "sialkot", KeyHashes: []spoke.KeyHash{spoke.KeyHash(hex.EncodeToString(sum[:]))},
			Weight: 1, MaxConcurrent: 4, Services: []spoke.ServiceName{"quotes", "orders"},
		},
	}})
}

func newHandler(b *fakeBackend, opts ...callerapi.Option) *callerapi.Handler {
	logger := &logrus.Logger{Out: io.Discard}
	return callerapi.New(b, fixedManifest{newManifest()}, append([]callerapi.Option{callerapi.WithLog(logger)}, opts...)...)
}

func startServer(t *testing.T, b *fakeBackend, opts ...callerapi.Option) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(newHandler(b, opts...))
	t.Cleanup(server.Close)
	return server
}

func newClient(server *httptest.Server) openai.Client {
	return openai.NewClient(option.WithBaseURL(server.URL+"/v1/"), option.WithAPIKey(apiKey), option.WithMaxRetries(0))
}

func send(t *testing.T, server *httptest.Server, method, path, body string, header map[string]string) (reply, string) {
	t.Helper()
	request, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+apiKey)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := server.Client().Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return reply{response.StatusCode, response.Header}, string(raw)
}
