package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/link"
	"magnoliaspoke.example/spoke/place"
)

const (
	// healthTimeout bounds a health request, which needs a slot. The next one is sent after a second.
	healthTimeout = 900 * time.Millisecond
	// maxHealthChecks bounds the health requests that wait to be sent.
	maxHealthChecks = 64
)

// healthChecks sends the health requests that the scheduler asks for.
type healthChecks struct {
	pool    *link.Pool
	codec   spoke.RelayCodec
	timer   spoke.Timer
	metrics *metrics
	log     logrus.FieldLogger
	in      chan place.CheckHealth
	post    func(place.Message)
}

// ask sends a health request, unless too many wait already.
func (c *healthChecks) ask(check place.CheckHealth) {
	select {
	case c.in <- check:
	default:
	}
}

// run sends health requests until ctx ends.
func (c *healthChecks) run(ctx context.Context) error {
	for {
		select {
		case check := <-c.in:
			go c.check(ctx, check)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// check sends one health request and passes on what its response states.
func (c *healthChecks) check(ctx context.Context, check place.CheckHealth) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	c.metrics.addHealthCheck()
	upstream := check.Upstream
	result := place.HealthChecked{Upstream: spoke.UpstreamStart{ID: upstream.ID, Started: upstream.Started.UTC()}, Asked: c.timer.Now()}
	request := c.codec.EncodeHealthRequest(upstream.ID, check.Path)
	answer, err := c.pool.Do(ctx, link.Request{
		Address: upstream.Address, Method: request.Method, Target: request.Target, HostName: string(upstream.Address), Header: request.Header,
	}, func(_ int, header http.Header) bool { return c.codec.IsIdentityAnswer(header) })
	if err != nil {
		if errors.Is(err, spoke.ErrNotRun) && !errors.Is(err, errWayLost) {
			result.IsUnreachable = true
			c.post(result)
		}
		return
	}
	health := c.codec.DecodeHealth(upstream.ID, answer.Status, answer.Header)
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxIdentityBytes))
	if health.IsOther {
		answer.Discard()
	}
	answer.Close(health.IdleTimeout)
	if health.InvalidCold != "" {
		c.log.WithFields(logrus.Fields{"upstream": upstream.ID, "value": health.InvalidCold}).Warn("ignored the cold time that the upstream stated: not a valid time")
	}
	if !health.IsOther {
		result.Left, result.HasResponse = health.ColdLeft, true
		c.post(result)
	}
}

// logCold logs that an upstream counts as cold, or no longer.
func (p *planner) logCold(change place.ColdChanged) {
	text := "upstream is no longer cold"
	if change.IsCold {
		text = "upstream is cold"
		p.metrics.addCold()
	}
	p.log.WithFields(logrus.Fields{
		"upstream": change.Upstream, "cause": change.Cause, "left": change.Left.String(), "share": change.Share,
	}).Info(text)
}
