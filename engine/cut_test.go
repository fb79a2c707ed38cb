package engine_test

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/fake/frame"
)

// Guards against a response to a control call that is cut and counts as whole.
func TestCutControlResponsesAreErrors(t *testing.T) {
	client := startClient(t)
	report := frame.New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{}") }))
	at := serve(t, report)
	assert.DeepEqual(t, report.AcceptedCuts(func() error { _, err := client.Load(t.Context(), at); return err }), []string(nil))
	assert.DeepEqual(t, report.AcceptedCuts(func() error { return client.Cancel(t.Context(), at, "a") }), []string(nil))
}
