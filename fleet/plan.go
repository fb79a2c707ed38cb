package fleet

import (
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/check"
	"magnoliaspoke.example/spoke/config"
)

const (
	// KindPlatform is the stand-in of the key-value service.
	KindPlatform StandinKind = "platform"
	// KindEngine is the stand-in of a model engine.
	KindEngine StandinKind = "engine"
	// KindPlain is the stand-in of a plain service.
	KindPlain StandinKind = "plain"
	// KindStore is the stand-in of a store host.
	KindStore StandinKind = "store"

	// PlatformName is the process name of the platform.
	PlatformName = "platform"
)

type (
	// PartKind names a kind of stand-in.
	StandinKind string

	// Plan describes a set-up on loopback.
	Plan struct {
		// EntryProgram and StandinProgram are paths of the programs.
		EntryProgram   string
		StandinProgram string
		// Directory takes settings and logs; it must exist.
		Directory string
		// Lifetime bounds every process; zero means DefaultLifetime.
		Lifetime time.Duration

		DataCentres []DataCentre
		// PlatformArguments are added to the platform's command line.
		PlatformArguments []string
		// Objects are the services, workspaces, ranks and models of the first ticket.
		Objects []spoke.Object

		// AdminKey opens the administration API; an empty one is chosen at random.
		AdminKey string
		// OrderCredential authenticates orders; an empty one is chosen at random.
		OrderCredential string
		// DirectPeers connects the hosts of one data centre without relays. Each host then
		// knows those that started before it, and only heartbeats tell it of the others.
		DirectPeers bool
	}

	// DataCentre describes the parts of a data centre; the order of data centres gives each
	// one a loopback address of its own.
	DataCentre struct {
		ID        spoke.DataCentreID
		Region    spoke.RegionID
		Hosts     []Host
		Upstreams []Upstream
		Stores    []Store
	}

	// Host describes an entry host.
	Host struct {
		ID spoke.HostID
		// Tune changes the generated settings; nil leaves them.
		Tune func(*config.Entry)
	}

	// Upstream describes an engine or a plain service.
	Upstream struct {
		ID      spoke.UpstreamID
		Service spoke.ServiceName
		// Kind is KindEngine or KindPlain.
		Kind          StandinKind
		ChecksFencing bool
		ChecksCaller  bool
		Arguments     []string
		// Relayed puts a relay in front of the upstream.
		Relayed bool
	}

	// Store describes a store host.
	Store struct {
		ID        spoke.StoreHostID
		Service   spoke.ServiceName
		Memory    spoke.ByteSize
		Disk      spoke.ByteSize
		LinkRate  spoke.ByteRate
		Arguments []string
		// Relayed puts a relay in front of the store host.
		Relayed bool
	}
)

// Validate reports everything that keeps the plan from being started.
func (p Plan) Validate() error {
	var report check.Report
	requireText(&report, "entry-program", p.EntryProgram)
	requireText(&report, "standin-program", p.StandinProgram)
	requireText(&report, "directory", p.Directory)
	if len(p.DataCentres) == 0 {
		report.Addf("data-centres", "is empty")
	}
	if len(p.DataCentres) > maxDataCentres {
		report.Addf("data-centres", "has %d elements, want at most %d", len(p.DataCentres), maxDataCentres)
	}
	names := map[string]string{PlatformName: PlatformName}
	for _, centre := range p.DataCentres {
		place := "data-centre " + string(centre.ID)
		requireUnique(&report, names, place, string(centre.ID))
		for _, host := range centre.Hosts {
			requireUnique(&report, names, place+": host", string(host.ID))
		}
		for _, upstream := range centre.Upstreams {
			requireUnique(&report, names, place+": upstream", string(upstream.ID))
			if upstream.Kind != KindEngine && upstream.Kind != KindPlain {
				report.Addf(place+": upstream "+string(upstream.ID), "kind %q is neither %q nor %q", upstream.Kind, KindEngine, KindPlain)
			}
		}
		for _, store := range centre.Stores {
			requireUnique(&report, names, place+": store", string(store.ID))
		}
	}
	return report.Err()
}

func requireText(report *check.Report, place, text string) {
	if text == "" {
		report.Addf(place, "is empty")
	}
}

func requireUnique(report *check.Report, names map[string]string, place, name string) {
	requireText(report, place, name)
	if other, used := names[name]; used && name != "" {
		report.Addf(place, "name %q is also used by %s", name, other)
	}
	names[name] = place
}
