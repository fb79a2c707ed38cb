package plans

import (
	"slices"

	"magnoliaspoke.example/spoke/config"
	"magnoliaspoke.example/spoke/fleet"
)

// WithBaselines returns the plan with baseline policies for admission, routing and imports in place
// of the system's own.
func WithBaselines(plan fleet.Plan) fleet.Plan {
	plan.DataCentres = slices.Clone(plan.DataCentres)
	for i := range plan.DataCentres {
		hosts := slices.Clone(plan.DataCentres[i].Hosts)
		for j := range hosts {
			hosts[j].Tune = applyBaselines
		}
		plan.DataCentres[i].Hosts = hosts
	}
	return plan
}

func applyBaselines(settings *config.Entry) {
	shortenDrain(settings)
	settings.Admission = config.AdmissionFIFO
	settings.Routing = config.RoutingTwoChoices
	settings.Imports = config.ImportsAlways
}
