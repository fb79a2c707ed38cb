package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/fetch"
)

const (
	maxConnections     = 16
	maxIdleConnections = 4
	idleTimeout        = 30 * time.Second
	defaultDialTimeout = time.Second
	// maxResponseSize bounds the response bodies of control calls, in bytes.
	maxResponseSize = 64 << 10
)

type (
	// Option changes a setting of a Client.
	Option func(*Client)

	// Client is an HTTP client of store hosts; it implements spoke.BlockStore. It is safe for
	// concurrent use.
	Client struct {
		dialer    net.Dialer
		transport *http.Transport
	}
)

var _ spoke.BlockStore = (*Client)(nil)

// New returns a client without open connections.
func New(opts ...Option) *Client {
	client := &Client{dialer: net.Dialer{Timeout: defaultDialTimeout}}
	for _, opt := range opts {
		opt(client)
	}
	client.transport = &http.Transport{
		DialContext:         client.dialer.DialContext,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: fetch.MaxHead,
	}
	return client
}

// WithDialTimeout sets the limit of the time to connect.
func WithDialTimeout(limit time.Duration) Option {
	return func(c *Client) { c.dialer.Timeout = limit }
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Meta returns the metadata of a block's committed content, or ErrBlockMissing.
func (c *Client) Meta(ctx context.Context, at spoke.Address, key spoke.BlockKey) (spoke.BlockMeta, error) {
	var body metaBody
	if err := c.call(ctx, at, http.MethodGet, "/blocks/"+key.String()+"/meta", nil, &body); err != nil {
		return spoke.BlockMeta{}, err
	}
	return spoke.BlockMeta{
		Key:        key,
		Generation: body.Generation,
		Checksum:   body.Checksum,
		Length:     body.Length,
	}, nil
}

// Pin keeps a generation of a block readable for the ttl. It fails with ErrBlockChanged if the
// block has another generation and with ErrBlockMissing if the host does not hold the block.
func (c *Client) Pin(ctx context.Context, at spoke.Address, key spoke.BlockKey, generation spoke.Generation, ttl time.Duration) error {
	body := pinBody{Generation: generation, TTL: ttl.Milliseconds()}
	return c.call(ctx, at, http.MethodPost, "/blocks/"+key.String()+"/pin", body, nil)
}

// Delete removes a block, or fails with ErrBlockMissing if the host does not hold it.
func (c *Client) Delete(ctx context.Context, at spoke.Address, key spoke.BlockKey) error {
	return c.call(ctx, at, http.MethodDelete, "/blocks/"+key.String(), nil, nil)
}

// Usage returns the space usage of the tiers of a store host, its number of blocks and its link queue.
func (c *Client) Usage(ctx context.Context, at spoke.Address) (spoke.StoreUsage, error) {
	var body usageBody
	if err := c.call(ctx, at, http.MethodGet, "/usage", nil, &body); err != nil {
		return spoke.StoreUsage{}, err
	}
	return spoke.StoreUsage(body), nil
}

// call sends one request and decodes the response body into result; a nil result discards it.
func (c *Client) call(ctx context.Context, at spoke.Address, method, path string, body, result any) error {
	var content io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return eris.Wrapf(err, "encode %s", path)
		}
		content = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+string(at)+path, content)
	if err != nil {
		return eris.Wrapf(err, "store address %q", at)
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		if ctx.Err() != nil {
			// Pooled connections may be as unresponsive as the one that timed out.
			c.transport.CloseIdleConnections()
		}
		return eris.Wrapf(err, "%s %s at store host %s", method, path, at)
	}
	defer response.Body.Close()
	if err := statusError(response, method, path, at); err != nil {
		return err
	}
	// The body is read to its end, since a value may be whole in a body that was cut.
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseSize))
	if err == nil && result != nil {
		err = json.Unmarshal(raw, result)
	}
	return eris.Wrapf(err, "answer of store host %s to %s", at, path)
}

// statusError returns nil for status 200 and otherwise an error that wraps the matching spoke error,
// if there is one.
func statusError(response *http.Response, method, path string, at spoke.Address) error {
	cause := eris.Errorf("store host %s answered %d to %s %s", at, response.StatusCode, method, path)
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return errors.Join(spoke.ErrBlockMissing, cause)
	case http.StatusConflict:
		return errors.Join(spoke.ErrBlockChanged, cause)
	case http.StatusInsufficientStorage:
		return errors.Join(spoke.ErrStoreFull, cause)
	}
	return cause
}
