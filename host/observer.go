package host

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliaspoke.example/spoke"
)

const (
	// busyPeriod spaces the load reports of the engines of a service in which
	// versions differ, and restPeriod those of all others: at 600 engines a report of
	// each every few seconds would cost the holder more than its share of traffic.
	busyPeriod = time.Second
	restPeriod = time.Minute
	// observeParallel bounds the reports read at the same time, and observeBurst those
	// of one tick.
	observeParallel = 16
	observeBurst    = 40
	observeTimeout  = time.Second
)

type (
	// observer reads what engines say of themselves, as the versions that count are
	// those that the engines report.
	observer struct {
		engine  spoke.Engine
		reports map[spoke.UpstreamID]spoke.LoadReport
		read    map[spoke.UpstreamID]time.Time
	}

	observation struct {
		id     spoke.UpstreamID
		report spoke.LoadReport
		err    error
	}
)

func newObserver(engine spoke.Engine) *observer {
	return &observer{
		engine:  engine,
		reports: make(map[spoke.UpstreamID]spoke.LoadReport),
		read:    make(map[spoke.UpstreamID]time.Time),
	}
}

// observe reads the reports that are due.
func (o *observer) observe(ctx context.Context, now time.Time, manifest *spoke.Manifest, out map[spoke.UpstreamID]time.Time) {
	for _, result := range o.readAll(ctx, o.due(now, manifest, out)) {
		if result.err != nil {
			delete(o.reports, result.id)
			continue
		}
		// The reporter's clock may differ; the time of the read is an upper bound.
		result.report.AsOf = now
		o.reports[result.id] = result.report
	}
}

func (o *observer) due(now time.Time, manifest *spoke.Manifest, out map[spoke.UpstreamID]time.Time) []spoke.Upstream {
	upstreams := engines(manifest)
	busy := o.busyServices(manifest, upstreams, out)
	var due []spoke.Upstream
	for _, upstream := range upstreams {
		last, wasRead := o.read[upstream.ID]
		period := restPeriod
		if busy[upstream.Service] {
			period = busyPeriod
		}
		if wasRead && now.Sub(last) < period || len(due) == observeBurst {
			continue
		}
		due = append(due, upstream)
		o.read[upstream.ID] = now
		if !wasRead {
			// Different first periods keep the engines from being read all at once.
			o.read[upstream.ID] = now.Add(-stagger(upstream.ID))
		}
	}
	return due
}

func stagger(id spoke.UpstreamID) time.Duration {
	return time.Duration(xxhash.Sum64String(string(id)) % uint64(restPeriod))
}

// busyServices lists the services in which an engine has another version than the
// configuration wants, or is out of service.
func (o *observer) busyServices(manifest *spoke.Manifest, upstreams []spoke.Upstream, out map[spoke.UpstreamID]time.Time) map[spoke.ServiceName]bool {
	busy := make(map[spoke.ServiceName]bool)
	for _, upstream := range upstreams {
		_, isOut := out[upstream.ID]
		if isOut || differs(manifest, o.reports[upstream.ID]) {
			busy[upstream.Service] = true
		}
	}
	return busy
}

func (o *observer) readAll(ctx context.Context, upstreams []spoke.Upstream) []observation {
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	results := make(chan observation, len(upstreams))
	slots := make(chan struct{}, observeParallel)
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

func differs(manifest *spoke.Manifest, report spoke.LoadReport) bool {
	for name, version := range report.Versions {
		if model, ok := manifest.Model(name); ok && model.Version != version {
			return true
		}
	}
	return false
}
