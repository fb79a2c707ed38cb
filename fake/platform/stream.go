package platform

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
)

// stream writes the events of a stream behind the one that the request names.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, behaviour Behaviour) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = after + 1
	}
	if behaviour == FailResumed && first > 1 {
		http.Error(w, "engine failed", http.StatusInternalServerError)
		return
	}
	if behaviour == RawResumed && first > 1 {
		e.writeResumed(w, r)
		return
	}
	isBreaking := behaviour == ResetMidway || behaviour == FailResumed || behaviour == RawResumed
	for id := first; id <= e.events; id++ {
		if isBreaking && first == 1 && id == 2 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: tor", id)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		if !e.stallAfter(r, id-1) {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", id, id)
		_ = http.NewResponseController(w).Flush()
		e.awaitRelease(r, id)
		if !e.wait(r, e.eventInterval) {
			return
		}
	}
}

// trickle writes one byte of an event per interval until the caller closes the connection.
func (e *Engine) trickle(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, err := io.WriteString(w, "id: 1\ndata: ")
	for err == nil && e.wait(r, trickleInterval) {
		_, err = io.WriteString(w, "x")
		_ = http.NewResponseController(w).Flush()
	}
}
