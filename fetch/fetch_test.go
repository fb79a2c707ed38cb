package fetch_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/fetch"
)

var limits = fetch.Limits{Head: 400 * time.Millisecond, Idle: 200 * time.Millisecond, Body: 1 << 20}

// do calls a server that handles the call as given.
func do(t *testing.T, end <-chan struct{}, handle http.HandlerFunc) (fetch.Response, error) {
	t.Helper()
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	request, err := http.NewRequest(http.MethodGet, server.URL, nil)
	assert.NilError(t, err)
	return fetch.Do(server.Client(), request, limits, end)
}

// sendSlowly sends a body in parts that together take longer than the limits.
func sendSlowly(w http.ResponseWriter, _ *http.Request) {
	for range 8 {
		_, _ = io.WriteString(w, strings.Repeat("x", 1000))
		w.(http.Flusher).Flush()
		<-time.After(100 * time.Millisecond)
	}
}

// Guards against a slow response that is cut off although it makes progress.
func TestSlowResponseIsReceivedWhole(t *testing.T) {
	got, err := do(t, nil, sendSlowly)
	assert.NilError(t, err)
	assert.Equal(t, len(got.Body), 8000)
}

// Guards against a response that is cut off because its call is no longer needed.
func TestBegunResponseIsReceivedWhole(t *testing.T) {
	end := make(chan struct{})
	got, err := do(t, end, func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		time.AfterFunc(50*time.Millisecond, func() { close(end) })
		sendSlowly(w, r)
	})
	assert.NilError(t, err)
	assert.Equal(t, len(got.Body), 8000)
}

// Guards against calls that wait for a response after their end, or for one that does not come.
func TestWaitEnds(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	end := make(chan struct{})
	close(end)
	begin := time.Now()
	_, err := do(t, end, hang)
	assert.ErrorContains(t, err, "canceled")
	assert.Assert(t, time.Since(begin) < limits.Head)
	_, err = do(t, nil, hang)
	assert.ErrorIs(t, err, fetch.ErrNoProgress)
	_, err = do(t, nil, func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		hang(w, r)
	})
	assert.ErrorIs(t, err, fetch.ErrNoProgress)
}
