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
	// network routes calls to handlers in the same process by address; an address without a
	// handler refuses connections.
	network struct {
		mu       sync.Mutex
		handlers map[string]http.Handler
	}

	// pipeResponse is the response of a handler; its body can be read while it is written.
	pipeResponse struct {
		recorder *httptest.ResponseRecorder
		body     *io.PipeWriter
		start    func()
	}

	// cancelOnClose cancels the handler's request when the reader closes the body.
	cancelOnClose struct {
		io.ReadCloser
		cancel context.CancelFunc
	}
)

// setHandler sets the handler of an address; nil removes it.
func (n *network) setHandler(address string, handler http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = handler
}

// RoundTrip serves a request by the handler of its address.
func (n *network) RoundTrip(req *http.Request) (*http.Response, error) {
	n.mu.Lock()
	handler := n.handlers[req.URL.Host]
	n.mu.Unlock()
	if handler == nil {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	reader, writer := io.Pipe()
	started := make(chan struct{})
	response := &pipeResponse{httptest.NewRecorder(), writer, sync.OnceFunc(func() { close(started) })}
	ctx, cancel := context.WithCancel(req.Context())
	go response.serve(handler, req.Clone(ctx))
	select {
	case <-started:
		resp := response.recorder.Result()
		resp.Body = cancelOnClose{reader, cancel}
		return resp, nil
	case <-ctx.Done():
		cancel()
		return nil, ctx.Err()
	}
}

func (p *pipeResponse) serve(handler http.Handler, req *http.Request) {
	defer func() {
		panicked := recover()
		if err, ok := panicked.(error); panicked != nil && (!ok || !errors.Is(err, http.ErrAbortHandler)) {
			panic(panicked)
		}
		p.start()
		_ = p.body.CloseWithError(map[bool]error{false: io.EOF, true: io.ErrUnexpectedEOF}[panicked != nil])
	}()
	stop := context.AfterFunc(req.Context(), func() { _ = p.body.CloseWithError(req.Context().Err()) })
	defer stop()
	handler.ServeHTTP(p, req)
}

func (p *pipeResponse) Header() http.Header { return p.recorder.Header() }

func (p *pipeResponse) WriteHeader(status int) {
	p.recorder.WriteHeader(status)
	p.start()
}

func (p *pipeResponse) Write(text []byte) (int, error) {
	p.recorder.WriteHeader(http.StatusOK)
	p.start()
	return p.body.Write(text)
}

func (p *pipeResponse) Flush() { p.start() }

func (c cancelOnClose) Close() error {
	c.cancel()
	return c.ReadCloser.Close()
}
