package openai_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	callers "magnoliaspoke.example/spoke/openai"
)

const streamBody = `{"model":"plume","prompt":"x","stream":true}`

// endless returns a backend whose streams go on until their context ends.
func endless(text string) *backend {
	b := answering(text)
	b.pieces = b.pieces[:1]
	b.end = context.Canceled
	return b
}

func open(ctx context.Context, t *testing.T, server *httptest.Server) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/v1/completions", strings.NewReader(streamBody))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+apiKey)
	response, err := server.Client().Do(request)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	return response
}

func awaitClosed(t *testing.T, b *backend) {
	t.Helper()
	select {
	case <-b.closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the request goes on without its caller")
	}
}

// Guards against work for a caller that has gone away.
func TestCallerThatLeavesCancels(t *testing.T) {
	b := endless("x")
	server := serve(t, b)
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	response := open(ctx, t, server)
	defer response.Body.Close()
	_, err := io.ReadFull(response.Body, make([]byte, 100))
	assert.NilError(t, err)
	leave()
	awaitClosed(t, b)
}

// Guards against a caller that stops reading and so holds its run for good.
func TestCallerThatStopsReadingCancels(t *testing.T) {
	b := endless(strings.Repeat("x", 64<<10))
	server := serve(t, b, callers.WithWriteTimeout(100*time.Millisecond))
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		apiKey, len(streamBody), streamBody)
	assert.NilError(t, err)
	awaitClosed(t, b)
}

// Guards against a cut stream whose connection ends as if the answer were whole.
func TestBrokenStreamAbortsTheConnection(t *testing.T) {
	b := answering("Forty", " two")
	b.pieces = b.pieces[:2]
	b.end = spoke.RefuseUnknown(spoke.CodeUpstreamFailed, "cut")
	response := open(context.Background(), t, serve(t, b))
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Assert(t, strings.Contains(string(raw), `"outcome":"outcome-unknown"`), "%s", raw)
	assert.Assert(t, !strings.Contains(string(raw), "[DONE]"), "%s", raw)
}

// Guards against a workspace that takes more places on a host than its limit.
func TestWorkspaceLimit(t *testing.T) {
	b := endless("x")
	server := serve(t, b)
	for range 4 {
		defer open(context.Background(), t, server).Body.Close()
	}
	response, raw := send(t, server, "POST", "/v1/completions", streamBody, nil)
	assert.Equal(t, response.StatusCode, http.StatusTooManyRequests)
	checkError(t, raw, response.Header.Get("X-Request-Id"), "workspace-limit", "")
	server.CloseClientConnections()
	awaitClosed(t, b)
}
