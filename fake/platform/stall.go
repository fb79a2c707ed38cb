package platform

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// Stall is a time in which an engine sends nothing in the middle of a response.
type Stall struct {
	// After is the number of events, or of halves of another body, that precede the stall.
	After int
	For   time.Duration
}

// SetStall makes the engine fall silent at each of these places in turn, in the next response that has the place.
func (e *Engine) SetStall(stalls ...Stall) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stalls = stalls
}

// stallAfter waits if the engine stalls after the given part, and reports whether the caller stayed connected.
func (e *Engine) stallAfter(r *http.Request, part int) bool {
	stall, isDue := e.takeStall(part)
	return !isDue || e.wait(r, stall.For)
}

func (e *Engine) takeStall(part int) (Stall, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.stalls) == 0 || e.stalls[0].For <= 0 || e.stalls[0].After != part {
		return Stall{}, false
	}
	due := e.stalls[0]
	e.stalls = e.stalls[1:]
	return due, true
}

// writeAnswer writes the correct response to a request without a prompt in two halves.
func (e *Engine) writeAnswer(w http.ResponseWriter, r *http.Request) {
	body := WholeAnswer(e.ID)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	half := len(body) / 2
	for part, text := range []string{body[:half], body[half:]} {
		if !e.stallAfter(r, part) {
			return
		}
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
	}
}
