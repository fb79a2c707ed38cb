package plans

import (
	"fmt"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/fleet"
)

const costLifetime = 2 * time.Minute

// Cost returns a plan of one data centre with two entry hosts, connected without relays, and
// engines that are started with the given stand-in arguments.
func Cost(engines int, arguments ...string) fleet.Plan {
	centre := fleet.DataCentre{ID: "dc1", Region: "punjab"}
	for i := range 2 {
		centre.Hosts = append(centre.Hosts, fleet.Host{ID: spoke.HostID(fmt.Sprintf("entry%d", i+1)), Tune: shortenDrain})
	}
	for i := range engines {
		centre.Upstreams = append(centre.Upstreams, fleet.Upstream{
			ID: spoke.UpstreamID(fmt.Sprintf("engine%02d", i+1)), Service: Language, Kind: fleet.KindEngine, ChecksFencing: true,
			Arguments: append([]string{"--model", string(Model) + "=" + string(FirstVersion)}, arguments...),
		})
	}
	return fleet.Plan{
		Lifetime: costLifetime, Objects: Objects(1), AdminKey: AdminKey, DirectPeers: true,
		DataCentres: []fleet.DataCentre{centre},
	}
}

// Centres returns a plan of data centres with three entry hosts, an engine and a plain service each.
func Centres(count int) fleet.Plan {
	plan := fleet.Plan{Lifetime: costLifetime, Objects: Objects(1), AdminKey: AdminKey}
	for dc := 1; dc <= count; dc++ {
		name := fmt.Sprintf("dc%d", dc)
		centre := fleet.DataCentre{ID: spoke.DataCentreID(name), Region: "punjab"}
		for i := range 3 {
			centre.Hosts = append(centre.Hosts, fleet.Host{ID: spoke.HostID(fmt.Sprintf("%s-entry%d", name, i+1)), Tune: shortenDrain})
		}
		centre.Upstreams = []fleet.Upstream{
			{
				ID: spoke.UpstreamID(name + "-engine"), Service: Language, Kind: fleet.KindEngine, ChecksFencing: true,
				Arguments: []string{"--model", string(Model) + "=" + string(FirstVersion)},
			},
			{ID: spoke.UpstreamID(name + "-booking"), Service: Booking, Kind: fleet.KindPlain},
		}
		plan.DataCentres = append(plan.DataCentres, centre)
	}
	return plan
}
