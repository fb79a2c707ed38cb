package openai

import (
	"net/http"
	"time"
)

const (
	// headerReadTimeout bounds how long a caller may take to send its headers, so
	// that idle connections without a request do not pile up.
	headerReadTimeout = 10 * time.Second
	// keepAliveTimeout ends idle connections of callers; it is longer than the usual
	// 60 s of load balancers, which must close first to avoid a lost request.
	keepAliveTimeout = 75 * time.Second
)

// NewServer returns a server of the caller API with the limits that a handler
// cannot set itself. The handler sets the deadlines of bodies and answers.
func NewServer(handler *Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerReadTimeout,
		IdleTimeout:       keepAliveTimeout,
		// The server's own limit stands behind the handler's, whose refusal is typed.
		MaxHeaderBytes: 2 * int(handler.headerLimit),
	}
}
