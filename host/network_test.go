package host_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
)

type (
	// network carries calls to handlers in the same process, by address; an address
	// without a handler refuses connections.
	network struct {
		mu       sync.Mutex
		handlers map[string]http.Handler
	}

	// exchange is the answer of a handler, which reads as it is written.
	exchange struct {
		recorder *httptest.ResponseRecorder
		body     *io.PipeWriter
		begun    func()
	}

	// hangUp ends the handler's request when the reader closes the body.
	hangUp struct {
		io.ReadCloser
		cancel context.CancelFunc
	}
)

// join sets what answers at an address, nil for nothing.
func (n *network) join(address string, handler http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = handler
}

// RoundTrip serves a call.
func (n *network) RoundTrip(req *http.Request) (*http.Response, error) {
	n.mu.Lock()
	handler := n.handlers[req.URL.Host]
	n.mu.Unlock()
	if handler == nil {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	reader, writer := io.Pipe()
	begun := make(chan struct{})
	answer := &exchange{httptest.NewRecorder(), writer, sync.OnceFunc(func() { close(begun) })}
	ctx, cancel := context.WithCancel(req.Context())
	go answer.serve(handler, req.Clone(ctx))
	select {
	case <-begun:
		resp := answer.recorder.Result()
		resp.Body = hangUp{reader, cancel}
		return resp, nil
	case <-ctx.Done():
		cancel()
		return nil, ctx.Err()
	}
}

func (e *exchange) serve(handler http.Handler, req *http.Request) {
	defer func() {
		fault := recover()
		if err, ok := fault.(error); fault != nil && (!ok || !errors.Is(err, http.ErrAbortHandler)) {
			panic(fault)
		}
		e.begun()
		_ = e.body.CloseWithError(map[bool]error{false: io.EOF, true: io.ErrUnexpectedEOF}[fault != nil])
	}()
	stop := context.AfterFunc(req.Context(), func() { _ = e.body.CloseWithError(req.Context().Err()) })
	defer stop()
	handler.ServeHTTP(e, req)
}

func (e *exchange) Header() http.Header { return e.recorder.Header() }

func (e *exchange) WriteHeader(status int) {
	e.recorder.WriteHeader(status)
	e.begun()
}

func (e *exchange) Write(text []byte) (int, error) {
	e.recorder.WriteHeader(http.StatusOK)
	e.begun()
	return e.body.Write(text)
}

func (e *exchange) Flush() { e.begun() }

func (h hangUp) Close() error {
	h.cancel()
	return h.ReadCloser.Close()
}
