package edge

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strconv"

	"magnoliaspoke.example/spoke"
)

// models returns the models with wanted weights, and the engines that serve older weights of them.
func (o *orders) models() ([]spoke.Model, []spoke.UpstreamID) {
	var models []spoke.Model
	var outdated []spoke.UpstreamID
	seen := make(map[spoke.ModelName]bool)
	for _, id := range slices.Sorted(maps.Keys(o.upstreams)) {
		listed := o.upstreams[id]
		for model := range listed.Weights {
			want := o.wanted[model]
			if want == 0 {
				continue
			}
			if !seen[model] {
				seen[model] = true
				models = append(models, spoke.Model{Name: model, Service: listed.Service, Version: versionText(want)})
			}
			if o.weights(id, model) < want && !listed.IsLeaving {
				outdated = append(outdated, id)
			}
		}
	}
	return models, outdated
}

func (o *orders) weights(id spoke.UpstreamID, model spoke.ModelName) spoke.WeightVersion {
	return max(o.upstreams[id].Weights[model], o.reports[id].Weights[model])
}

func (o *orders) requestReports(ctx context.Context, outdated []spoke.UpstreamID) {
	now := o.timer.Now()
	for _, id := range outdated {
		every := engineReportInterval
		if _, ok := o.pending[id]; ok {
			every = ordersInterval
		}
		if o.reportInFlight[id] || now.Sub(o.reportAskedAt[id]) < every {
			continue
		}
		o.reportAskedAt[id], o.reportInFlight[id] = now, true
		go o.readReport(ctx, id, o.upstreams[id].Address)
	}
}

func (o *orders) readReport(ctx context.Context, id spoke.UpstreamID, at spoke.Address) {
	report, err := o.control.Report(ctx, at)
	report.AsOf = o.timer.Now().Add(-maxReportLag)
	o.send(ctx, reportResult{upstream: id, report: report, err: err})
}

func (o *orders) listed() []spoke.Upstream {
	upstreams := make([]spoke.Upstream, 0, len(o.upstreams))
	for id, listed := range o.upstreams {
		if len(listed.Weights) == 0 {
			continue
		}
		state := spoke.UpstreamServing
		if listed.IsLeaving {
			state = spoke.UpstreamLeaving
		}
		upstreams = append(upstreams, spoke.Upstream{
			ID: id, Service: listed.Service, DataCentre: listed.DataCentre, Address: listed.Address, State: state,
		})
	}
	return upstreams
}

// loadReports returns the load reports of the engines. An engine that is known to have the wanted
// weights gets a current one even if its report was not read.
func (o *orders) loadReports() map[spoke.UpstreamID]spoke.LoadReport {
	reports := make(map[spoke.UpstreamID]spoke.LoadReport)
	for id, listed := range o.upstreams {
		report, isRead := o.reports[id]
		load := spoke.LoadReport{Running: report.Running, Waiting: report.Waiting, AsOf: report.AsOf, Versions: make(map[spoke.ModelName]spoke.ModelVersion)}
		isCurrent := len(listed.Weights) > 0
		for model := range listed.Weights {
			load.Versions[model] = versionText(o.weights(id, model))
			isCurrent = isCurrent && o.weights(id, model) >= o.wanted[model]
		}
		if isCurrent {
			load.AsOf = o.timer.Now()
		}
		if isRead || isCurrent {
			reports[id] = load
		}
	}
	return reports
}

// compareVersions orders versions, which are decimal numbers, by value.
func compareVersions(a, b spoke.ModelVersion) int {
	return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b))
}

func versionText(version spoke.WeightVersion) spoke.ModelVersion {
	return spoke.ModelVersion(strconv.FormatInt(int64(version), 10))
}
