package coord

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/dial"
)

const (
	// maxResponseBytes bounds a response body; a list may hold many values of up to 1 MB.
	maxResponseBytes = 64 << 20
)

type call struct {
	method string
	path   string
	body   any
	// serverWait extends the timeout of a call that waits at the service.
	serverWait time.Duration
}

// do makes a call and returns the status and body of the response. Errors match
// ErrUnavailable if the call certainly had no effect, else ErrAnswerLost.
func (c *Client) do(ctx context.Context, call call) (int, []byte, error) {
	if ctx.Err() != nil {
		return 0, nil, eris.Wrapf(spoke.ErrUnavailable, "%s %s not sent: %v", call.method, call.path, ctx.Err())
	}
	data, err := call.encode()
	if err != nil {
		return 0, nil, eris.Wrapf(err, "body of %s %s", call.method, call.path)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout+call.serverWait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.method, c.base+call.path, bytes.NewReader(data))
	if err != nil {
		return 0, nil, eris.Wrapf(err, "request %s %s", call.method, call.path)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		// Connections that were opened together often stall together. Closing the idle ones
		// makes the next call dial a new connection.
		c.http.CloseIdleConnections()
		return 0, nil, transportError(call, err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, eris.Wrapf(spoke.ErrAnswerLost, "%s %s: %v", call.method, call.path, err)
	}
	return response.StatusCode, content, statusError(call, response.StatusCode, content)
}

func (c call) encode() ([]byte, error) {
	if c.body == nil {
		return nil, nil
	}
	return json.Marshal(c.body)
}

// transportError classifies an error of the transport. Only a failed dial certainly had no
// effect.
func transportError(call call, err error) error {
	if dial.Failed(err) {
		return eris.Wrapf(spoke.ErrUnavailable, "%s %s: %v", call.method, call.path, err)
	}
	return eris.Wrapf(spoke.ErrAnswerLost, "%s %s: %v", call.method, call.path, err)
}

// statusError classifies an error status. It returns no error for 404 and 409, which are
// results that the caller handles.
func statusError(call call, status int, content []byte) error {
	switch {
	case status >= http.StatusOK && status < http.StatusBadRequest, status == http.StatusNotFound, status == http.StatusConflict:
		return nil
	case status == http.StatusServiceUnavailable, status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return eris.Wrapf(spoke.ErrUnavailable, "%s %s: status %d: %.200s", call.method, call.path, status, content)
	default:
		return eris.Wrapf(spoke.ErrAnswerLost, "%s %s: status %d: %.200s", call.method, call.path, status, content)
	}
}

// readError replaces ErrAnswerLost by ErrUnavailable, since a read has no effect.
func readError(err error) error {
	if errors.Is(err, spoke.ErrAnswerLost) {
		return eris.Wrapf(spoke.ErrUnavailable, "read: %v", err)
	}
	return err
}

// decode parses a response body. An invalid body counts as a lost response, because the
// call may have had an effect.
func decode(call call, content []byte, target any) error {
	if err := json.Unmarshal(content, target); err != nil {
		return eris.Wrapf(spoke.ErrAnswerLost, "%s %s: answer %.200q: %v", call.method, call.path, content, err)
	}
	return nil
}
