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
	// poolResetThreshold is the time without data from an engine after which a cancelled wait
	// closes the idle connections to it: a failure of the network path affects all of them, and
	// new connections may work.
	poolResetThreshold = time.Second
	// deathProbes and deathProbeInterval cover the time that a crashing process takes to exit.
	// They delay the resumption of a broken stream of a running engine by the same time.
	deathProbes        = 4
	deathProbeInterval = 25 * time.Millisecond
)

// Run starts an attempt and returns when the engine has admitted it. The context applies to the
// whole stream. Errors match ErrNotRun only if no connection was obtained or the engine refused
// the run.
func (c *Client) Run(ctx context.Context, addr spoke.Address, spec spoke.RunSpec) (spoke.RunStream, error) {
	data, err := json.Marshal(encodeRun(spec))
	if err != nil {
		return nil, notRun(eris.Wrap(err, "encode run"), nil)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	var gotConn, isReused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		gotConn.Store(true)
		isReused.Store(info.Reused)
	}}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost,
		"http://"+string(addr)+"/v1/completions", bytes.NewReader(data))
	if err != nil {
		cancel(nil)
		return nil, notRun(eris.Wrapf(err, "engine address %q", addr), nil)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", "text/event-stream")
	started := c.clock.Now()
	response, err := c.pool(addr).streams.RoundTrip(request)
	if err != nil {
		err = c.startError(ctx, addr, spec.Attempt, started, gotConn.Load(), err)
		cancel(nil)
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer cancel(nil)
		defer response.Body.Close()
		err := refusalError(addr, response, spec.Attempt, isReused.Load())
		if errors.Is(err, spoke.ErrIncomplete) {
			c.cancelAsync(addr, spec.Attempt)
		}
		return nil, err
	}
	return newStream(ctx, cancel, c, addr, spec, response), nil
}

// startError classifies a failure before the engine's response began.
func (c *Client) startError(ctx context.Context, addr spoke.Address, attempt spoke.AttemptID, started time.Time, gotConn bool, cause error) error {
	if ctxCause := context.Cause(ctx); ctxCause != nil {
		cause = ctxCause
	}
	cause = eris.Wrapf(cause, "run at engine %s", addr)
	if !gotConn {
		return notRun(cause, nil)
	}
	if ctx.Err() != nil {
		c.cancelAsync(addr, attempt)
		c.resetPoolIfUnresponsive(addr, started)
		return cause
	}
	return c.connectionError(ctx, addr, cause)
}

// connectionError classifies a connection that broke after the request may have been sent.
func (c *Client) connectionError(ctx context.Context, addr spoke.Address, cause error) error {
	if c.hasDied(ctx, addr) {
		return errors.Join(spoke.ErrIncomplete, spoke.ErrUpstreamDied, cause)
	}
	return errors.Join(spoke.ErrIncomplete, cause)
}

// hasDied reports whether a new connection to the engine fails. It probes several times, because
// the listener of a crashing process may close slightly later than its streams.
func (c *Client) hasDied(ctx context.Context, addr spoke.Address) bool {
	ticker := c.clock.Every(deathProbeInterval)
	defer ticker.Stop()
	for range deathProbes {
		if !c.isReachable(ctx, addr) {
			return ctx.Err() == nil
		}
		select {
		case <-ticker.C():
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// resetPoolIfUnresponsive closes the idle connections to an engine if at least
// poolResetThreshold has passed since the given time.
func (c *Client) resetPoolIfUnresponsive(addr spoke.Address, since time.Time) {
	if c.clock.Now().Sub(since) >= poolResetThreshold {
		c.pool(addr).close()
	}
}
