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
	now          time.Time
	maxReportAge time.Duration
	upstreams    []spoke.Upstream
	byID         map[spoke.UpstreamID]spoke.Upstream
	models       map[spoke.ServiceName][]spoke.Model
	reports      map[spoke.UpstreamID]spoke.LoadReport
	// assigned holds the model to load for each upstream that reports none of its service.
	assigned map[spoke.UpstreamID]spoke.Model
}

func newView(now time.Time, s settings, o Observation) view {
	v := view{
		now: now, maxReportAge: s.maxReportAge, reports: o.Reports,
		upstreams: slices.SortedFunc(slices.Values(o.Upstreams), func(a, b spoke.Upstream) int {
			return strings.Compare(string(a.ID), string(b.ID))
		}),
		byID:     make(map[spoke.UpstreamID]spoke.Upstream, len(o.Upstreams)),
		models:   make(map[spoke.ServiceName][]spoke.Model),
		assigned: make(map[spoke.UpstreamID]spoke.Model),
	}
	for _, model := range slices.SortedFunc(slices.Values(o.Models), func(a, b spoke.Model) int {
		return strings.Compare(string(a.Name), string(b.Name))
	}) {
		v.models[model.Service] = append(v.models[model.Service], model)
	}
	for _, upstream := range v.upstreams {
		v.byID[upstream.ID] = upstream
	}
	v.assignModels()
	return v
}

// assignModels assigns to each upstream without a model the one that the fewest upstreams serve.
func (v view) assignModels() {
	counts := make(map[spoke.ModelName]int)
	var unassigned []spoke.Upstream
	for _, upstream := range v.upstreams {
		served := 0
		for _, model := range v.models[upstream.Service] {
			if v.reports[upstream.ID].Versions[model.Name] != "" {
				counts[model.Name]++
				served++
			}
		}
		if served == 0 && v.isFresh(upstream.ID) && len(v.models[upstream.Service]) > 0 {
			unassigned = append(unassigned, upstream)
		}
	}
	for _, upstream := range unassigned {
		model := slices.MinFunc(v.models[upstream.Service], func(a, b spoke.Model) int {
			return counts[a.Name] - counts[b.Name]
		})
		counts[model.Name]++
		v.assigned[upstream.ID] = model
	}
}

// outdatedModel returns a model that the upstream has to load, or to load in another version.
func (v view) outdatedModel(upstream spoke.Upstream) (spoke.Model, bool) {
	if !v.isFresh(upstream.ID) {
		return spoke.Model{}, false
	}
	if model, ok := v.assigned[upstream.ID]; ok {
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

// serves reports whether an upstream's fresh report lists a version of a model.
func (v view) serves(id spoke.UpstreamID, model spoke.ModelName, version spoke.ModelVersion) bool {
	return v.isFresh(id) && v.served(id, model) == version
}

// oldestFirst returns the upstreams by service, within each those on the oldest versions first.
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
	return ok && v.now.Sub(report.AsOf) <= v.maxReportAge
}

// isServing reports whether an upstream has reported recently and accepts new work.
func (v view) isServing(id spoke.UpstreamID) bool {
	return v.isFresh(id) && !v.reports[id].Draining
}

// seenSince reports whether the latest report of an upstream is from after t.
func (v view) seenSince(id spoke.UpstreamID, t time.Time) bool {
	return v.reports[id].AsOf.After(t)
}
