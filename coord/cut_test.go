package coord_test

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/coord"
	"magnoliaspoke.example/spoke/fake/frame"
	"magnoliaspoke.example/spoke/fake/kvsvc"
)

// Guards against a response of the coordination service that is cut and counts as whole.
func TestCutResponsesAreErrors(t *testing.T) {
	service := kvsvc.New()
	handler := frame.New(service)
	server := httptest.NewServer(handler)
	defer server.Close()
	client := coord.New(spoke.Address(server.Listener.Addr().String()))
	defer client.Close()
	_, err := client.CompareAndSwap(t.Context(), "a", []byte("one"), 0, 0)
	assert.NilError(t, err)
	for _, call := range []func() error{
		func() error { _, err := client.Get(t.Context(), "a"); return err },
		func() error { _, err := client.List(t.Context(), "a"); return err },
	} {
		assert.DeepEqual(t, handler.AcceptedCuts(call), []string(nil))
	}
}
