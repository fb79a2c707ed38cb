package plain

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/fetch"
)

const (
	// attemptHeader names the attempt in a request, and in the answers of services that repeat it. Only their connections
	// are used again, since any other answer may be a late one to an earlier call.
	attemptHeader = "X-Attempt-Id"

	// defaultDialTimeout bounds the establishment of a connection inside a data centre.
	defaultDialTimeout = time.Second
	// defaultAnswerLimit bounds the response body of a service; it equals the limit on
	// request bodies.
	defaultAnswerLimit spoke.ByteSize = 8 << 20
	// defaultAnswerMemory bounds the memory of all long responses that are being read.
	defaultAnswerMemory spoke.ByteSize = 32 << 20
	// idlePerHost bounds the idle connections kept for each upstream.
	idlePerHost = 32
	// idleConnTimeout closes idle connections before they are likely to be stale.
	idleConnTimeout = 20 * time.Second
)

type (
	// Client makes single attempts of calls over HTTP. It implements spoke.Plain.
	Client struct {
		dialer      net.Dialer
		answerLimit spoke.ByteSize
		memory      *fetch.Memory
		pooled      *http.Transport
		fresh       *http.Transport
	}

	// ClientOption configures a Client.
	ClientOption func(*Client)
)

// NewClient returns a client with its own connection pool.
func NewClient(opts ...ClientOption) *Client {
	c := &Client{dialer: net.Dialer{Timeout: defaultDialTimeout}, answerLimit: defaultAnswerLimit, memory: fetch.NewMemory(defaultAnswerMemory)}
	for _, opt := range opts {
		opt(c)
	}
	c.pooled = &http.Transport{DialContext: c.dial, MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleConnTimeout, DisableCompression: true, MaxResponseHeaderBytes: fetch.MaxHead}
	// With keep-alive disabled the transport never reuses a connection. On a reused
	// connection net/http retries requests by itself if they carry an Idempotency-Key.
	c.fresh = &http.Transport{DialContext: c.dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: fetch.MaxHead}
	return c
}

// WithDialTimeout bounds the establishment of a connection.
func WithDialTimeout(timeout time.Duration) ClientOption {
	return func(c *Client) { c.dialer.Timeout = timeout }
}

// WithAnswerLimit bounds the body of a response.
func WithAnswerLimit(limit spoke.ByteSize) ClientOption {
	return func(c *Client) { c.answerLimit = limit }
}

// Close closes the idle connections.
func (c *Client) Close() error {
	c.pooled.CloseIdleConnections()
	return nil
}

// Call makes one attempt. Errors that match spoke.ErrNotRun mean that no byte
// reached the service. Redirects are returned as answers and not followed.
func (c *Client) Call(ctx context.Context, at spoke.Address, call spoke.PlainCall) (spoke.PlainAnswer, error) {
	var tracker connTracker
	request, err := newRequest(httptrace.WithClientTrace(ctx, tracker.trace()), at, call)
	if err != nil {
		return spoke.PlainAnswer{}, eris.Wrapf(spoke.ErrNotRun, "call %s %q: %s", call.Method, call.Path, err)
	}
	transport := c.pooled
	if call.FreshConnection {
		transport = c.fresh
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return spoke.PlainAnswer{}, tracker.wrapError(err, at, call)
	}
	defer response.Body.Close()
	if !fetch.IsFinalStatus(response.StatusCode) {
		tracker.close()
		return spoke.PlainAnswer{}, eris.Wrapf(spoke.ErrIncomplete, "answer of %s to attempt %s has status %03d", at, call.Attempt, response.StatusCode)
	}
	if response.Header.Get(attemptHeader) != string(call.Attempt) {
		defer tracker.close()
		if tracker.spend() {
			return spoke.PlainAnswer{}, eris.Wrapf(spoke.ErrIncomplete, "answer of %s on a connection in use again does not name attempt %s", at, call.Attempt)
		}
	}
	body, release, err := c.memory.ReadWhole(response.Body, fetch.UnknownLength, c.answerLimit)
	defer release()
	if errors.Is(err, fetch.ErrTooLong) || errors.Is(err, fetch.ErrMemory) {
		return spoke.PlainAnswer{}, eris.Wrapf(err, "answer of %s to attempt %s, at most %d bytes", at, call.Attempt, c.answerLimit)
	}
	if err != nil {
		return spoke.PlainAnswer{}, eris.Wrapf(spoke.ErrIncomplete, "answer of %s to attempt %s: %s", at, call.Attempt, err)
	}
	return spoke.PlainAnswer{Status: response.StatusCode, Header: response.Header, Body: body, EndsWithConnection: endsWithConnection(response)}, nil
}

// endsWithConnection reports whether an answer has neither a length nor chunks.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

func newRequest(ctx context.Context, at spoke.Address, call spoke.PlainCall) (*http.Request, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return nil, eris.Errorf("path %q does not start with a slash", call.Path)
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+string(at)+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	if call.Header != nil {
		request.Header = call.Header.Clone()
	}
	request.Header.Set("X-Request-Id", string(call.Request))
	request.Header.Set(attemptHeader, string(call.Attempt))
	request.Header.Del("Idempotency-Key")
	if call.Key != "" {
		request.Header.Set("Idempotency-Key", string(call.Key))
	}
	return request, nil
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn}, nil
}
