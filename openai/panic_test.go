package openai_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	callerapi "magnoliaspoke.example/spoke/openai"
)

type (
	// failingBackend panics when it takes a request.
	failingBackend struct{ *fakeBackend }

	// failingStream panics behind its pieces.
	failingStream struct{ spoke.RunStream }

	// failingStreams is a backend whose streams panic.
	failingStreams struct{ *fakeBackend }

	// failingManifests panics when the configuration is read.
	failingManifests struct{}
)

func (failingBackend) Complete(context.Context, spoke.Request) (spoke.RunStream, error) {
	panic("backend failed")
}

func (failingBackend) Call(context.Context, spoke.ServiceCall) (spoke.PlainAnswer, error) {
	panic("backend failed")
}

func (b failingStreams) Complete(ctx context.Context, request spoke.Request) (spoke.RunStream, error) {
	run, err := b.fakeBackend.Complete(ctx, request)
	return failingStream{run}, err
}

func (s failingStream) Next(ctx context.Context) (spoke.Piece, error) {
	piece, err := s.RunStream.Next(ctx)
	if err != nil {
		panic("stream failed")
	}
	return piece, nil
}

func (failingManifests) Current() *spoke.Manifest { panic("manifests failed") }

// Guards against a request whose connection is closed without an answer because its handler panicked, against an answer
// that wrongly says whether it ran, and against a workspace whose limit counts such requests from then on.
func TestPanicIsAnswered(t *testing.T) {
	silent := callerapi.WithLog(&logrus.Logger{Out: io.Discard})
	for _, c := range []struct {
		name, path, body string
		backend          spoke.Backend
		manifests        spoke.ManifestSource
		status           int
		outcome          string
	}{
		{"before the backend", "/v1/completions", streamBody, newBackend(), failingManifests{}, http.StatusServiceUnavailable, "not-run"},
		{"completion", "/v1/completions", streamBody, failingBackend{newBackend()}, fixedManifest{newManifest()}, http.StatusBadGateway, "outcome-unknown"},
		{"plain call", "/services/orders/a", "x", failingBackend{newBackend()}, fixedManifest{newManifest()}, http.StatusBadGateway, "outcome-unknown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(callerapi.New(c.backend, c.manifests, silent))
			t.Cleanup(server.Close)
			for range 5 {
				response, raw := send(t, server, "POST", c.path, c.body, nil)
				assert.Equal(t, response.StatusCode, c.status, raw)
				assert.Assert(t, strings.Contains(raw, `"outcome":"`+c.outcome+`"`), raw)
				assert.Assert(t, response.Header.Get("X-Request-Id") != "")
				assert.Equal(t, response.Header.Get("Retry-After") != "", c.status == http.StatusServiceUnavailable)
			}
		})
	}
}

// Guards against the text of a refusal in the middle of a stream whose handler panics.
func TestPanicInsideStreamAbortsIt(t *testing.T) {
	b := newBackend("Forty")
	server := httptest.NewServer(callerapi.New(failingStreams{b}, fixedManifest{newManifest()}, callerapi.WithLog(&logrus.Logger{Out: io.Discard})))
	t.Cleanup(server.Close)
	b.pieces = b.pieces[:1]
	response := openStream(context.Background(), t, server)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Assert(t, strings.Contains(string(raw), "Forty"), "%s", raw)
	assert.Assert(t, !strings.Contains(string(raw), "error"), "%s", raw)
	awaitClosed(t, b)
}
