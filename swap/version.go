package swap

import (
	"slices"

	"magnoliaspoke.example/spoke"
)

// RequestVersion returns the version that new requests for a model should ask for: the wanted
// one, or the most common one if more usable upstreams serve it than the wanted one.
// If requests asked for the wanted version at once, a new ticket would make all upstreams
// unusable until their swap.
func RequestVersion(model spoke.Model, views []spoke.UpstreamView) spoke.ModelVersion {
	counts := make(map[spoke.ModelVersion]int)
	for _, view := range views {
		version := view.Load.Versions[model.Name]
		usable := view.Upstream.Service == model.Service && view.Upstream.State != spoke.UpstreamLeaving &&
			view.Owner != "" && !view.Load.Draining && !view.Load.Paused && !view.Load.Dead
		if usable && version != "" {
			counts[version]++
		}
	}
	best := model.Version
	versions := make([]spoke.ModelVersion, 0, len(counts))
	for version := range counts {
		versions = append(versions, version)
	}
	slices.Sort(versions)
	for _, version := range versions {
		if counts[version] > counts[best] {
			best = version
		}
	}
	return best
}
