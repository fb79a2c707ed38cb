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
	// maxAnswer bounds the answers of control calls; a snapshot of 100,000 keys has 7 MB.
	maxAnswer = 16 << 20
	// importShare is the share of the remaining time that the engine gets for an import, so that
	// its answer about what it holds arrives before the context ends.
	importShare = 0.8
)

// Cancel ends an attempt; an unknown attempt is no error.
func (c *Client) Cancel(ctx context.Context, at spoke.Address, attempt spoke.AttemptID) error {
	return c.call(ctx, at, http.MethodPost, "/cancel", cancelBody{Attempt: attempt}, nil)
}

// Load reads the engine's load report.
func (c *Client) Load(ctx context.Context, at spoke.Address) (spoke.LoadReport, error) {
	var body loadBody
	if err := c.call(ctx, at, http.MethodGet, "/load", nil, &body); err != nil {
		return spoke.LoadReport{}, err
	}
	return spoke.LoadReport(body), nil
}

// CacheEvents reads the events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, at spoke.Address, after spoke.Sequence) (spoke.CacheEventBatch, error) {
	var body eventsBody
	path := "/cache-events?after=" + strconv.FormatUint(uint64(after), 10)
	if err := c.call(ctx, at, http.MethodGet, path, nil, &body); err != nil {
		return spoke.CacheEventBatch{}, err
	}
	return body.batch()
}

// CacheSnapshot reads the whole content of the prefix cache.
func (c *Client) CacheSnapshot(ctx context.Context, at spoke.Address) (spoke.CacheSnapshot, error) {
	var body snapshotBody
	if err := c.call(ctx, at, http.MethodGet, "/cache-snapshot", nil, &body); err != nil {
		return spoke.CacheSnapshot{}, err
	}
	keys, err := decodeKeys(body.Keys)
	return spoke.CacheSnapshot{AsOf: body.AsOf, Keys: keys}, err
}

// Import makes the engine pull blocks until shortly before the context's deadline; blocks that
// the answer does not name are rejected.
func (c *Client) Import(ctx context.Context, at spoke.Address, blocks []spoke.BlockImport) (spoke.ImportResult, error) {
	var body importAnswer
	request := encodeImport(blocks)
	if deadline, ok := ctx.Deadline(); ok {
		remaining := deadline.Sub(c.clock.Now())
		request.Limit = max(1, int64(importShare*float64(remaining.Milliseconds())))
	}
	if err := c.call(ctx, at, http.MethodPost, "/cache-import", request, &body); err != nil {
		return spoke.ImportResult{}, err
	}
	imported, err := decodeKeys(body.Imported)
	if err != nil {
		return spoke.ImportResult{}, err
	}
	taken := make(map[spoke.BlockKey]bool, len(imported))
	for _, key := range imported {
		taken[key] = true
	}
	var result spoke.ImportResult
	for _, block := range blocks {
		if taken[block.Key] {
			result.Imported = append(result.Imported, block.Key)
		} else {
			result.Rejected = append(result.Rejected, block.Key)
		}
	}
	return result, nil
}

// Export makes the engine push blocks; the error names the first block that was not stored.
func (c *Client) Export(ctx context.Context, at spoke.Address, blocks []spoke.BlockExport) error {
	var body exportAnswer
	if err := c.call(ctx, at, http.MethodPost, "/cache-export", encodeExport(blocks), &body); err != nil {
		return err
	}
	if len(body.Failed) > 0 {
		return eris.Errorf("engine %s did not export %d of %d blocks, first %s",
			at, len(body.Failed), len(blocks), body.Failed[0])
	}
	return nil
}

// Order gives a fenced command.
func (c *Client) Order(ctx context.Context, at spoke.Address, order spoke.Order) error {
	return c.call(ctx, at, http.MethodPost, "/orders", encodeOrder(order), nil)
}

// call makes one control call; a nil answer discards the body.
func (c *Client) call(ctx context.Context, at spoke.Address, method, path string, body, answer any) error {
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
		return eris.Wrapf(err, "engine address %q", at)
	}
	started := c.clock.Now()
	response, err := c.pool(at).control.RoundTrip(request)
	if err != nil {
		c.doubtPool(at, started)
		err = eris.Wrapf(err, "%s %s at engine %s", method, path, at)
		// A refused address is told from an engine that is slow to answer.
		if dial.Failed(err) {
			return notRun(err, nil)
		}
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return refusalOf(at, response)
	}
	limited := io.LimitReader(response.Body, maxAnswer)
	if answer == nil {
		_, err = io.Copy(io.Discard, limited)
	} else {
		err = json.NewDecoder(limited).Decode(answer)
	}
	return eris.Wrapf(err, "answer of engine %s to %s", at, path)
}
