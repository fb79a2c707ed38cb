package host

import (
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cache"
	"magnoliaspoke.example/spoke/config"
	"magnoliaspoke.example/spoke/route"
	"magnoliaspoke.example/spoke/sched"
	"magnoliaspoke.example/spoke/sched/fifo"
)

// fifoSlots is the fixed number of concurrent runs per upstream of the FIFO baseline, a common
// batch size.
const fifoSlots = 8

func newAdmission(policy config.Policy, seed uint64) spoke.Admission {
	if policy == config.AdmissionFIFO {
		return fifo.NewAdmission(fifoSlots)
	}
	return sched.NewAdmission(sched.WithSeed(seed))
}

func newRouter(policy config.Policy, now time.Time) spoke.Router {
	switch policy {
	case config.RoutingTwoChoices:
		return route.NewTwoChoices(uint64(now.UnixNano()))
	case config.RoutingRoundRobin:
		return route.NewRoundRobin()
	default:
		return route.NewAffinity()
	}
}

func importOptions(policy config.Policy) []cache.ImporterOption {
	switch policy {
	case config.ImportsNever:
		return []cache.ImporterOption{cache.WithImportPolicy(cache.NeverImport{})}
	case config.ImportsAlways:
		return []cache.ImporterOption{cache.WithImportPolicy(cache.AlwaysImport{}), cache.WithoutImportLimit()}
	default:
		return nil
	}
}
