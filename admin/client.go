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
	// DefaultTimeout bounds a call; the host makes two platform calls to accept a ticket.
	DefaultTimeout = 10 * time.Second
	// maxResponseBytes bounds the memory that one response can take.
	maxResponseBytes = 64 << 20
)

type (
	// ClientOption changes a setting of a Client.
	ClientOption func(*Client)

	// Client calls the administration API of one entry host. Errors that the host reports
	// are *spoke.AdminError and wrap a *check.Report if there are findings.
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

// NewClient returns a client of the host at the given address.
func NewClient(address spoke.Address, key string, options ...ClientOption) *Client {
	c := &Client{address: address, key: key, http: &http.Client{Timeout: DefaultTimeout}}
	for _, option := range options {
		option(c)
	}
	return c
}

// Address returns the address of the host.
func (c *Client) Address() spoke.Address { return c.address }

// Submit sends a ticket in its JSON form; it may be retried after an unknown outcome.
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

// Status returns the state of the host and its view of peers, upstreams, caches and stores.
func (c *Client) Status(ctx context.Context) (spoke.Status, error) {
	text, err := c.StatusJSON(ctx)
	if err != nil {
		return spoke.Status{}, err
	}
	return decodeStatus(text)
}

// StatusJSON returns the result of Status in its JSON form.
func (c *Client) StatusJSON(ctx context.Context) ([]byte, error) {
	return c.call(ctx, http.MethodGet, pathStatus, nil, nil)
}

// Drain starts the graceful shutdown of the host.
func (c *Client) Drain(ctx context.Context) error {
	_, err := c.call(ctx, http.MethodPost, pathDrain, nil, nil)
	return err
}

// Events returns the recorded events of the host that pass the filter.
func (c *Client) Events(ctx context.Context, filter spoke.EventFilter) (spoke.EventPage, error) {
	text, err := c.call(ctx, http.MethodGet, pathEvents, filterQuery(filter), nil)
	if err != nil {
		return spoke.EventPage{}, err
	}
	return decodePage(text)
}

// Explain returns the state and the recorded events of a request on the host.
func (c *Client) Explain(ctx context.Context, id spoke.RequestID) (spoke.RequestReport, error) {
	text, err := c.call(ctx, http.MethodGet, pathRequests+"/"+url.PathEscape(string(id)), nil, nil)
	if err != nil {
		return spoke.RequestReport{}, err
	}
	return decodeRequest(text)
}

func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte) ([]byte, error) {
	requestURL := "http://" + string(c.address) + path
	if len(query) > 0 {
		requestURL += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, requestURL, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrapf(err, "create request to %q", requestURL)
	}
	request.Header.Set("Authorization", bearer+c.key)
	request.Header.Set("Content-Type", contentJSON)
	response, err := c.http.Do(request)
	if err != nil {
		return nil, eris.Wrapf(err, "host at %s", c.address)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(http.MaxBytesReader(nil, response.Body, maxResponseBytes))
	if err != nil {
		return nil, eris.Wrapf(err, "read response of host at %s", c.address)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return nil, c.responseError(response.StatusCode, text)
	}
	return text, nil
}

func (c *Client) responseError(status int, text []byte) error {
	failure, err := decodeFailure(text)
	if err != nil {
		return eris.Wrapf(err, "host at %s: status %d", c.address, status)
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
