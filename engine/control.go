package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/dial"
)

const (
	// maxResponseSize bounds the responses of control calls, in bytes; a snapshot of 100,000 keys
	// has 7 MB.
	maxResponseSize = 16 << 20
	// importTimeShare is the share of the remaining time that the engine may use for an import,
	// so that its response with the imported blocks arrives before the context ends.
	importTimeShare = 0.8
)

// Cancel ends an attempt; an unknown attempt is not an error.
func (c *Client) Cancel(ctx context.Context, addr spoke.Address, attempt spoke.AttemptID) error {
	return c.call(ctx, addr, http.MethodPost, "/cancel", cancelBody{Attempt: attempt}, nil)
}

// Load reads the engine's load report.
func (c *Client) Load(ctx context.Context, addr spoke.Address) (spoke.LoadReport, error) {
	var body loadBody
	if err := c.call(ctx, addr, http.MethodGet, "/load", nil, &body); err != nil {
		return spoke.LoadReport{}, err
	}
	return spoke.LoadReport(body), nil
}

// CacheEvents reads the events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, addr spoke.Address, after spoke.Sequence) (spoke.CacheEventBatch, error) {
	var body eventsBody
	path := "/cache-events?after=" + strconv.FormatUint(uint64(after), 10)
	if err := c.call(ctx, addr, http.MethodGet, path, nil, &body); err != nil {
		return spoke.CacheEventBatch{}, err
	}
	return body.batch()
}

// CacheSnapshot reads the keys of all blocks in the engine's prefix cache.
func (c *Client) CacheSnapshot(ctx context.Context, addr spoke.Address) (spoke.CacheSnapshot, error) {
	var body snapshotBody
	if err := c.call(ctx, addr, http.MethodGet, "/cache-snapshot", nil, &body); err != nil {
		return spoke.CacheSnapshot{}, err
	}
	keys, err := decodeKeys(body.Keys)
	return spoke.CacheSnapshot{AsOf: body.AsOf, Keys: keys}, err
}

// Import makes the engine pull blocks until shortly before the context's deadline. Blocks that
// the response does not list as imported are returned as rejected.
func (c *Client) Import(ctx context.Context, addr spoke.Address, blocks []spoke.BlockImport) (spoke.ImportResult, error) {
	var body importResponse
	request := encodeImport(blocks)
	if deadline, ok := ctx.Deadline(); ok {
		remaining := deadline.Sub(c.clock.Now())
		request.Limit = max(1, int64(importTimeShare*float64(remaining.Milliseconds())))
	}
	if err := c.call(ctx, addr, http.MethodPost, "/cache-import", request, &body); err != nil {
		return spoke.ImportResult{}, err
	}
	imported, err := decodeKeys(body.Imported)
	if err != nil {
		return spoke.ImportResult{}, err
	}
	isImported := make(map[spoke.BlockKey]bool, len(imported))
	for _, key := range imported {
		isImported[key] = true
	}
	var result spoke.ImportResult
	for _, block := range blocks {
		if isImported[block.Key] {
			result.Imported = append(result.Imported, block.Key)
		} else {
			result.Rejected = append(result.Rejected, block.Key)
		}
	}
	return result, nil
}

// Export makes the engine push blocks to store hosts; the error names the first block that was
// not stored.
func (c *Client) Export(ctx context.Context, addr spoke.Address, blocks []spoke.BlockExport) error {
	var body exportResponse
	if err := c.call(ctx, addr, http.MethodPost, "/cache-export", encodeExport(blocks), &body); err != nil {
		return err
	}
	if len(body.Failed) > 0 {
		return eris.Errorf("engine %s did not export %d of %d blocks, first %s",
			addr, len(body.Failed), len(blocks), body.Failed[0])
	}
	return nil
}

// Order sends a fenced command to an engine.
func (c *Client) Order(ctx context.Context, addr spoke.Address, order spoke.Order) error {
	return c.call(ctx, addr, http.MethodPost, "/orders", encodeOrder(order), nil)
}

// call makes one control call and decodes the response into result; if result is nil, the
// response body is discarded.
func (c *Client) call(ctx context.Context, addr spoke.Address, method, path string, body, result any) error {
	var payload io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return eris.Wrapf(err, "encode %s", path)
		}
		payload = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+string(addr)+path, payload)
	if err != nil {
		return eris.Wrapf(err, "engine address %q", addr)
	}
	started := c.clock.Now()
	response, err := c.pool(addr).control.RoundTrip(request)
	if err != nil {
		c.resetPoolIfUnresponsive(addr, started)
		err = eris.Wrapf(err, "%s %s at engine %s", method, path, addr)
		// A failed dial proves that the call was not made; any other error may come from a
		// slow engine.
		if dial.Failed(err) {
			return notRun(err, nil)
		}
		return err
	}
	defer response.Body.Close()
	if response.StatusCode < http.StatusOK || response.StatusCode >= http.StatusMultipleChoices {
		return responseError(addr, response)
	}
	return eris.Wrapf(decodeWhole(response.Body, result), "answer of engine %s to %s", addr, path)
}

// decodeWhole reads a body to its end, since a value may be whole in a body that was cut, and decodes it into result
// unless that is nil.
func decodeWhole(body io.Reader, result any) error {
	limited := io.LimitReader(body, maxResponseSize)
	if result == nil {
		_, err := io.Copy(io.Discard, limited)
		return err
	}
	content, err := io.ReadAll(limited)
	if err != nil {
		return err
	}
	return json.Unmarshal(content, result)
}
