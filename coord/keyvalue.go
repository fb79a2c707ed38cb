package coord

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

// Get returns the value and revision of a key or ErrKeyMissing.
func (c *Client) Get(ctx context.Context, key string) (spoke.KeyValuePair, error) {
	get := call{method: http.MethodGet, path: keyPath(key)}
	status, content, err := c.do(ctx, get)
	if err != nil {
		return spoke.KeyValuePair{}, readError(err)
	}
	if status == http.StatusNotFound {
		return spoke.KeyValuePair{}, eris.Wrapf(spoke.ErrKeyMissing, "get %q", key)
	}
	var body pairBody
	if err := decode(get, content, &body); err != nil {
		return spoke.KeyValuePair{}, readError(err)
	}
	return body.pair(), nil
}

// List returns all keys with a prefix, sorted by key.
func (c *Client) List(ctx context.Context, prefix string) ([]spoke.KeyValuePair, error) {
	pairs, _, err := c.readPairs(ctx, call{
		method: http.MethodGet,
		path:   "/kv?" + url.Values{"prefix": {prefix}}.Encode(),
	})
	return pairs, err
}

// CompareAndSwap writes a value if the key has the expected revision (zero: absent) and
// returns the new revision; it fails with ErrConflict on a mismatch. A ttl of zero means no
// expiry.
func (c *Client) CompareAndSwap(
	ctx context.Context, key string, value []byte, expected spoke.Revision, ttl time.Duration,
) (spoke.Revision, error) {
	put := call{
		method: http.MethodPut,
		path:   keyPath(key),
		body:   putBody{Value: value, Expected: uint64(expected), TTL: milliseconds(ttl)},
	}
	status, content, err := c.do(ctx, put)
	if err != nil {
		return 0, err
	}
	if status == http.StatusConflict {
		return 0, eris.Wrapf(spoke.ErrConflict, "put %q at revision %d", key, expected)
	}
	var body revisionBody
	if err := decode(put, content, &body); err != nil {
		return 0, err
	}
	return spoke.Revision(body.Revision), nil
}

// Watch waits up to the given time for changes after a revision and returns them with the
// latest revision that the service reports.
func (c *Client) Watch(
	ctx context.Context, prefix string, after spoke.Revision, wait time.Duration,
) ([]spoke.KeyValuePair, spoke.Revision, error) {
	query := url.Values{
		"prefix":     {prefix},
		"after":      {strconv.FormatUint(uint64(after), 10)},
		"timeout-ms": {strconv.FormatInt(milliseconds(wait), 10)},
	}
	return c.readPairs(ctx, call{method: http.MethodGet, path: "/watch?" + query.Encode(), serverWait: wait})
}

// Hosts returns the platform's list of hosts.
func (c *Client) Hosts(ctx context.Context) ([]spoke.ListedHost, error) {
	list := call{method: http.MethodGet, path: "/hosts"}
	_, content, err := c.do(ctx, list)
	if err != nil {
		return nil, readError(err)
	}
	var body hostsBody
	if err := decode(list, content, &body); err != nil {
		return nil, readError(err)
	}
	hosts := make([]spoke.ListedHost, 0, len(body.Hosts))
	for _, host := range body.Hosts {
		hosts = append(hosts, host.host())
	}
	return hosts, nil
}

func (c *Client) readPairs(ctx context.Context, read call) ([]spoke.KeyValuePair, spoke.Revision, error) {
	_, content, err := c.do(ctx, read)
	if err != nil {
		return nil, 0, readError(err)
	}
	var body pairsBody
	if err := decode(read, content, &body); err != nil {
		return nil, 0, readError(err)
	}
	return body.pairs(), spoke.Revision(body.Revision), nil
}

func keyPath(key string) string { return "/kv/" + url.PathEscape(key) }

// milliseconds rounds up, so that a positive duration below 1 ms does not become zero.
func milliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
