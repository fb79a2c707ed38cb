package swap

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"magnoliaspoke.example/spoke"
)

// view is an observation prepared for lookups.
type view struct {
	now       time.Time
	reportAge time.Duration
	upstreams []spoke.Upstream
	byID      map[spoke.UpstreamID]spoke.Upstream
	models    map[spoke.ServiceName][]spoke.Model
	reports   map[spoke.UpstreamID]spoke.LoadReport
	// idle assigns a model to each upstream that reports none of its service.
	idle map[spoke.UpstreamID]spoke.Model
}

func newView(now time.Time, s settings, o Observation) view {
	v := view{
		now: now, reportAge: s.reportAge, reports: o.Reports,
		upstreams: slices.SortedFunc(slices.Values(o.Upstreams), func(a, b spoke.Upstream) int {
			return strings.Compare(string(a.ID), string(b.ID))
		}),
		byID:   make(map[spoke.UpstreamID]spoke.Upstream, len(o.Upstreams)),
		models: make(map[spoke.ServiceName][]spoke.Model),
		idle:   make(map[spoke.UpstreamID]spoke.Model),
	}
	for _, model := range slices.SortedFunc(slices.Values(o.Models), func(a, b spoke.Model) int {
		return strings.Compare(string(a.Name), string(b.Name))
	}) {
		v.models[model.Service] = append(v.models[model.Service], model)
	}
	for _, upstream := range v.upstreams {
		v.byID[upstream.ID] = upstream
	}
	v.assignIdle()
	return v
}

// assignIdle gives each upstream without a model the one that the fewest upstreams have.
func (v view) assignIdle() {
	counts := make(map[spoke.ModelName]int)
	var idle []spoke.Upstream
	for _, upstream := range v.upstreams {
		served := 0
		for _, model := range v.models[upstream.Service] {
			if v.reports[upstream.ID].Versions[model.Name] != "" {
				counts[model.Name]++
				served++
			}
		}
		if served == 0 && v.isFresh(upstream.ID) && len(v.models[upstream.Service]) > 0 {
			idle = append(idle, upstream)
		}
	}
	for _, upstream := range idle {
		model := slices.MinFunc(v.models[upstream.Service], func(a, b spoke.Model) int {
			return counts[a.Name] - counts[b.Name]
		})
		counts[model.Name]++
		v.idle[upstream.ID] = model
	}
}

// wrongModel returns a model that the upstream has to load in another version.
func (v view) wrongModel(upstream spoke.Upstream) (spoke.Model, bool) {
	if !v.isFresh(upstream.ID) {
		return spoke.Model{}, false
	}
	if model, ok := v.idle[upstream.ID]; ok {
		return model, true
	}
	for _, model := range v.models[upstream.Service] {
		version := v.reports[upstream.ID].Versions[model.Name]
		if version != "" && version != model.Version {
			return model, true
		}
	}
	return spoke.Model{}, false
}

// served returns the version of a model that an upstream last reported.
func (v view) served(id spoke.UpstreamID, model spoke.ModelName) spoke.ModelVersion {
	return v.reports[id].Versions[model]
}

// serves reports whether an upstream serves a version.
func (v view) serves(id spoke.UpstreamID, model spoke.ModelName, version spoke.ModelVersion) bool {
	return v.isFresh(id) && v.served(id, model) == version
}

// oldestFirst returns the upstreams with those on the oldest versions first.
func (v view) oldestFirst(compare func(a, b spoke.ModelVersion) int) []spoke.Upstream {
	return slices.SortedStableFunc(slices.Values(v.upstreams), func(a, b spoke.Upstream) int {
		if order := cmp.Compare(a.Service, b.Service); order != 0 {
			return order
		}
		for _, model := range v.models[a.Service] {
			if order := compare(v.served(a.ID, model.Name), v.served(b.ID, model.Name)); order != 0 {
				return order
			}
		}
		return 0
	})
}

func (v view) isFresh(id spoke.UpstreamID) bool {
	report, ok := v.reports[id]
	return ok && v.now.Sub(report.AsOf) <= v.reportAge
}

// isServing reports whether an upstream answers and takes work.
func (v view) isServing(id spoke.UpstreamID) bool {
	return v.isFresh(id) && !v.reports[id].Draining
}

// seenSince reports whether the latest report is from after a time.
func (v view) seenSince(id spoke.UpstreamID, t time.Time) bool {
	return v.reports[id].AsOf.After(t)
}
