package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// interimResponse makes the connection of a caller that has closed it answer with a reset; one that has
	// only closed its sending side skips it.
	interimResponse = "HTTP/1.1 102 Processing\r\n\r\n"
	// resetCheckInterval is the interval at which a connection is checked for a reset after the end of
	// the caller's bytes.
	resetCheckInterval = 25 * time.Millisecond
)

var (
	// probeDelays are the pauses between interim responses. A proxy between this host and a caller that has left
	// forwards the reset only when it writes to the caller a second time.
	probeDelays = []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond}

	errClosedOldVersion = errors.New("end of the bytes of a caller whose version of HTTP has no interim responses")
	errTimeOver         = errors.New("end of the bytes of a caller whose time is over")
)

// Watch returns a context that ends when the caller of a request that was read whole has left; a caller
// that has only closed its sending side has not, unless its bytes ended at a time at which isOver reports
// that it waits no longer. The returned function ends the watch before the handler returns.
func Watch(r *http.Request, isOver func(at time.Time) bool) (context.Context, func()) {
	c := connOf(r.Context())
	if c == nil {
		return context.WithCancel(r.Context())
	}
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(r.Context()))
	c.allowProbes(r.ProtoAtLeast(1, 1))
	stop := context.AfterFunc(r.Context(), func() {
		err := c.endedAfter(isOver)
		if err == nil {
			err = c.awaitLoss(ctx, r.ProtoAtLeast(1, 1))
		}
		if err != nil {
			cancel(err)
		}
	})
	return ctx, func() {
		stop()
		c.allowProbes(false)
		cancel(nil)
	}
}

// endedAfter returns an error if the caller's bytes ended when its time was over. Interim responses and what answers
// them wait in the queue of a full link, so that the engine would work on for a caller that has left.
func (c *conn) endedAfter(isOver func(at time.Time) bool) error {
	if at := c.endedAt.Load(); at != nil && isOver(*at) {
		return errTimeOver
	}
	return nil
}

// awaitLoss returns the error that shows that the caller has left, nil if ctx ends first.
func (c *conn) awaitLoss(ctx context.Context, takesInterim bool) error {
	if err := load(&c.readErr); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	if !takesInterim {
		return errClosedOldVersion
	}
	check := time.NewTicker(resetCheckInterval)
	defer check.Stop()
	c.probe()
	nextProbe, delays := time.After(probeDelays[0]), probeDelays[1:]
	for {
		if err := c.loss(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-check.C:
		case <-nextProbe:
			c.probe()
			nextProbe = nil
			if len(delays) > 0 {
				nextProbe, delays = time.After(delays[0]), delays[1:]
			}
		}
	}
}

// probe writes an interim response, unless the answer has begun.
func (c *conn) probe() {
	c.writing.Lock()
	defer c.writing.Unlock()
	if !c.mayProbe {
		return
	}
	_, err := io.WriteString(c.Conn, interimResponse)
	record(&c.writeErr, err)
}

// allowProbes sets whether interim responses may be written from now on until the answer begins.
func (c *conn) allowProbes(mayProbe bool) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.mayProbe = mayProbe
}

// loss returns the error that shows that the connection is lost in both directions.
func (c *conn) loss() error {
	if err := load(&c.writeErr); err != nil {
		return err
	}
	record(&c.writeErr, c.pendingError())
	return load(&c.writeErr)
}
