package platform

import "net/http"

// Queue holds requests that have not begun.
type Queue struct{ silent, begun chan struct{} }

// Queue makes the engine queue the following requests. Those whose connection ends are dropped until FallSilent.
func (e *Engine) Queue() *Queue {
	q := &Queue{silent: make(chan struct{}), begun: make(chan struct{})}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queue = q
	return q
}

// FallSilent makes the engine stand still: it notices no end of a connection any more.
func (q *Queue) FallSilent() { close(q.silent) }

// GoOn makes the engine begin its queue, before it notices which connections have ended.
func (q *Queue) GoOn() { close(q.begun) }

// awaitBegin waits in the queue, if there is one, and reports whether the request begins.
func (e *Engine) awaitBegin(r *http.Request) bool {
	e.mu.Lock()
	q := e.queue
	if q != nil {
		e.queued++
	}
	e.mu.Unlock()
	if q == nil {
		return true
	}
	select {
	case <-q.silent:
		<-q.begun
		return true
	case <-q.begun:
		return true
	case <-r.Context().Done():
		return false
	}
}

// Queued returns the number of requests that have entered a queue.
func (e *Engine) Queued() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.queued
}
