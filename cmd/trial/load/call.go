package load

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

type (
	// Call is a call of a plain service.
	Call struct {
		Key            string
		Service        spoke.ServiceName
		Method         string
		Path           string
		Body           string
		IdempotencyKey spoke.IdempotencyKey
	}

	// Reply is the answer to a call.
	Reply struct {
		Total     time.Duration
		Status    int
		Body      string
		Replayed  bool
		RequestID spoke.RequestID
		// Refusal is set if the status is an error and the entry host gave it.
		Refusal *spoke.Refusal
		// Err is set if no whole answer came.
		Err error
	}
)

// Call makes a call and reads its whole answer.
func (c *Caller) Call(ctx context.Context, call Call) Reply {
	started := time.Now()
	req, err := http.NewRequestWithContext(ctx, call.Method, c.base+"/services/"+string(call.Service)+call.Path, strings.NewReader(call.Body))
	if err != nil {
		return Reply{Err: eris.Wrap(err, "request")}
	}
	req.Header.Set("Authorization", "Bearer "+call.Key)
	if call.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", string(call.IdempotencyKey))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Reply{Err: eris.Wrap(err, "send call")}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxFailure))
	reply := Reply{
		Total: time.Since(started), Status: resp.StatusCode, Body: string(body), Err: err,
		Replayed:  resp.Header.Get("X-Spoke-Replayed") == "true",
		RequestID: spoke.RequestID(resp.Header.Get("X-Request-Id")),
	}
	if resp.StatusCode >= http.StatusBadRequest && err == nil {
		reply.Refusal, _ = decodeFailure(body)
	}
	return reply
}
