package plans

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/config"
	"magnoliaspoke.example/spoke/fleet"
)

const (
	// AdminKey opens the administration API of all trial set-ups.
	AdminKey = "admin-key-of-the-trial"

	// demoBlock is small, so that a demo moves kilobytes where engines move megabytes.
	demoBlock spoke.ByteSize = 64 << 10
	// demoCache holds 16 blocks, so that a few prompts evict an earlier one.
	demoCache = 16 * demoBlock
	demoLink  = 64 << 20

	trialDrainDelay = 500 * time.Millisecond
)

// Programs finds the entry and stand-in programs beside the running one.
func Programs(plan fleet.Plan) (fleet.Plan, error) {
	own, err := os.Executable()
	if err != nil {
		return plan, eris.Wrap(err, "find own program")
	}
	plan.EntryProgram = filepath.Join(filepath.Dir(own), "entry")
	plan.StandinProgram = filepath.Join(filepath.Dir(own), "standin")
	for _, path := range []string{plan.EntryProgram, plan.StandinProgram} {
		if _, err := os.Stat(path); err != nil {
			return plan, eris.Wrap(err, "run `make build` first")
		}
	}
	return plan, nil
}

// Demo returns two data centres of two entry hosts, two engines, a plain
// service and a store host each.
func Demo(lifetime time.Duration) fleet.Plan {
	plan := fleet.Plan{Lifetime: lifetime, Objects: Objects(3), AdminKey: AdminKey}
	for dc := 1; dc <= 2; dc++ {
		plan.DataCentres = append(plan.DataCentres, demoCentre(dc))
	}
	return plan
}

func demoCentre(dc int) fleet.DataCentre {
	name := fmt.Sprintf("dc%d", dc)
	centre := fleet.DataCentre{ID: spoke.DataCentreID(name), Region: "punjab"}
	for i := 1; i <= 2; i++ {
		centre.Hosts = append(centre.Hosts, fleet.Host{ID: spoke.HostID(fmt.Sprintf("%s-entry%d", name, i)), Tune: tune})
		centre.Upstreams = append(centre.Upstreams, fleet.Upstream{
			ID: spoke.UpstreamID(fmt.Sprintf("%s-engine%d", name, i)), Service: Language, Kind: fleet.KindEngine,
			ChecksFencing: true,
			Arguments: []string{
				"--model", string(Model) + "=" + string(FirstVersion), "--max-batch", "4",
				"--cache-size", bytes(demoCache), "--block-size", bytes(demoBlock),
			},
		})
	}
	centre.Upstreams = append(centre.Upstreams, fleet.Upstream{
		ID: spoke.UpstreamID(name + "-booking"), Service: Booking, Kind: fleet.KindPlain,
	})
	centre.Stores = []fleet.Store{{
		ID: spoke.StoreHostID(name + "-store"), Service: Language, Memory: demoLink, Disk: demoLink, LinkRate: demoLink,
		Arguments: []string{"--link-rate", strconv.Itoa(demoLink)},
	}}
	return centre
}

// tune shortens the drain, since no load balancer stands before a trial.
func tune(settings *config.Entry) { settings.DrainDelay = trialDrainDelay }

func bytes(size spoke.ByteSize) string { return strconv.FormatInt(int64(size), 10) }
