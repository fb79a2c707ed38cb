package plans

import (
	"fmt"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/fleet"
)

const (
	// BenchWorkspaces is the number of workspaces of each user.
	BenchWorkspaces = 10
	// EngineBatch is the number of runs that a bench engine batches.
	EngineBatch = 8

	benchLifetime = 5 * time.Minute
	benchBlock    = 64 << 10
	// benchCacheBlocks makes the working set of the returning prompts larger than the caches.
	benchCacheBlocks = 24
	// benchLinkRate moves a block in 16 ms, which takes 100 ms to recompute.
	benchLinkRate = 4 << 20
)

type (
	// User is one of the two first installations at its size of today.
	User struct {
		Name        string
		Hosts       []int
		Engines     int
		Plain       int
		Distance    time.Duration
		SwapTime    time.Duration
		Centres     int
		PrefillRate float64
	}
)

// Users returns the two first installations.
func Users() []User {
	return []User{
		{Name: "plume", Hosts: []int{3, 2, 2}, Engines: 9, Plain: 3, Distance: 500 * time.Microsecond, SwapTime: 333 * time.Millisecond, Centres: 3, PrefillRate: 40000},
		{Name: "almanac", Hosts: []int{2, 2, 2}, Engines: 12, Plain: 3, Distance: 1500 * time.Microsecond, SwapTime: 200 * time.Millisecond, Centres: 3, PrefillRate: 40000},
	}
}

// Plan returns the user's set-up.
func (u User) Plan() fleet.Plan {
	plan := fleet.Plan{Lifetime: benchLifetime, Objects: Objects(BenchWorkspaces), AdminKey: AdminKey}
	for dc := range u.Centres {
		plan.DataCentres = append(plan.DataCentres, u.centre(dc))
	}
	return plan
}

// WithoutStores returns the plan without store hosts, so that every evicted block is recomputed.
func WithoutStores(plan fleet.Plan) fleet.Plan {
	centres := make([]fleet.DataCentre, len(plan.DataCentres))
	copy(centres, plan.DataCentres)
	for i := range centres {
		centres[i].Stores = nil
	}
	plan.DataCentres = centres
	return plan
}

func (u User) centre(dc int) fleet.DataCentre {
	name := fmt.Sprintf("dc%d", dc+1)
	centre := fleet.DataCentre{ID: spoke.DataCentreID(name), Region: spoke.RegionID(u.Name)}
	for i := range u.Hosts[dc] {
		centre.Hosts = append(centre.Hosts, fleet.Host{ID: spoke.HostID(fmt.Sprintf("%s-entry%d", name, i+1)), Tune: tune})
	}
	for i := range u.Engines / u.Centres {
		centre.Upstreams = append(centre.Upstreams, fleet.Upstream{
			ID: spoke.UpstreamID(fmt.Sprintf("%s-engine%d", name, i+1)), Service: Language, Kind: fleet.KindEngine,
			ChecksFencing: true,
			Arguments: []string{
				"--model", string(Model) + "=" + string(FirstVersion),
				"--max-batch", fmt.Sprint(EngineBatch), "--prefill-rate", fmt.Sprint(u.PrefillRate),
				"--cache-size", fmt.Sprint(benchCacheBlocks * benchBlock), "--block-size", fmt.Sprint(benchBlock),
				"--swap-time", u.SwapTime.String(),
			},
		})
	}
	for i := range u.Plain / u.Centres {
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
