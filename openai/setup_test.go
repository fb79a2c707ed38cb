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
	callers "magnoliaspoke.example/spoke/openai"
)

const apiKey = "key-of-plume"

type (
	// backend gives a scripted answer and keeps what it was asked.
	backend struct {
		mu      sync.Mutex
		pieces  []spoke.Piece
		end     error
		refusal error
		asked   spoke.Request
		called  spoke.ServiceCall
		closed  chan struct{}
		once    sync.Once
	}

	scripted struct {
		owner *backend
		at    int
	}

	reply struct {
		StatusCode int
		Header     http.Header
	}

	fixed struct{ manifest *spoke.Manifest }
)

func (f fixed) Current() *spoke.Manifest { return f.manifest }

func (b *backend) Complete(_ context.Context, request spoke.Request) (spoke.RunStream, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asked = request
	if b.refusal != nil {
		return nil, b.refusal
	}
	return &scripted{owner: b}, nil
}

func (b *backend) Call(_ context.Context, call spoke.ServiceCall) (spoke.PlainAnswer, error) {
	b.called = call
	if b.refusal != nil {
		return spoke.PlainAnswer{}, b.refusal
	}
	return spoke.PlainAnswer{Status: http.StatusCreated, Header: http.Header{"X-Stock": {"7"}}, Body: []byte("booked")}, nil
}

// Next repeats the last piece without end if the script has the end context.Canceled.
func (s *scripted) Next(ctx context.Context) (spoke.Piece, error) {
	if s.at < len(s.owner.pieces) {
		s.at++
		return s.owner.pieces[s.at-1], nil
	}
	if s.owner.end == context.Canceled { //nolint:errorlint // A mark of the script.
		return s.owner.pieces[len(s.owner.pieces)-1], ctx.Err()
	}
	if s.owner.end != nil {
		return spoke.Piece{}, s.owner.end
	}
	return spoke.Piece{}, io.EOF
}

func (s *scripted) Close() error {
	s.owner.once.Do(func() { close(s.owner.closed) })
	return nil
}

func answering(texts ...string) *backend {
	b := &backend{closed: make(chan struct{})}
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

func manifest() *spoke.Manifest {
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

func newHandler(b *backend, opts ...callers.Option) *callers.Handler {
	quiet := &logrus.Logger{Out: io.Discard}
	return callers.New(b, fixed{manifest()}, append([]callers.Option{callers.WithLog(quiet)}, opts...)...)
}

func serve(t *testing.T, b *backend, opts ...callers.Option) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(newHandler(b, opts...))
	t.Cleanup(server.Close)
	return server
}

func client(server *httptest.Server) openai.Client {
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
