package admin

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

const (
	// DefaultTimeout bounds a call; acceptance of a ticket takes two platform calls.
	DefaultTimeout = 10 * time.Second
	// maxAnswer bounds the memory that one answer can take.
	maxAnswer = 64 << 20
)

type (
	// ClientOption changes a client that NewClient returns.
	ClientOption func(*Client)

	// Client calls the administration API of one entry host; failures that the host reports
	// are *spoke.AdminError, which wrap a *check.Report if there are findings.
	Client struct {
		address spoke.Address
		key     string
		http    *http.Client
	}
)

// WithTimeout bounds each call.
func WithTimeout(limit time.Duration) ClientOption {
	return func(c *Client) { c.http.Timeout = limit }
}

// NewClient returns a client of the host at an address.
func NewClient(address spoke.Address, key string, options ...ClientOption) *Client {
	c := &Client{address: address, key: key, http: &http.Client{Timeout: DefaultTimeout}}
	for _, option := range options {
		option(c)
	}
	return c
}

// Address returns the address of the host.
func (c *Client) Address() spoke.Address { return c.address }

// Submit sends a ticket in its JSON form; it may be repeated after an unknown outcome.
func (c *Client) Submit(ctx context.Context, ticket []byte) (spoke.TicketNumber, error) {
	text, err := c.call(ctx, http.MethodPost, pathTickets, nil, ticket)
	if err != nil {
		return 0, err
	}
	return decodeReceipt(text)
}

// Ticket returns an accepted ticket in its JSON form.
func (c *Client) Ticket(ctx context.Context, number spoke.TicketNumber) ([]byte, error) {
	path := pathTickets + "/" + strconv.FormatUint(uint64(number), 10)
	return c.call(ctx, http.MethodGet, path, nil, nil)
}

// Manifest returns the configuration in force on the host in its JSON form.
func (c *Client) Manifest(ctx context.Context) ([]byte, error) {
	return c.call(ctx, http.MethodGet, pathConfig, nil, nil)
}

// Status returns the state of the host and of what it sees.
func (c *Client) Status(ctx context.Context) (spoke.Status, error) {
	text, err := c.StatusJSON(ctx)
	if err != nil {
		return spoke.Status{}, err
	}
	return decodeStatus(text)
}

// StatusText returns the state of the host in its JSON form.
func (c *Client) StatusJSON(ctx context.Context) ([]byte, error) {
	return c.call(ctx, http.MethodGet, pathStatus, nil, nil)
}

// Drain starts the graceful shutdown of the host.
func (c *Client) Drain(ctx context.Context) error {
	_, err := c.call(ctx, http.MethodPost, pathDrain, nil, nil)
	return err
}

// Events returns the events that the host keeps.
func (c *Client) Events(ctx context.Context, filter spoke.EventFilter) (spoke.EventPage, error) {
	text, err := c.call(ctx, http.MethodGet, pathEvents, filterQuery(filter), nil)
	if err != nil {
		return spoke.EventPage{}, err
	}
	return decodePage(text)
}

// Explain returns what the host knows of a request.
func (c *Client) Explain(ctx context.Context, id spoke.RequestID) (spoke.RequestReport, error) {
	text, err := c.call(ctx, http.MethodGet, pathRequests+"/"+url.PathEscape(string(id)), nil, nil)
	if err != nil {
		return spoke.RequestReport{}, err
	}
	return decodeRequest(text)
}

func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte) ([]byte, error) {
	target := "http://" + string(c.address) + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrapf(err, "call %q", target)
	}
	request.Header.Set("Authorization", bearer+c.key)
	request.Header.Set("Content-Type", contentJSON)
	response, err := c.http.Do(request)
	if err != nil {
		return nil, eris.Wrapf(err, "host at %s", c.address)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(http.MaxBytesReader(nil, response.Body, maxAnswer))
	if err != nil {
		return nil, eris.Wrapf(err, "answer of host at %s", c.address)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return nil, c.failure(response.StatusCode, text)
	}
	return text, nil
}

func (c *Client) failure(status int, text []byte) error {
	failure, err := decodeFailure(text)
	if err != nil {
		return eris.Wrapf(err, "host at %s answered %d", c.address, status)
	}
	return eris.Wrapf(failure, "host at %s", c.address)
}

func filterQuery(filter spoke.EventFilter) url.Values {
	query := make(url.Values)
	if filter.Request != "" {
		query.Set(paramRequest, string(filter.Request))
	}
	if filter.Upstream != "" {
		query.Set(paramUpstream, string(filter.Upstream))
	}
	if filter.Ticket != 0 {
		query.Set(paramTicket, strconv.FormatUint(uint64(filter.Ticket), 10))
	}
	if !filter.Since.IsZero() {
		query.Set(paramSince, filter.Since.Format(time.RFC3339Nano))
	}
	if !filter.Until.IsZero() {
		query.Set(paramUntil, filter.Until.Format(time.RFC3339Nano))
	}
	return query
}
