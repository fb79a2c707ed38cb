package link

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/dial"
	"magnoliaspoke.example/spoke/fetch"
)

const (
	// maxInlineBytes is the size up to which a request is written before its response is read; it
	// fits into the socket buffers of a connection.
	maxInlineBytes = 8 << 10
	// maxForeignResponses bounds the responses to other requests that are skipped in one exchange.
	maxForeignResponses = 2
	// maxForeignBodyBytes bounds the body of a response that is skipped.
	maxForeignBodyBytes = 1 << 20
)

var (
	// ErrInvalidStatus reports a head whose status is none of HTTP. What stands behind it belongs to nobody.
	ErrInvalidStatus = eris.New("invalid status of a response")
	// errResetBody reports a body with neither a length nor chunks whose connection was reset.
	errResetBody = eris.New("connection was reset before the end of the body")
	// errForeignResponses reports that all responses read in an exchange belong to other requests.
	errForeignResponses = eris.New("responses belong to other requests")
	// errForeignEnd reports a response to another request whose end cannot be found.
	errForeignEnd = eris.New("response to another request has no known end")
	// errMixedHead reports a head that another one begins in.
	errMixedHead = eris.New("response head contains a status line")

	// statusLine is the beginning of a response. It stands inside a head if the response before it stopped there.
	statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)
)

type (
	// Request is one request to an upstream.
	Request struct {
		Address  spoke.Address
		Method   string
		Target   string
		HostName string
		Header   http.Header
		Body     []byte
		// Key names the request in its response, empty if nothing does. Requests with the same key share no
		// connection, since a late copy of the first response would look like the second one.
		Key string
		// MaySend is asked right before the first byte is sent; with its error nothing is. It may be nil.
		MaySend func() error
		// MayUse reports whether the request may be sent on an idle connection; nil allows any.
		MayUse func(net.Conn) bool
	}

	// Response is the response to a request; it is not safe for concurrent use.
	Response struct {
		Status int
		Header http.Header
		Body   io.Reader
		// Length is the size of the body in bytes, negative if the head does not state it.
		Length int64
		// EndsWithConnection is set if neither a length nor chunks show the end of the body.
		EndsWithConnection bool
		// IsReused is set if the connection has carried other responses before.
		IsReused bool

		pool       *Pool
		address    spoke.Address
		conn       *conn
		body       *eofReader
		written    *writeResult
		closeAfter bool
		stopCancel func() bool
	}

	// connectError reports that no connection was made; it wraps spoke.ErrNotRun and the cause.
	connectError struct {
		address spoke.Address
		cause   error
	}

	// eofReader records whether a body was read to its end.
	eofReader struct {
		io.ReadCloser
		atEOF bool
		// confirmEnd returns an error if the end of the connection is not that of the body; nil if the body has an end of its
		// own.
		confirmEnd func() error
	}

	// writeResult is the result of writing a request.
	writeResult struct {
		done chan struct{}
		// err is set before done is closed.
		err error
	}
)

// Error returns the address and the cause.
func (e *connectError) Error() string {
	return "connect to " + string(e.address) + ": " + e.cause.Error() + ": " + spoke.ErrNotRun.Error()
}

// Unwrap returns spoke.ErrNotRun and the cause.
func (e *connectError) Unwrap() []error { return []error{spoke.ErrNotRun, e.cause} }

// Do sends a request and returns its response when the head has been read; matches reports whether
// a response belongs to this request and not to an earlier one. An error that wraps
// spoke.ErrNotRun means that no byte was sent. The connection is reset when ctx ends.
func (p *Pool) Do(ctx context.Context, request Request, matches func(status int, header http.Header) bool) (*Response, error) {
	c, err := p.get(ctx, request)
	if err != nil {
		return nil, &connectError{address: request.Address, cause: err}
	}
	if err := request.maySend(); err != nil {
		_ = c.Close()
		return nil, errors.Join(spoke.ErrNotRun, err)
	}
	aborted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(aborted)
		c.abort()
	})
	response, err := p.exchange(c, request, matches)
	if err != nil {
		if !stop() {
			// Nothing may follow the request before its connection is reset.
			<-aborted
		}
		c.abort()
		return nil, errors.Join(err, ctx.Err())
	}
	response.stopCancel = stop
	return response, nil
}

func (r Request) maySend() error {
	if r.MaySend == nil {
		return nil
	}
	return r.MaySend()
}

func (r Request) mayUse(conn net.Conn) bool { return r.MayUse == nil || r.MayUse(conn) }

func (p *Pool) exchange(c *conn, request Request, matches func(status int, header http.Header) bool) (*Response, error) {
	sentAt := p.now()
	c.record(request)
	written, err := send(c, request)
	if err != nil {
		p.recordReset(c, sentAt)
		return nil, eris.Wrapf(err, "send to %s", request.Address)
	}
	closeAfter, hasSkipped := false, false
	headBudget := int64(maxHeadBytes)
	for range maxForeignResponses + 1 {
		//nolint:bodyclose // The caller closes the response and with it the connection, which ends the body as well.
		response, err := readHead(c, request, &headBudget)
		if errors.Is(err, syscall.ECONNRESET) {
			p.recordReset(c, sentAt)
		}
		if err != nil {
			return nil, eris.Wrapf(err, "read response from %s", request.Address)
		}
		if matches(response.StatusCode, response.Header) {
			body := &eofReader{ReadCloser: response.Body}
			if endsWithConnection(response) && response.Body != http.NoBody {
				body.confirmEnd = func() error { return confirmEnd(c, written) }
			}
			closeAfter = closeAfter || response.Close || response.ProtoMajor != 1 || response.ProtoMinor != 1
			return &Response{
				Status: response.StatusCode, Header: response.Header, Body: body, Length: response.ContentLength,
				IsReused:           c.isReused || hasSkipped,
				EndsWithConnection: endsWithConnection(response),
				pool:               p, address: request.Address, conn: c, body: body, written: written, closeAfter: closeAfter,
			}, nil
		}
		closeAfter, hasSkipped = true, true
		if err := skipForeign(c, response); err != nil {
			return nil, eris.Wrapf(err, "skip response to another request from %s", request.Address)
		}
	}
	return nil, eris.Wrapf(errForeignResponses, "from %s", request.Address)
}

