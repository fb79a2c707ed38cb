package store_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/fake/frame"
	"magnoliaspoke.example/spoke/store"
)

// Guards against a response of a store host that is cut and counts as whole.
func TestCutResponsesAreErrors(t *testing.T) {
	handler := frame.New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{}") }))
	server := httptest.NewServer(handler)
	defer server.Close()
	at, client := spoke.Address(server.Listener.Addr().String()), store.New()
	defer client.Close()
	for _, call := range []func() error{
		func() error { _, err := client.Meta(t.Context(), at, spoke.BlockKey{}); return err },
		func() error { _, err := client.Usage(t.Context(), at); return err },
		func() error { return client.Delete(t.Context(), at, spoke.BlockKey{}) },
	} {
		assert.DeepEqual(t, handler.AcceptedCuts(call), []string(nil))
	}
}
