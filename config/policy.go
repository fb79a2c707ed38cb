package config

import "slices"

const (
	// AdmissionFair is admission by ranks, floors and weighted fair queueing.
	AdmissionFair Policy = "fair"
	// AdmissionFIFO is the baseline that admits in order of arrival.
	AdmissionFIFO Policy = "fifo"

	// RoutingAffinity is routing by prefix affinity with bounded load.
	RoutingAffinity Policy = "affinity"
	// RoutingTwoChoices is the baseline that takes the less loaded of two random upstreams.
	RoutingTwoChoices Policy = "two-choices"
	// RoutingRoundRobin is the baseline that takes the upstreams in turn.
	RoutingRoundRobin Policy = "round-robin"

	// ImportsCheaper imports blocks if that is predicted to be faster than recomputing them.
	ImportsCheaper Policy = "cheaper"
	// ImportsNever is the baseline that always recomputes.
	ImportsNever Policy = "never"
	// ImportsAlways is the baseline that never recomputes by choice.
	ImportsAlways Policy = "always"
)

// Policy names the rule for a kind of decision; the baselines serve measurements.
type Policy string

func validatePolicies(t *table, entry Entry) {
	requirePolicy(t, keyAdmission, entry.Admission, AdmissionFair, AdmissionFIFO)
	requirePolicy(t, keyRouting, entry.Routing, RoutingAffinity, RoutingTwoChoices, RoutingRoundRobin)
	requirePolicy(t, keyImports, entry.Imports, ImportsCheaper, ImportsNever, ImportsAlways)
}

func requirePolicy(t *table, key string, value Policy, known ...Policy) {
	if !slices.Contains(known, value) {
		t.report.Addf(t.at(key), "%q is none of %q", value, known)
	}
}
