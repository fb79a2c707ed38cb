package link

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

const (
	// inlineBody is the size up to which a body is written before the answer is read; it
	// fits into the buffers of a connection.
	inlineBody = 8 << 10
	// strangers bounds the answers of other requests that are skipped before the own one.
	strangers = 2
	// strangerLimit bounds the body of an answer that is skipped.
	strangerLimit = 1 << 20
)

// errStrangers marks a connection that carries answers of other requests only.
var errStrangers = eris.New("answers belong to other requests")

type (
	// Request is one request to an upstream.
	Request struct {
		Address  spoke.Address
		Method   string
		Target   string
		HostName string
		Header   http.Header
		Body     []byte
	}

	// Answer is the answer to a request; it belongs to one goroutine.
	Response struct {
		Status int
		Header http.Header
		Body   io.Reader
		// Length is the size of the body, negative if the head does not say.
		Length int64

		pool     *Pool
		at       spoke.Address
		conn     *conn
		body     *endReader
		written  <-chan error
		isOneOff bool
		stop     func() bool
	}

	// endReader notes that a body was read to its end.
	endReader struct {
		io.ReadCloser
		isEnded bool
	}
)

// Do sends a request and returns the head of its answer; isOwn tells the answer from one that
// belongs to an earlier request. An error that matches ErrNotRun means that no byte has left.
// The connection is closed when ctx ends.
func (p *Pool) Do(ctx context.Context, request Request, isOwn func(status int, header http.Header) bool) (*Response, error) {
	c, err := p.get(ctx, request.Address)
	if err != nil {
		return nil, eris.Wrapf(spoke.ErrNotRun, "connect to %s: %s", request.Address, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	answer, err := p.exchange(c, request, isOwn)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, errors.Join(err, ctx.Err())
	}
	answer.stop = stop
	return answer, nil
}

func (p *Pool) exchange(c *conn, request Request, isOwn func(status int, header http.Header) bool) (*Response, error) {
	sent := p.now()
	written, err := send(c, request)
	if err != nil {
		p.dropped(c, sent)
		return nil, eris.Wrapf(err, "send to %s", request.Address)
	}
	isOneOff := false
	heads := int64(headLimit)
	for range strangers + 1 {
		//nolint:bodyclose // The answer's owner closes the connection, which ends the body as well.
		response, err := readHead(c, request.Method, &heads)
		if errors.Is(err, syscall.ECONNRESET) {
			p.dropped(c, sent)
		}
		if err != nil {
			return nil, eris.Wrapf(err, "answer of %s", request.Address)
		}
		if isOwn(response.StatusCode, response.Header) {
			body := &endReader{ReadCloser: response.Body}
			isOneOff = isOneOff || response.Close || response.ProtoMajor != 1 || response.ProtoMinor != 1
			return &Response{
				Status: response.StatusCode, Header: response.Header, Body: body, Length: response.ContentLength,
				pool: p, at: request.Address, conn: c, body: body, written: written, isOneOff: isOneOff,
			}, nil
		}
		isOneOff = true
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, strangerLimit)); err != nil {
			return nil, eris.Wrapf(err, "answer of another request from %s", request.Address)
		}
	}
	return nil, eris.Wrapf(errStrangers, "from %s", request.Address)
}

// send writes the request; a long body is written beside the reading of the answer, since an
// upstream may answer before it has read the body.
func send(c *conn, request Request) (<-chan error, error) {
	message := encode(request)
	written := make(chan error, 1)
	if len(message) <= inlineBody {
		_, err := c.Write(message)
		written <- err
		return written, err
	}
	go func() {
		_, err := c.Write(message)
		written <- err
	}()
	return written, nil
}

func encode(request Request) []byte {
	var message bytes.Buffer
	message.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.HostName + "\r\n")
	// Writing to a buffer does not fail.
	_ = request.Header.Write(&message)
	if len(request.Body) > 0 || (request.Method != http.MethodGet && request.Method != http.MethodHead) {
		message.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	message.WriteString("\r\n")
	message.Write(request.Body)
	return message.Bytes()
}

// readHead reads the head of the next final answer, within what is left for heads.
func readHead(c *conn, method string, left *int64) (*http.Response, error) {
	c.meter.allowed = *left
	defer func() { *left, c.meter.allowed = c.meter.allowed, unmetered }()
	for range mostInformational + 1 {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, ErrHeadTooLong
}

// Read notes the end of the body.
func (r *endReader) Read(buffer []byte) (int, error) {
	n, err := r.ReadCloser.Read(buffer)
	if err == io.EOF {
		r.isEnded = true
	}
	return n, err
}

// Close ends the exchange; the connection is kept if the answer was read to its end.
func (a *Response) Close(idleTimeout time.Duration) {
	isUntouched := a.stop()
	if isUntouched && a.body.isEnded && !a.isOneOff && a.isWritten() && a.conn.reader.Buffered() == 0 {
		a.pool.put(a.at, a.conn, idleTimeout)
		return
	}
	_ = a.conn.Close()
}

func (a *Response) isWritten() bool {
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}
