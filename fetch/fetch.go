package fetch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

// ErrNoProgress reports that nothing of a response arrived for the allowed time, beside a time in which this process
// stood still.
var ErrNoProgress = eris.New("response makes no progress")

type (
	// Limits bound a call.
	Limits struct {
		// Head is the maximum time until the head of the response has arrived.
		Head time.Duration
		// Idle is the maximum time between two parts of the body.
		Idle time.Duration
		// Body is the size after which the rest of the body is left out.
		Body spoke.ByteSize
	}

	// Response is a response with its whole body.
	Response struct {
		Status int
		Header http.Header
		Body   []byte
	}
)

// Do sends a request and returns the response. Once end is closed, the call ends with an error unless the
// response has begun; end may be nil. The error of a call without progress matches ErrNoProgress; dial.Failed can
// examine all errors.
func Do(client *http.Client, request *http.Request, limits Limits, end <-chan struct{}) (Response, error) {
	ctx, cancel := context.WithCancelCause(request.Context())
	defer cancel(nil)
	progress := newProgressTimer(limits.Head, cancel)
	defer progress.stop()
	hasBegun := make(chan struct{})
	go func() {
		select {
		case <-end:
			select {
			case <-hasBegun:
			default:
				cancel(context.Canceled)
			}
		case <-hasBegun:
		case <-ctx.Done():
		}
	}()
	response, err := client.Do(request.WithContext(ctx))
	close(hasBegun)
	if err != nil {
		return Response{}, withCause(ctx, err)
	}
	defer response.Body.Close()
	progress.allow(limits.Idle)
	body, err := io.ReadAll(&progressReader{io.LimitReader(response.Body, int64(limits.Body)), progress, limits.Idle})
	received := Response{Status: response.StatusCode, Header: response.Header, Body: body}
	return received, eris.Wrapf(withCause(ctx, err), "response ended after %d bytes", len(body))
}

// withCause names the lack of progress where it has ended the call.
func withCause(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), ErrNoProgress) {
		return errors.Join(ErrNoProgress, err)
	}
	return err
}
