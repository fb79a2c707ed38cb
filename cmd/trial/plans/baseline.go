package plans

import (
	"slices"

	"magnoliaspoke.example/spoke/config"
	"magnoliaspoke.example/spoke/fleet"
)

// Baseline returns the plan with the baselines of admission, routing and imports in place of
// the system's own rules.
func Baseline(plan fleet.Plan) fleet.Plan {
	plan.DataCentres = slices.Clone(plan.DataCentres)
	for i := range plan.DataCentres {
		hosts := slices.Clone(plan.DataCentres[i].Hosts)
		for j := range hosts {
			hosts[j].Tune = tuneBaseline
		}
		plan.DataCentres[i].Hosts = hosts
	}
	return plan
}

func tuneBaseline(settings *config.Entry) {
	tune(settings)
	settings.Admission = config.AdmissionFIFO
	settings.Routing = config.RoutingTwoChoices
	settings.Imports = config.ImportsAlways
}
