package plain_test

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/fake/frame"
	"magnoliaspoke.example/spoke/plain"
)

// Guards against an answer that is cut and counts as whole, whether the service has served the call or failed.
func TestCutAnswersAreErrors(t *testing.T) {
	client := plain.NewClient()
	defer client.Close()
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
		handler := frame.New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, "whole")
		}))
		_, at := startServer(t, handler)
		for _, isFresh := range []bool{false, true} {
			call := spoke.PlainCall{Request: "r", Attempt: "r-1", Method: http.MethodPost, Path: "/bookings", FreshConnection: isFresh}
			assert.DeepEqual(t, handler.AcceptedCuts(func() error { _, err := client.Call(t.Context(), at, call); return err }), []string(nil))
		}
	}
}
