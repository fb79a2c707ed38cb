package plans

import (
	"fmt"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/fleet"
)

const (
	// BenchWorkspaces is the number of workspaces of each installation.
	BenchWorkspaces = 10
	// EngineBatchSize is the maximum number of runs that a benchmark engine batches.
	EngineBatchSize = 8

	benchLifetime  = 5 * time.Minute
	benchBlockSize = 64 << 10
	// benchCacheBlocks is the cache size of an engine in blocks; all caches together hold less than the repeated prompts.
	benchCacheBlocks = 24
	// benchLinkRate, in bytes per second, transfers a block in 16 ms; recomputing one takes 100 ms.
	benchLinkRate = 4 << 20
)

type (
	// Installation describes one of the first two installations at its present size.
	Installation struct {
		Name string
		// HostsPerCentre lists the number of entry hosts of each data centre.
		HostsPerCentre []int
		Engines        int
		PlainServices  int
		// LinkDelay is the one-way delay between data centres.
		LinkDelay   time.Duration
		SwapTime    time.Duration
		DataCentres int
		// PrefillRate is the prefill rate of an engine in tokens per second.
		PrefillRate float64
	}
)

// Installations returns the first two installations.
func Installations() []Installation {
	return []Installation{
		{Name: "plume", HostsPerCentre: []int{3, 2, 2}, Engines: 9, PlainServices: 3, LinkDelay: 500 * time.Microsecond, SwapTime: 333 * time.Millisecond, DataCentres: 3, PrefillRate: 40000},
		{Name: "almanac", HostsPerCentre: []int{2, 2, 2}, Engines: 12, PlainServices: 3, LinkDelay: 1500 * time.Microsecond, SwapTime: 200 * time.Millisecond, DataCentres: 3, PrefillRate: 40000},
	}
}

// Plan returns the plan of the installation.
func (inst Installation) Plan() fleet.Plan {
	plan := fleet.Plan{Lifetime: benchLifetime, Objects: Objects(BenchWorkspaces), AdminKey: AdminKey}
	for dc := range inst.DataCentres {
		plan.DataCentres = append(plan.DataCentres, inst.centre(dc))
	}
	return plan
}

// WithoutStores returns the plan without store hosts, so that every evicted block must be recomputed.
func WithoutStores(plan fleet.Plan) fleet.Plan {
	centres := make([]fleet.DataCentre, len(plan.DataCentres))
	copy(centres, plan.DataCentres)
	for i := range centres {
		centres[i].Stores = nil
	}
	plan.DataCentres = centres
	return plan
}

func (inst Installation) centre(dc int) fleet.DataCentre {
	name := fmt.Sprintf("dc%d", dc+1)
	centre := fleet.DataCentre{ID: spoke.DataCentreID(name), Region: spoke.RegionID(inst.Name)}
	for i := range inst.HostsPerCentre[dc] {
		centre.Hosts = append(centre.Hosts, fleet.Host{ID: spoke.HostID(fmt.Sprintf("%s-entry%d", name, i+1)), Tune: shortenDrain})
	}
	for i := range inst.Engines / inst.DataCentres {
		centre.Upstreams = append(centre.Upstreams, fleet.Upstream{
			ID: spoke.UpstreamID(fmt.Sprintf("%s-engine%d", name, i+1)), Service: Language, Kind: fleet.KindEngine,
			ChecksFencing: true,
			Arguments: []string{
				"--model", string(Model) + "=" + string(FirstVersion),
				"--max-batch", fmt.Sprint(EngineBatchSize), "--prefill-rate", fmt.Sprint(inst.PrefillRate),
				"--cache-size", fmt.Sprint(benchCacheBlocks * benchBlockSize), "--block-size", fmt.Sprint(benchBlockSize),
				"--swap-time", inst.SwapTime.String(),
			},
		})
	}
	for i := range inst.PlainServices / inst.DataCentres {
		centre.Upstreams = append(centre.Upstreams, fleet.Upstream{
			ID: spoke.UpstreamID(fmt.Sprintf("%s-booking%d", name, i+1)), Service: Booking, Kind: fleet.KindPlain,
		})
	}
	centre.Stores = []fleet.Store{{
		ID: spoke.StoreHostID(name + "-store"), Service: Language, Relayed: true,
		Memory: 64 << 20, Disk: 256 << 20, LinkRate: benchLinkRate,
		Arguments: []string{"--link-rate", fmt.Sprint(benchLinkRate)},
	}}
	return centre
}
