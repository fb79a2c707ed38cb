package platform

import (
	"io"
	"net"
	"net/http"
	"strings"
)

const (
	// Echo sends the body of the request as the bytes of the response and closes the connection.
	Echo Behaviour = "echo"
	// EchoReset sends the body of the request as the bytes of the response and resets the connection.
	EchoReset Behaviour = "echo-reset"

	// minReadBytes and maxReadBytes are the sizes of the smallest and of the largest buffer for reading a body.
	minReadBytes = 512
	maxReadBytes = 32 << 10
)

// hold stops runs until it is released.
type hold struct {
	// events is the number of events of a stream after which it stops; zero stops before the head.
	events   int
	released chan struct{}
}

// Hold stops the following runs after a number of events, with zero before the head, until release is called.
func (e *Engine) Hold(events int) (release func()) {
	held := &hold{events: events, released: make(chan struct{})}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held = held
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.held = nil
		close(held.released)
	}
}

// awaitRelease blocks a run that is held after the given number of events.
func (e *Engine) awaitRelease(r *http.Request, events int) {
	e.mu.Lock()
	held := e.held
	e.mu.Unlock()
	if held == nil || held.events != events {
		return
	}
	select {
	case <-held.released:
	case <-r.Context().Done():
	}
}

func echo(w http.ResponseWriter, body []byte, isReset bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = conn.Write(body)
	if isReset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
}

// readBody reads a body into one buffer of the stated length, which the run keeps: hosts of tests share their memory with
// the stand-in, and buffers that grow and copies take several times the length.
func readBody(r *http.Request) string {
	var text strings.Builder
	text.Grow(int(max(0, r.ContentLength)))
	buffer := make([]byte, max(minReadBytes, min(maxReadBytes, r.ContentLength)))
	_, _ = io.CopyBuffer(&text, r.Body, buffer) // A body that was cut is a run, too.
	return text.String()
}
