package openai

import (
	"net/http"
	"time"
)

const (
	// headerReadTimeout bounds the time to read the request headers, so that
	// connections without a request do not accumulate.
	headerReadTimeout = 10 * time.Second
	// keepAliveTimeout is the time after which idle connections are closed. It is
	// longer than the usual 60 s of load balancers, which must close connections
	// first: a request sent on a connection that the server is closing is lost.
	keepAliveTimeout = 75 * time.Second
)

// NewServer returns an HTTP server for the caller API with the limits that a
// handler cannot set itself. The handler sets the deadlines for reading request
// bodies and writing responses.
func NewServer(handler *Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerReadTimeout,
		IdleTimeout:       keepAliveTimeout,
		// The handler's lower limit applies first, so that the refusal has a typed body.
		MaxHeaderBytes: 2 * int(handler.headerLimit),
	}
}
