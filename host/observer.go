package host

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliaspoke.example/spoke"
)

const (
	// swapReportPeriod is the period of load reports from the engines of a service in which
	// versions differ, and idleReportPeriod that of all others: with 600 engines, a report from
	// each every few seconds would give the lease holder more traffic than other hosts.
	swapReportPeriod = time.Second
	idleReportPeriod = time.Minute
	// maxParallelReads bounds the reports read at the same time, maxReadsPerTick those of one
	// tick, and reportTimeout the time of all reads of one tick.
	maxParallelReads = 16
	maxReadsPerTick  = 40
	reportTimeout    = time.Second
)

type (
	// observer reads the load reports of engines, since swaps depend on the versions that the
	// engines report.
	observer struct {
		engine   spoke.Engine
		reports  map[spoke.UpstreamID]spoke.LoadReport
		lastRead map[spoke.UpstreamID]time.Time
	}

	observation struct {
		id     spoke.UpstreamID
		report spoke.LoadReport
		err    error
	}
)

func newObserver(engine spoke.Engine) *observer {
	return &observer{
		engine:   engine,
		reports:  make(map[spoke.UpstreamID]spoke.LoadReport),
		lastRead: make(map[spoke.UpstreamID]time.Time),
	}
}

// observe reads the reports that are due.
func (o *observer) observe(ctx context.Context, now time.Time, manifest *spoke.Manifest, paused map[spoke.UpstreamID]time.Time) {
	for _, result := range o.readAll(ctx, o.due(now, manifest, paused)) {
		if result.err != nil {
			delete(o.reports, result.id)
			continue
		}
		// The engine's clock may differ; the time before the read gives an upper bound of the age.
		result.report.AsOf = now
		o.reports[result.id] = result.report
	}
}

func (o *observer) due(now time.Time, manifest *spoke.Manifest, paused map[spoke.UpstreamID]time.Time) []spoke.Upstream {
	upstreams := engineUpstreams(manifest)
	swapping := o.swappingServices(manifest, upstreams, paused)
	var due []spoke.Upstream
	for _, upstream := range upstreams {
		last, wasRead := o.lastRead[upstream.ID]
		period := idleReportPeriod
		if swapping[upstream.Service] {
			period = swapReportPeriod
		}
		if wasRead && now.Sub(last) < period || len(due) == maxReadsPerTick {
			continue
		}
		due = append(due, upstream)
		o.lastRead[upstream.ID] = now
		if !wasRead {
			// Staggered first periods spread the reads of all engines over time.
			o.lastRead[upstream.ID] = now.Add(-stagger(upstream.ID))
		}
	}
	return due
}

func stagger(id spoke.UpstreamID) time.Duration {
	return time.Duration(xxhash.Sum64String(string(id)) % uint64(idleReportPeriod))
}

// swappingServices returns the services in which an engine reports another version than the
// configuration wants, or is out of service.
func (o *observer) swappingServices(manifest *spoke.Manifest, upstreams []spoke.Upstream, paused map[spoke.UpstreamID]time.Time) map[spoke.ServiceName]bool {
	swapping := make(map[spoke.ServiceName]bool)
	for _, upstream := range upstreams {
		_, isPaused := paused[upstream.ID]
		if isPaused || versionsDiffer(manifest, o.reports[upstream.ID]) {
			swapping[upstream.Service] = true
		}
	}
	return swapping
}

func (o *observer) readAll(ctx context.Context, upstreams []spoke.Upstream) []observation {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	results := make(chan observation, len(upstreams))
	slots := make(chan struct{}, maxParallelReads)
	for _, upstream := range upstreams {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			report, err := o.engine.Load(ctx, upstream.Address)
			results <- observation{upstream.ID, report, err}
		}()
	}
	all := make([]observation, 0, len(upstreams))
	for range upstreams {
		all = append(all, <-results)
	}
	return all
}

func versionsDiffer(manifest *spoke.Manifest, report spoke.LoadReport) bool {
	for name, version := range report.Versions {
		if model, ok := manifest.Model(name); ok && model.Version != version {
			return true
		}
	}
	return false
}
