package platform

import (
	"io"
	"net/http"
	"strings"
)

// RequestIDPlace stands for the id of the request in the bytes of SetResumedAnswer.
const RequestIDPlace = "REQUEST-ID"

// SetResumedAnswer makes the engine break off new streams and respond to resumed ones with the given bytes.
func (e *Engine) SetResumedAnswer(raw string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behaviour, e.resumed = RawResumed, raw
}

func (e *Engine) writeResumed(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	raw := e.resumed
	e.mu.Unlock()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, strings.ReplaceAll(raw, RequestIDPlace, r.Header.Get(headerRequestID)))
	_ = conn.Close()
}
