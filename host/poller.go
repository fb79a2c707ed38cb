package host

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

const (
	// pollPeriod is short enough to detect within a second that an upstream drains or refuses
	// connections.
	pollPeriod = 250 * time.Millisecond
	// pollTimeout bounds one load request or connection check.
	pollTimeout = time.Second
	// deadAfterFailures is the number of consecutive failures after which an upstream counts as
	// dead, so that a single lost response is tolerated.
	deadAfterFailures = 3
	// plainCheckPeriod is the period of connection checks of plain services.
	plainCheckPeriod = time.Second
)

type (
	// upstreamStatus is what the owner observed of an upstream.
	upstreamStatus struct {
		report spoke.LoadReport
		dead   bool
		known  bool
	}

	// poller polls one owned upstream.
	poller struct {
		upstream spoke.Upstream
		engine   spoke.Engine
		isPlain  bool
		timer    spoke.Timer
		report   func(context.Context, spoke.LoadReport)
		events   spoke.EventSink
		failures int
		clock    engineClock
		status   atomic.Pointer[upstreamStatus]
		cancel   context.CancelFunc
	}
)

// matches reports whether the poller's observations apply to a configured upstream.
func (p *poller) matches(upstream spoke.Upstream) bool {
	return upstream.Address == p.upstream.Address && upstream.Service == p.upstream.Service
}

// applyTo overwrites the values of load that this host observes itself.
func (s upstreamStatus) applyTo(load *spoke.LoadSummary) {
	if !s.known {
		return
	}
	load.Dead = s.dead
	load.Draining = s.report.Draining
	if s.report.Versions != nil {
		load.Versions = s.report.Versions
	}
}

func (p *poller) run(ctx context.Context) {
	period := pollPeriod
	if p.isPlain {
		period = plainCheckPeriod
	}
	ticks := p.timer.Every(period)
	defer ticks.Stop()
	for {
		p.poll(ctx)
		select {
		case <-ticks.C():
		case <-ctx.Done():
			return
		}
	}
}

func (p *poller) poll(ctx context.Context) {
	pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	asked := p.timer.Now()
	report, err := p.load(pollCtx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		p.recordFailure(err)
		return
	}
	p.failures = 0
	report.AsOf = p.clock.toLocal(asked, report.AsOf)
	p.recordSuccess(upstreamStatus{report: report, known: true})
	if !p.isPlain {
		p.report(ctx, report)
	}
}

func (p *poller) load(ctx context.Context) (spoke.LoadReport, error) {
	if !p.isPlain {
		return p.engine.Load(ctx, p.upstream.Address)
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", string(p.upstream.Address))
	if err != nil {
		return spoke.LoadReport{}, eris.Wrapf(errors.Join(spoke.ErrNotRun, err), "connect to upstream %s", p.upstream.ID)
	}
	return spoke.LoadReport{}, conn.Close()
}

// recordFailure counts failures; after a refused connection the upstream is dead at once.
func (p *poller) recordFailure(err error) {
	p.failures++
	if errors.Is(err, spoke.ErrNotRun) || p.failures >= deadAfterFailures {
		p.markDead(err)
	}
}

func (p *poller) markDead(cause error) {
	last := p.status.Load()
	if last == nil || !last.dead {
		p.events.Record(spoke.Event{Kind: "upstream-dead", Upstream: p.upstream.ID, Detail: cause.Error()})
	}
	next := upstreamStatus{dead: true, known: true}
	if last != nil {
		next.report = last.report
	}
	p.status.Store(&next)
}

func (p *poller) recordSuccess(next upstreamStatus) {
	last := p.status.Load()
	if last != nil && last.dead {
		p.events.Record(spoke.Event{Kind: "upstream-back", Upstream: p.upstream.ID})
	}
	if next.report.Draining && (last == nil || !last.report.Draining) {
		p.events.Record(spoke.Event{Kind: "upstream-draining", Upstream: p.upstream.ID})
	}
	p.status.Store(&next)
}