// skipForeign reads a response to another request to its end. Behind one whose end is not known, bytes of its body could
// look like the next head.
func skipForeign(c *conn, response *http.Response) error {
	if c.hasCarriedHead || endsWithConnection(response) {
		return errForeignEnd
	}
	skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBodyBytes+1))
	if err == nil && skipped > maxForeignBodyBytes {
		return errForeignEnd
	}
	return err
}

// endsWithConnection reports whether a response has neither a length nor chunks.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// confirmEnd returns an error unless the upstream has ended the connection in order and read the request. The error of a
// reset is given to one call only: if the writer of the request gets it, the reader sees the regular end of a body that was
// cut.
func confirmEnd(c *conn, written *writeResult) error {
	if !dial.IsEndedInOrder(c.Conn) {
		return errResetBody
	}
	// An upstream may end its response and go on reading the request.
	<-written.done
	return eris.Wrap(written.err, "response ended, but its request was not read")
}

// send writes the request. A long one is written concurrently with reading the response, since an
// upstream may respond before it has read the body.
func send(c *conn, request Request) (*writeResult, error) {
	head := encodeHead(request)
	written := &writeResult{done: make(chan struct{})}
	if len(head)+len(request.Body) <= maxInlineBytes {
		defer close(written.done)
		_, written.err = c.Write(append(head, request.Body...))
		return written, written.err
	}
	go func() {
		defer close(written.done)
		// The body is not copied, since long ones take much of a host's memory.
		message := net.Buffers{head, request.Body}
		_, written.err = message.WriteTo(c)
	}()
	return written, nil
}

func encodeHead(request Request) []byte {
	var message bytes.Buffer
	message.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.HostName + "\r\n")
	// Writing to a buffer does not fail.
	_ = request.Header.Write(&message)
	if len(request.Body) > 0 || (request.Method != http.MethodGet && request.Method != http.MethodHead) {
		message.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	message.WriteString("\r\n")
	return message.Bytes()
}

// readHead reads the head of the next final response within headBudget bytes and reduces headBudget
// by what it has read.
func readHead(c *conn, request Request, headBudget *int64) (*http.Response, error) {
	c.limit.remaining = *headBudget
	defer func() { *headBudget, c.limit.remaining = c.limit.remaining, unlimited }()
	for range maxInformational + 1 {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, err
		}
		if isMixed(response, request.Key) {
			return nil, errMixedHead
		}
		if fetch.IsFinalStatus(response.StatusCode) {
			return response, nil
		}
		if !isInformational(response.StatusCode) {
			return nil, eris.Wrapf(ErrInvalidStatus, "status %03d", response.StatusCode)
		}
	}
	return nil, ErrHeadTooLong
}

// isInformational reports whether a final response follows. No request asks for another protocol, so that a switch to one is
// no response.
func isInformational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// isMixed reports whether another head begins inside the head of a response. Its fields may belong to either. A key that
// looks like a status line is no head.
func isMixed(response *http.Response, key string) bool {
	holdsHead := func(value string) bool { return value != key && statusLine.MatchString(value) }
	for _, values := range response.Header {
		if slices.ContainsFunc(values, holdsHead) {
			return true
		}
	}
	for name := range response.Trailer {
		if statusLine.MatchString(name) {
			return true
		}
	}
	return statusLine.MatchString(response.Status)
}

// Read reads from the body and records its end.
func (r *eofReader) Read(buffer []byte) (int, error) {
	n, err := r.ReadCloser.Read(buffer)
	if err != io.EOF {
		return n, err
	}
	if r.confirmEnd != nil && !r.atEOF {
		if err := r.confirmEnd(); err != nil {
			return n, err
		}
	}
	r.atEOF = true
	return n, io.EOF
}

// Framing names what shows the end of the body: a length, chunks, or the end of the connection.
func (r *Response) Framing() string {
	switch {
	case r.EndsWithConnection:
		return "connection"
	case r.Length >= 0:
		return "length"
	}
	return "chunks"
}

// Discard keeps the connection from being used again.
func (r *Response) Discard() { r.closeAfter = true }

// Close ends the exchange. The connection returns to the pool if the response was read to its end
// and nothing prevents its reuse, and is reset if it was not read to its end; idleTimeout is that of the upstream, zero if
// unknown.
func (r *Response) Close(idleTimeout time.Duration) {
	isOpen := r.stopCancel()
	if isOpen && r.body.atEOF && !r.closeAfter && r.isRequestWritten() && r.conn.reader.Buffered() == 0 {
		r.pool.putIdle(r.address, r.conn, idleTimeout)
		return
	}
	if !r.body.atEOF {
		r.conn.abort()
		return
	}
	_ = r.conn.Close()
}

func (r *Response) isRequestWritten() bool {
	select {
	case <-r.written.done:
		return r.written.err == nil
	default:
		return false
	}
}
