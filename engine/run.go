package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

const (
	// silenceLimit is the silence after which a cancelled wait makes pooled connections to the
	// same engine doubtful: a fault of the path hits them all, and new ones may work.
	silenceLimit = time.Second
	// deathTries and deathPause cover the time that a crashing process takes to end; a broken
	// stream of a living engine is resumed that much later.
	deathTries = 4
	deathPause = 25 * time.Millisecond
)

// Run starts an attempt and returns when the engine has admitted it. The context governs the
// whole stream. Errors match ErrNotRun only if no connection was made or the engine refused.
func (c *Client) Run(ctx context.Context, at spoke.Address, spec spoke.RunSpec) (spoke.RunStream, error) {
	data, err := json.Marshal(encodeRun(spec))
	if err != nil {
		return nil, notRun(eris.Wrap(err, "encode run"), nil)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost,
		"http://"+string(at)+"/v1/completions", bytes.NewReader(data))
	if err != nil {
		cancel(nil)
		return nil, notRun(eris.Wrapf(err, "engine address %q", at), nil)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", "text/event-stream")
	started := c.clock.Now()
	answer, err := c.pool(at).streams.RoundTrip(request)
	if err != nil {
		err = c.startError(ctx, at, spec.Attempt, started, sent.Load(), err)
		cancel(nil)
		return nil, err
	}
	if answer.StatusCode != http.StatusOK {
		defer cancel(nil)
		defer answer.Body.Close()
		return nil, refusalOf(at, answer)
	}
	return newStream(ctx, cancel, c, at, spec, answer), nil
}

// startError classifies a failure before the engine's answer began.
func (c *Client) startError(ctx context.Context, at spoke.Address, attempt spoke.AttemptID, started time.Time, sent bool, cause error) error {
	if ended := context.Cause(ctx); ended != nil {
		cause = ended
	}
	cause = eris.Wrapf(cause, "run at engine %s", at)
	if !sent {
		return notRun(cause, nil)
	}
	if ctx.Err() != nil {
		c.cancelLater(at, attempt)
		c.doubtPool(at, started)
		return cause
	}
	return c.brokenError(ctx, at, cause)
}

// brokenError classifies a connection that broke after the request may have been sent.
func (c *Client) brokenError(ctx context.Context, at spoke.Address, cause error) error {
	if c.hasDied(ctx, at) {
		return errors.Join(spoke.ErrIncomplete, spoke.ErrUpstreamDied, cause)
	}
	return errors.Join(spoke.ErrIncomplete, cause)
}

// hasDied tries several connections, because the listener of a dying process may outlive its
// streams for a moment.
func (c *Client) hasDied(ctx context.Context, at spoke.Address) bool {
	pause := c.clock.Every(deathPause)
	defer pause.Stop()
	for range deathTries {
		if !c.isReachable(ctx, at) {
			return ctx.Err() == nil
		}
		select {
		case <-pause.C():
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// doubtPool drops pooled connections to an engine that has been silent since a time.
func (c *Client) doubtPool(at spoke.Address, since time.Time) {
	if c.clock.Now().Sub(since) >= silenceLimit {
		c.pool(at).close()
	}
}
