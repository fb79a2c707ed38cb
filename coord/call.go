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
	// maxAnswer bounds a read answer; a list may hold many values of up to 1 MB.
	maxAnswer = 64 << 20
)

type call struct {
	method string
	path   string
	body   any
	// extra extends the timeout for calls that wait at the service.
	extra time.Duration
}

// do makes a call and returns status and body; errors match ErrUnavailable
// if the call certainly had no effect, else ErrAnswerLost.
func (c *Client) do(ctx context.Context, call call) (int, []byte, error) {
	if ctx.Err() != nil {
		return 0, nil, eris.Wrapf(spoke.ErrUnavailable, "%s %s not sent: %v", call.method, call.path, ctx.Err())
	}
	data, err := call.encode()
	if err != nil {
		return 0, nil, eris.Wrapf(err, "body of %s %s", call.method, call.path)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout+call.extra)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.method, c.base+call.path, bytes.NewReader(data))
	if err != nil {
		return 0, nil, eris.Wrapf(err, "request %s %s", call.method, call.path)
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := c.http.Do(request)
	if err != nil {
		// Connections that were opened together often go silent together; the next call dials anew.
		c.http.CloseIdleConnections()
		return 0, nil, failure(call, err)
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return 0, nil, eris.Wrapf(spoke.ErrAnswerLost, "%s %s: %v", call.method, call.path, err)
	}
	return answer.StatusCode, content, statusFailure(call, answer.StatusCode, content)
}

func (c call) encode() ([]byte, error) {
	if c.body == nil {
		return nil, nil
	}
	return json.Marshal(c.body)
}

// failure treats only a failed dial as certainly without effect.
func failure(call call, err error) error {
	if dial.Failed(err) {
		return eris.Wrapf(spoke.ErrUnavailable, "%s %s: %v", call.method, call.path, err)
	}
	return eris.Wrapf(spoke.ErrAnswerLost, "%s %s: %v", call.method, call.path, err)
}

// statusFailure leaves 404 and 409 to the caller, for which they are answers.
func statusFailure(call call, status int, content []byte) error {
	switch {
	case status < http.StatusBadRequest, status == http.StatusNotFound, status == http.StatusConflict:
		return nil
	case status == http.StatusServiceUnavailable, status < http.StatusInternalServerError:
		return eris.Wrapf(spoke.ErrUnavailable, "%s %s: status %d: %.200s", call.method, call.path, status, content)
	default:
		return eris.Wrapf(spoke.ErrAnswerLost, "%s %s: status %d: %.200s", call.method, call.path, status, content)
	}
}

// readFailure turns a lost answer of a read into unavailability, since a read has no effect.
func readFailure(err error) error {
	if errors.Is(err, spoke.ErrAnswerLost) {
		return eris.Wrapf(spoke.ErrUnavailable, "read: %v", err)
	}
	return err
}

// decode reads the answer of a call that may have had an effect.
func decode(call call, content []byte, into any) error {
	if err := json.Unmarshal(content, into); err != nil {
		return eris.Wrapf(spoke.ErrAnswerLost, "%s %s: answer %.200q: %v", call.method, call.path, content, err)
	}
	return nil
}
