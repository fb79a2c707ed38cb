package platform

import (
	"net/http"
	"time"
)

// SetAnswerDelay sets the time before a response that is not a stream.
func (e *Engine) SetAnswerDelay(delay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answerDelay = delay
}

// writeDelayed writes a response that is not a stream, unless the caller leaves before.
func (e *Engine) writeDelayed(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	delay := e.answerDelay
	e.mu.Unlock()
	if delay == 0 || e.wait(r, delay) {
		e.writeAnswer(w, r)
	}
}
