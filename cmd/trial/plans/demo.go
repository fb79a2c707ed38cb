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
	// AdminKey is the key of the administration API in all trial set-ups.
	AdminKey = "admin-key-of-the-trial"

	// demoBlockSize is small, so that the demo transfers kilobytes where real engines transfer megabytes.
	demoBlockSize spoke.ByteSize = 64 << 10
	// demoCacheSize is 16 blocks, so that a few prompts evict an earlier one.
	demoCacheSize = 16 * demoBlockSize
	// demoStoreCapacity is the memory and disk size of a store host in bytes and its link rate in bytes per second.
	demoStoreCapacity = 64 << 20

	trialDrainDelay = 500 * time.Millisecond
)

// WithPrograms returns the plan with the paths of the entry and stand-in programs, which must be
// in the folder of the running program.
func WithPrograms(plan fleet.Plan) (fleet.Plan, error) {
	executable, err := os.Executable()
	if err != nil {
		return plan, eris.Wrap(err, "locate own executable")
	}
	plan.EntryProgram = filepath.Join(filepath.Dir(executable), "entry")
	plan.StandinProgram = filepath.Join(filepath.Dir(executable), "standin")
	for _, path := range []string{plan.EntryProgram, plan.StandinProgram} {
		if _, err := os.Stat(path); err != nil {
			return plan, eris.Wrap(err, "run `make build` first")
		}
	}
	return plan, nil
}

// Demo returns a plan of two data centres with two entry hosts, two engines, a plain service
// and a store host each.
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
		centre.Hosts = append(centre.Hosts, fleet.Host{ID: spoke.HostID(fmt.Sprintf("%s-entry%d", name, i)), Tune: shortenDrain})
		centre.Upstreams = append(centre.Upstreams, fleet.Upstream{
			ID: spoke.UpstreamID(fmt.Sprintf("%s-engine%d", name, i)), Service: Language, Kind: fleet.KindEngine,
			ChecksFencing: true,
			Arguments: []string{
				"--model", string(Model) + "=" + string(FirstVersion), "--max-batch", "4",
				"--cache-size", formatBytes(demoCacheSize), "--block-size", formatBytes(demoBlockSize),
			},
		})
	}
	centre.Upstreams = append(centre.Upstreams, fleet.Upstream{
		ID: spoke.UpstreamID(name + "-booking"), Service: Booking, Kind: fleet.KindPlain,
	})
	centre.Stores = []fleet.Store{{
		ID: spoke.StoreHostID(name + "-store"), Service: Language, Memory: demoStoreCapacity, Disk: demoStoreCapacity, LinkRate: demoStoreCapacity,
		Arguments: []string{"--link-rate", strconv.Itoa(demoStoreCapacity)},
	}}
	return centre
}

// shortenDrain sets a short drain delay, since no load balancer needs time to take a trial host out of rotation.
func shortenDrain(settings *config.Entry) { settings.DrainDelay = trialDrainDelay }

func formatBytes(size spoke.ByteSize) string { return strconv.FormatInt(int64(size), 10) }
