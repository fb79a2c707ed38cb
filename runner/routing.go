package runner

import (
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

// plan answers a Route of the request's machine.
func (r *Runner) plan(now time.Time, request spoke.Request, fingerprint spoke.Fingerprint, want Route) Routed {
	manifest := r.parts.Manifests.Current()
	if manifest == nil {
		return Routed{Refusal: spoke.NotRun(spoke.CodeNotReady, "no configuration is in force")}
	}
	model, ok := manifest.Model(request.Model)
	if !ok || model.Service != request.Service {
		return Routed{Refusal: spoke.NotRun(spoke.CodeNotFound, "service %s has no model %s", request.Service, request.Model)}
	}
	rank, ok := manifest.Rank(request.Rank)
	if !ok {
		return Routed{Refusal: spoke.NotRun(spoke.CodeNotFound, "rank %s is not configured", request.Rank)}
	}
	verdict := r.quarantine.Admit(now, request.ID, fingerprint)
	if verdict.Until.After(now) {
		refusal := spoke.NotRun(spoke.CodeQuarantined, "the request crashed the upstreams that ran it")
		refusal.RetryAfter = verdict.Until.Sub(now)
		return Routed{Refusal: refusal}
	}
	if verdict.Held {
		return Routed{Held: true}
	}
	if want.Retry && !r.budget.Withdraw(request.Workspace) {
		return Routed{Denied: true}
	}
	views := r.parts.Views.Views(request.Service)
	versions := []spoke.ModelVersion{want.Version}
	if want.Version == "" {
		versions = candidates(model, views)
	}
	query := spoke.RouteQuery{
		Service:      request.Service,
		Model:        request.Model,
		DataCentre:   r.dataCentre,
		PromptTokens: spoke.TokensOf(request.Prompt),
		Rank:         rank,
		Exclude:      want.Exclude,
	}
	routed := r.choose(now, request, query, versions, views, want.Prefer)
	routed.Solo = verdict.Solo
	return routed
}

// choose asks the router for each version in order until one has upstreams.
func (r *Runner) choose(now time.Time, request spoke.Request, query spoke.RouteQuery, versions []spoke.ModelVersion,
	views []spoke.UpstreamView, prefer spoke.UpstreamID) Routed {
	routed := Routed{Priority: spoke.Priority(query.Rank.Order)}
	for _, version := range versions {
		query.Version = version
		query.Keys = r.keys(request, version)
		routed.Version = version
		routed.Upstreams = r.parts.Router.Choose(now, query, views)
		if len(routed.Upstreams) > 0 {
			break
		}
	}
	if i := slices.Index(routed.Upstreams, prefer); i > 0 {
		routed.Upstreams = slices.Concat([]spoke.UpstreamID{prefer}, slices.Delete(slices.Clone(routed.Upstreams), i, i+1))
	}
	routed.Keys = query.Keys
	routed.Cost = r.cost(request, query.Keys)
	return routed
}

// candidates lists the version in force and then those that upstreams still
// serve, the most frequent first: during a swap the old version serves until
// enough upstreams have the new one.
func candidates(model spoke.Model, views []spoke.UpstreamView) []spoke.ModelVersion {
	counts := make(map[spoke.ModelVersion]int)
	for _, view := range views {
		if version := view.Load.Versions[model.Name]; version != "" && version != model.Version {
			counts[version]++
		}
	}
	versions := make([]spoke.ModelVersion, 0, len(counts)+1)
	for version := range counts {
		versions = append(versions, version)
	}
	slices.SortFunc(versions, func(a, b spoke.ModelVersion) int {
		if counts[a] != counts[b] {
			return counts[b] - counts[a]
		}
		if a < b {
			return -1
		}
		return 1
	})
	return slices.Insert(versions, 0, model.Version)
}
