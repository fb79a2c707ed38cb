package kvsvc

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"

	"github.com/rotisserie/eris"
)

// transport passes requests to a handler in the same process.
type transport struct{ handler http.Handler }

var errClosed = eris.New("connection closed without a response")

// NewTransport returns a transport that needs no socket, so that tests can run on a simulated clock.
func NewTransport(handler http.Handler) http.RoundTripper { return transport{handler} }

// RoundTrip runs the handler; if the handler aborts, it returns an error as for a closed connection.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	responses := make(chan *http.Response, 1)
	go t.serve(r.Clone(r.Context()), responses)
	select {
	case response, ok := <-responses:
		if !ok {
			return nil, errClosed
		}
		return response, nil
	case <-r.Context().Done():
		return nil, context.Cause(r.Context())
	}
}

func (t transport) serve(r *http.Request, responses chan<- *http.Response) {
	defer close(responses)
	defer func() {
		fault := recover()
		if err, ok := fault.(error); fault != nil && (!ok || !errors.Is(err, http.ErrAbortHandler)) {
			panic(fault)
		}
	}()
	recorder := httptest.NewRecorder()
	t.handler.ServeHTTP(recorder, r)
	responses <- recorder.Result()
}
