package kvsvc

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"

	"github.com/rotisserie/eris"
)

// transport carries calls to a handler in the same process.
type transport struct{ handler http.Handler }

var errClosed = eris.New("connection closed without an answer")

// NewTransport returns a transport that needs no socket, for tests in virtual time.
func NewTransport(handler http.Handler) http.RoundTripper { return transport{handler} }

// RoundTrip serves the request; a handler that aborts looks like a closed connection.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	answers := make(chan *http.Response, 1)
	go t.serve(r.Clone(r.Context()), answers)
	select {
	case answer, ok := <-answers:
		if !ok {
			return nil, errClosed
		}
		return answer, nil
	case <-r.Context().Done():
		return nil, context.Cause(r.Context())
	}
}

func (t transport) serve(r *http.Request, answers chan<- *http.Response) {
	defer close(answers)
	defer func() {
		fault := recover()
		if err, ok := fault.(error); fault != nil && (!ok || !errors.Is(err, http.ErrAbortHandler)) {
			panic(fault)
		}
	}()
	recorder := httptest.NewRecorder()
	t.handler.ServeHTTP(recorder, r)
	answers <- recorder.Result()
}
