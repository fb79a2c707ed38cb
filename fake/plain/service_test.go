package plain_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/fake/plain"
)

// Guards against a stand-in that miscounts runs, which would hide calls that run twice.
func TestRunsAndFaultsOverHTTP(t *testing.T) {
	server := httptest.NewServer(plain.New())
	defer server.Close()
	send := func(path, body string) (int, error) {
		request, err := http.NewRequest(http.MethodPost, server.URL+path, strings.NewReader(body))
		assert.NilError(t, err)
		request.Header.Set("Idempotency-Key", "k")
		request.Header.Set("X-Attempt-Id", "r-1")
		response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
		if err != nil {
			return 0, err
		}
		return response.StatusCode, response.Body.Close()
	}
	expect := func(path, body string, want int) {
		t.Helper()
		status, err := send(path, body)
		assert.NilError(t, err)
		assert.Equal(t, status, want)
	}
	expect("/faults", `{"refuse":1,"cut":1}`, 204)
	expect("/bookings", "x", 503)
	_, err := send("/bookings", "x")
	assert.ErrorIs(t, err, io.EOF)
	expect("/bookings", "x", 200)
	expect("/faults", `{"unknown":1}`, 400)

	response, err := http.Get(server.URL + "/runs")
	assert.NilError(t, err)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(raw), `{"total":2,"by-key":{"k":2},"by-attempt":{"r-1":2}}`+"\n")
}
