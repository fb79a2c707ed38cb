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
	// followPeriod keeps the news of a leaving or dead upstream within a second of its report.
	followPeriod = 250 * time.Millisecond
	// followTimeout bounds one load report.
	followTimeout = time.Second
	// deadAfterFailures tolerates a lost answer before an upstream counts as dead.
	deadAfterFailures = 3
	// plainPeriod is the period of connection checks of plain services.
	plainPeriod = time.Second
)

type (
	// upstreamStatus is what the owner observed of an upstream.
	upstreamStatus struct {
		report spoke.LoadReport
		dead   bool
		known  bool
	}

	// follower polls one owned upstream.
	follower struct {
		upstream spoke.Upstream
		engine   spoke.Engine
		isPlain  bool
		timer    spoke.Timer
		report   func(context.Context, spoke.LoadReport)
		events   spoke.EventSink
		failures int
		status   atomic.Pointer[upstreamStatus]
		cancel   context.CancelFunc
	}
)

// follows reports whether the follower's observations hold for a configured upstream.
func (f *follower) follows(upstream spoke.Upstream) bool {
	return upstream.Address == f.upstream.Address && upstream.Service == f.upstream.Service
}

// overlay replaces what heartbeats say by what the own host saw itself.
func (s upstreamStatus) overlay(load *spoke.LoadSummary) {
	if !s.known {
		return
	}
	load.Dead = s.dead
	load.Draining = s.report.Draining
	if s.report.Versions != nil {
		load.Versions = s.report.Versions
	}
}

func (f *follower) run(ctx context.Context) {
	period := followPeriod
	if f.isPlain {
		period = plainPeriod
	}
	ticks := f.timer.Every(period)
	defer ticks.Stop()
	for {
		f.poll(ctx)
		select {
		case <-ticks.C():
		case <-ctx.Done():
			return
		}
	}
}

func (f *follower) poll(ctx context.Context) {
	pollCtx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	report, err := f.load(pollCtx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		f.failed(err)
		return
	}
	f.failures = 0
	f.store(upstreamStatus{report: report, known: true})
	if !f.isPlain {
		f.report(ctx, report)
	}
}

func (f *follower) load(ctx context.Context) (spoke.LoadReport, error) {
	if !f.isPlain {
		return f.engine.Load(ctx, f.upstream.Address)
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", string(f.upstream.Address))
	if err != nil {
		return spoke.LoadReport{}, eris.Wrapf(errors.Join(spoke.ErrNotRun, err), "connect to upstream %s", f.upstream.ID)
	}
	return spoke.LoadReport{}, conn.Close()
}

// failed counts failures; a refused connection needs no second try.
func (f *follower) failed(err error) {
	f.failures++
	if errors.Is(err, spoke.ErrNotRun) || f.failures >= deadAfterFailures {
		f.markDead(err)
	}
}

func (f *follower) markDead(cause error) {
	last := f.status.Load()
	if last == nil || !last.dead {
		f.events.Record(spoke.Event{Kind: "upstream-dead", Upstream: f.upstream.ID, Detail: cause.Error()})
	}
	next := upstreamStatus{dead: true, known: true}
	if last != nil {
		next.report = last.report
	}
	f.status.Store(&next)
}

func (f *follower) store(next upstreamStatus) {
	last := f.status.Load()
	if last != nil && last.dead {
		f.events.Record(spoke.Event{Kind: "upstream-back", Upstream: f.upstream.ID})
	}
	if next.report.Draining && (last == nil || !last.report.Draining) {
		f.events.Record(spoke.Event{Kind: "upstream-draining", Upstream: f.upstream.ID})
	}
	f.status.Store(&next)
}
