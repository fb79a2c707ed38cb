package plain

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

const (
	// defaultDialTimeout bounds the set-up of a connection inside a data centre.
	defaultDialTimeout = time.Second
	// defaultAnswerLimit bounds the answer of a service; it equals the body limit of callers.
	defaultAnswerLimit spoke.ByteSize = 8 << 20
	// idlePerHost is the number of idle connections kept for each upstream.
	idlePerHost = 32
	// idleConnTimeout ends idle connections before they are likely to be stale.
	idleConnTimeout = 20 * time.Second
)

type (
	// Client makes single attempts of calls over HTTP; it implements spoke.Plain.
	Client struct {
		dialer      net.Dialer
		answerLimit spoke.ByteSize
		pooled      *http.Transport
		fresh       *http.Transport
	}

	// ClientOption changes a Client.
	ClientOption func(*Client)
)

// NewClient returns a client with its own connection pool.
func NewClient(opts ...ClientOption) *Client {
	c := &Client{dialer: net.Dialer{Timeout: defaultDialTimeout}, answerLimit: defaultAnswerLimit}
	for _, opt := range opts {
		opt(c)
	}
	c.pooled = &http.Transport{DialContext: c.dial, MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleConnTimeout, DisableCompression: true}
	// A transport without keep-alive never reuses a connection. On a reused one it
	// would repeat calls on its own, and it takes an Idempotency-Key for permission.
	c.fresh = &http.Transport{DialContext: c.dial, DisableKeepAlives: true, DisableCompression: true}
	return c
}

// WithDialTimeout bounds the set-up of a connection.
func WithDialTimeout(timeout time.Duration) ClientOption {
	return func(c *Client) { c.dialer.Timeout = timeout }
}

// WithAnswerLimit bounds the body of an answer.
func WithAnswerLimit(limit spoke.ByteSize) ClientOption {
	return func(c *Client) { c.answerLimit = limit }
}

// Close ends the idle connections.
func (c *Client) Close() error {
	c.pooled.CloseIdleConnections()
	return nil
}

// Call makes one attempt; errors that match spoke.ErrNotRun mean that no byte
// reached the service. Redirects are answers and are not followed.
func (c *Client) Call(ctx context.Context, at spoke.Address, call spoke.PlainCall) (spoke.PlainAnswer, error) {
	var used usage
	request, err := newRequest(httptrace.WithClientTrace(ctx, used.trace()), at, call)
	if err != nil {
		return spoke.PlainAnswer{}, eris.Wrapf(spoke.ErrNotRun, "call %s %q: %s", call.Method, call.Path, err)
	}
	transport := c.pooled
	if call.FreshConnection {
		transport = c.fresh
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return spoke.PlainAnswer{}, used.explain(err, at, call)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(c.answerLimit)+1))
	if err != nil {
		return spoke.PlainAnswer{}, eris.Wrapf(spoke.ErrIncomplete, "answer of %s to attempt %s: %s", at, call.Attempt, err)
	}
	if spoke.ByteSize(len(body)) > c.answerLimit {
		return spoke.PlainAnswer{}, eris.Errorf("answer of %s to attempt %s exceeds %d bytes", at, call.Attempt, c.answerLimit)
	}
	return spoke.PlainAnswer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
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
	request.Header.Set("X-Attempt-Id", string(call.Attempt))
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
	return &countedConn{Conn: conn}, nil
}
