package wire

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/dial"
	"magnoliaspoke.example/spoke/fetch"
	"magnoliaspoke.example/spoke/member"
)

const (
	pathRuns       = "/internal/runs"
	pathHeartbeats = "/internal/heartbeats"
	pathManifest   = "/internal/manifest"

	paramAfter = "after"
	paramFrom  = "from"

	// manifestLimit is in bytes and covers the JSON form of a value at the platform's limit of 1 MB.
	manifestLimit       = 4 << 20
	dialTimeout         = time.Second
	heartbeatTimeout    = time.Second
	updateTimeout       = time.Second
	maxIdleConnsPerHost = 64
	idleConnTimeout     = 30 * time.Second
	// streamBufferBytes holds a few frames of one token each.
	streamBufferBytes = 1024
)

type (
	// Client calls the internal API of other entry hosts.
	Client struct {
		http   *http.Client
		signer Signer
		timer  spoke.Timer
		clock  spoke.HybridClock
	}

	// ClientOption configures a Client.
	ClientOption func(*Client)
)

// WithTransport replaces the HTTP transport, for tests in virtual time.
func WithTransport(transport http.RoundTripper) ClientOption {
	return func(c *Client) { c.http.Transport = transport }
}

// NewClient returns a client that signs its requests.
func NewClient(signer Signer, timer spoke.Timer, clock spoke.HybridClock, opts ...ClientOption) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		ReadBufferSize:      streamBufferBytes,
		WriteBufferSize:     streamBufferBytes,

		MaxResponseHeaderBytes: fetch.MaxHead,
	}
	client := &Client{http: &http.Client{Transport: transport}, signer: signer, timer: timer, clock: clock}
	for _, opt := range opts {
		opt(client)
	}
	return client
}

// Heartbeat exchanges heartbeats with a host. Its error matches ErrNotRun if no connection was made.
func (c *Client) Heartbeat(ctx context.Context, at spoke.Address, heartbeat member.Heartbeat) (member.Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	body, err := EncodeHeartbeat(heartbeat)
	if err != nil {
		return member.Heartbeat{}, err
	}
	response, err := c.exchange(ctx, http.MethodPost, at, pathHeartbeats, body)
	if err != nil {
		return member.Heartbeat{}, err
	}
	return DecodeHeartbeat(response)
}

// FetchUpdate fetches the encoded update that follows a ticket number from a host.
func (c *Client) FetchUpdate(ctx context.Context, at spoke.Address, after spoke.TicketNumber) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	query := url.Values{paramAfter: {strconv.FormatUint(uint64(after), 10)}}
	return c.exchange(ctx, http.MethodGet, at, pathManifest+"?"+query.Encode(), nil)
}

// PushUpdate sends an encoded update to a host.
func (c *Client) PushUpdate(ctx context.Context, at spoke.Address, from spoke.HostID, update []byte) error {
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	query := url.Values{paramFrom: {string(from)}}
	_, err := c.exchange(ctx, http.MethodPost, at, pathManifest+"?"+query.Encode(), update)
	return err
}

func (c *Client) exchange(ctx context.Context, method string, at spoke.Address, path string, body []byte) ([]byte, error) {
	resp, err := c.send(ctx, method, at, path, body)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("%s %s at %s answered %s", method, path, at, resp.Status)
	}
	return readBody(resp.Header, resp.Body, manifestLimit)
}

func (c *Client) send(ctx context.Context, method string, at spoke.Address, path string, body []byte) (*http.Response, error) {
	payload, isCompressed := compress(body)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+string(at)+path, bytes.NewReader(payload))
	if err != nil {
		return nil, eris.Wrapf(err, "%s %s at %s", method, path, at)
	}
	if isCompressed {
		req.Header.Set("Content-Encoding", "gzip")
	}
	req.Header.Set("Accept-Encoding", "gzip")
	req.Header.Set(headerClock, formatClock(c.clock.Now()))
	c.signer.sign(req, payload, c.timer.Now())
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, wrapSendError(err, "%s %s at %s", method, path, at)
	}
	if clock, ok := parseClock(resp.Header.Get(headerClock)); ok {
		c.clock.Observe(clock)
	}
	return resp, nil
}

// wrapSendError wraps the error of a request, joined with ErrNotRun if no byte of it left this host.
func wrapSendError(err error, format string, args ...any) error {
	if dial.Failed(err) {
		return eris.Wrapf(errors.Join(spoke.ErrNotRun, err), format, args...)
	}
	return eris.Wrapf(err, format, args...)
}

func readBody(header http.Header, body io.Reader, limit int64) ([]byte, error) {
	if header.Get("Content-Encoding") == "gzip" {
		decompressed, err := gzip.NewReader(body)
		if err != nil {
			return nil, eris.Wrap(err, "read compressed body")
		}
		body = decompressed
	}
	content, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, eris.Wrap(err, "read body")
	}
	if int64(len(content)) > limit {
		return nil, eris.Errorf("body is over its limit of %d bytes", limit)
	}
	return content, nil
}
