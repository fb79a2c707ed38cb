package runner

import (
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/swap"
)

// resolveRoute returns the result of a Route from the request's machine.
func (r *Runner) resolveRoute(now time.Time, request spoke.Request, fingerprint spoke.Fingerprint, route Route) Routed {
	manifest := r.deps.Manifests.Current()
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
		return Routed{MustWait: true}
	}
	if route.Retry && !r.budget.Withdraw(request.Workspace) {
		return Routed{BudgetExhausted: true}
	}
	views := r.deps.Views.Views(request.Service)
	versions := []spoke.ModelVersion{route.Version}
	if route.Version == "" {
		versions = slices.DeleteFunc(candidateVersions(model, views), func(version spoke.ModelVersion) bool { return route.Avoid[version] })
	}
	query := spoke.RouteQuery{
		Service:      request.Service,
		Model:        request.Model,
		DataCentre:   r.dataCentre,
		PromptTokens: spoke.EstimateTokens(request.Prompt),
		Rank:         rank,
		Exclude:      route.Exclude,
	}
	routed := r.choose(now, request, query, versions, views, route.Prefer)
	routed.Solo = verdict.Solo
	return routed
}

// choose queries the router for each version in order until one has usable upstreams. If the
// preferred upstream is among them, it comes first.
func (r *Runner) choose(now time.Time, request spoke.Request, query spoke.RouteQuery, versions []spoke.ModelVersion,
	views []spoke.UpstreamView, prefer spoke.UpstreamID) Routed {
	routed := Routed{Priority: spoke.Priority(query.Rank.Order)}
	for _, version := range versions {
		query.Version = version
		query.Keys = r.keys(request, version)
		routed.Version = version
		routed.Upstreams = r.deps.Router.Choose(now, query, views)
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

// candidateVersions lists the versions that a new request may use: the one that
// most usable upstreams serve, then the configured one and the others. With the
// configured one first, the first upstream of a rollout would get all requests.
func candidateVersions(model spoke.Model, views []spoke.UpstreamView) []spoke.ModelVersion {
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
