package runner

import (
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/swap"
)

// plan answers a Route of the request's machine.
func (r *Runner) plan(now time.Time, request spoke.Request, fingerprint spoke.Fingerprint, want Route) Routed {
	manifest := r.parts.Manifests.Current()
	if manifest == nil {
		return Routed{Refusal: spoke.RefuseNotRun(spoke.CodeNotReady, "no configuration is in force")}
	}
	model, ok := manifest.Model(request.Model)
	if !ok || model.Service != request.Service {
		return Routed{Refusal: spoke.RefuseNotRun(spoke.CodeNotFound, "service %s has no model %s", request.Service, request.Model)}
	}
	rank, ok := manifest.Rank(request.Rank)
	if !ok {
		return Routed{Refusal: spoke.RefuseNotRun(spoke.CodeNotFound, "rank %s is not configured", request.Rank)}
	}
	verdict := r.quarantine.Admit(now, request.ID, fingerprint)
	if verdict.Until.After(now) {
		refusal := spoke.RefuseNotRun(spoke.CodeQuarantined, "the request crashed the upstreams that ran it")
		refusal.RetryAfter = verdict.Until.Sub(now)
		return Routed{Refusal: refusal}
	}
	if verdict.MustWait {
		return Routed{Held: true}
	}
	if want.Retry && !r.budget.Withdraw(request.Workspace) {
		return Routed{Denied: true}
	}
	views := r.parts.Views.Views(request.Service)
	versions := []spoke.ModelVersion{want.Version}
	if want.Version == "" {
		versions = slices.DeleteFunc(candidates(model, views), func(version spoke.ModelVersion) bool { return want.Avoid[version] })
	}
	query := spoke.RouteQuery{
		Service:      request.Service,
		Model:        request.Model,
		DataCentre:   r.dataCentre,
		PromptTokens: spoke.EstimateTokens(request.Prompt),
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

// candidates lists the versions that a new request may ask for: the one that
// most usable upstreams serve, then the one in force and the others. With the
// one in force first, the first upstream of a roll-out would get all requests.
func candidates(model spoke.Model, views []spoke.UpstreamView) []spoke.ModelVersion {
	versions := []spoke.ModelVersion{swap.RequestVersion(model, views), model.Version}
	for _, view := range views {
		if version := view.Load.Versions[model.Name]; version != "" {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions[2:])
	seen := make(map[spoke.ModelVersion]bool)
	return slices.DeleteFunc(versions, func(version spoke.ModelVersion) bool {
		isRepeated := seen[version]
		seen[version] = true
		return isRepeated
	})
}
