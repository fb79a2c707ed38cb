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
	callerapi "magnoliaspoke.example/spoke/openai"
)

const streamBody = `{"model":"plume","prompt":"x","stream":true}`

// endlessBackend returns a backend whose streams continue until their context ends.
func endlessBackend(text string) *fakeBackend {
	b := newBackend(text)
	b.pieces = b.pieces[:1]
	b.endErr = context.Canceled
	return b
}

func openStream(ctx context.Context, t *testing.T, server *httptest.Server) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/v1/completions", strings.NewReader(streamBody))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+apiKey)
	response, err := server.Client().Do(request)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	return response
}

func awaitClosed(t *testing.T, b *fakeBackend) {
	t.Helper()
	select {
	case <-b.closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the run was not cancelled")
	}
}

// Guards against a run that continues after its caller has disconnected.
func TestDisconnectCancelsRun(t *testing.T) {
	b := endlessBackend("x")
	server := startServer(t, b)
	ctx, disconnect := context.WithCancel(context.Background())
	defer disconnect()
	response := openStream(ctx, t, server)
	defer response.Body.Close()
	_, err := io.ReadFull(response.Body, make([]byte, 100))
	assert.NilError(t, err)
	disconnect()
	awaitClosed(t, b)
}

// Guards against a run that never ends because its caller stops reading.
func TestWriteTimeoutCancelsRun(t *testing.T) {
	b := endlessBackend(strings.Repeat("x", 64<<10))
	server := startServer(t, b, callerapi.WithWriteTimeout(100*time.Millisecond))
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		apiKey, len(streamBody), streamBody)
	assert.NilError(t, err)
	awaitClosed(t, b)
}

// Guards against a truncated stream whose connection is closed as if the response were complete.
func TestBrokenStreamAbortsConnection(t *testing.T) {
	b := newBackend("Forty", " two")
	b.pieces = b.pieces[:2]
	b.endErr = spoke.RefuseUnknown(spoke.CodeUpstreamFailed, "cut")
	response := openStream(context.Background(), t, startServer(t, b))
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Assert(t, strings.Contains(string(raw), `"outcome":"outcome-unknown"`), "%s", raw)
	assert.Assert(t, !strings.Contains(string(raw), "[DONE]"), "%s", raw)
}

// Guards against a workspace that exceeds its limit of concurrent requests on a host.
func TestWorkspaceLimit(t *testing.T) {
	b := endlessBackend("x")
	server := startServer(t, b)
	for range 4 {
		defer openStream(context.Background(), t, server).Body.Close()
	}
	response, raw := send(t, server, "POST", "/v1/completions", streamBody, nil)
	assert.Equal(t, response.StatusCode, http.StatusTooManyRequests)
	checkError(t, raw, response.Header.Get("X-Request-Id"), "workspace-limit", "")
	server.CloseClientConnections()
	awaitClosed(t, b)
}
