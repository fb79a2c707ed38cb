package config

import "slices"

const (
	// AdmissionFair admits requests by rank, rank floors and weighted fair queueing.
	AdmissionFair Policy = "fair"
	// AdmissionFIFO is the baseline that admits requests in order of arrival.
	AdmissionFIFO Policy = "fifo"

	// RoutingAffinity routes by prefix affinity with bounded load.
	RoutingAffinity Policy = "affinity"
	// RoutingTwoChoices is the baseline that selects the less loaded of two random upstreams.
	RoutingTwoChoices Policy = "two-choices"
	// RoutingRoundRobin is the baseline that selects upstreams in turn.
	RoutingRoundRobin Policy = "round-robin"

	// ImportsCheaper imports KV cache blocks if that is predicted to be faster than recomputing them.
	ImportsCheaper Policy = "cheaper"
	// ImportsNever is the baseline that always recomputes blocks.
	ImportsNever Policy = "never"
	// ImportsAlways is the baseline that imports blocks whenever it can.
	ImportsAlways Policy = "always"
)

// Policy names the algorithm for a kind of decision. Baselines are compared with the default policies.
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
