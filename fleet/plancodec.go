package fleet

import (
	"github.com/BurntSushi/toml"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/check"
)

type (
	planCodec struct {
		Platform    []string          `toml:"platform-arguments"`
		DirectPeers bool              `toml:"direct-peers"`
		DataCentres []dataCentreCodec `toml:"data-centres"`
	}

	dataCentreCodec struct {
		ID        string          `toml:"id"`
		Region    string          `toml:"region"`
		Hosts     []string        `toml:"hosts"`
		Upstreams []upstreamCodec `toml:"upstreams"`
		Stores    []storeCodec    `toml:"stores"`
	}

	upstreamCodec struct {
		ID            string   `toml:"id"`
		Service       string   `toml:"service"`
		Kind          string   `toml:"kind"`
		ChecksFencing bool     `toml:"checks-fencing"`
		ChecksCaller  bool     `toml:"checks-caller"`
		Arguments     []string `toml:"arguments"`
		Relayed       bool     `toml:"relayed"`
	}

	storeCodec struct {
		ID        string   `toml:"id"`
		Service   string   `toml:"service"`
		Memory    int64    `toml:"memory"`
		Disk      int64    `toml:"disk"`
		LinkRate  float64  `toml:"link-rate"`
		Arguments []string `toml:"arguments"`
		Relayed   bool     `toml:"relayed"`
	}
)

// DecodePlan reads the data centres of a plan from TOML; programs, directory and objects
// are left to the caller.
func DecodePlan(file string, text []byte) (Plan, error) {
	var raw planCodec
	var report check.Report
	meta, err := toml.Decode(string(text), &raw)
	if err != nil {
		report.Addf(file, "%v", err)
		return Plan{}, report.Err()
	}
	for _, key := range meta.Undecoded() {
		report.Addf(file+": "+key.String(), "is not a known key")
	}
	plan := Plan{PlatformArguments: raw.Platform, DirectPeers: raw.DirectPeers}
	for _, centre := range raw.DataCentres {
		plan.DataCentres = append(plan.DataCentres, decodeCentre(centre))
	}
	return plan, report.Err()
}

func decodeCentre(raw dataCentreCodec) DataCentre {
	centre := DataCentre{ID: spoke.DataCentreID(raw.ID), Region: spoke.RegionID(raw.Region)}
	for _, host := range raw.Hosts {
		centre.Hosts = append(centre.Hosts, Host{ID: spoke.HostID(host)})
	}
	for _, upstream := range raw.Upstreams {
		centre.Upstreams = append(centre.Upstreams, Upstream{
			ID:            spoke.UpstreamID(upstream.ID),
			Service:       spoke.ServiceName(upstream.Service),
			Kind:          StandinKind(upstream.Kind),
			ChecksFencing: upstream.ChecksFencing,
			ChecksCaller:  upstream.ChecksCaller,
			Arguments:     upstream.Arguments,
			Relayed:       upstream.Relayed,
		})
	}
	for _, store := range raw.Stores {
		centre.Stores = append(centre.Stores, Store{
			ID:        spoke.StoreHostID(store.ID),
			Service:   spoke.ServiceName(store.Service),
			Memory:    spoke.ByteSize(store.Memory),
			Disk:      spoke.ByteSize(store.Disk),
			LinkRate:  spoke.ByteRate(store.LinkRate),
			Arguments: store.Arguments,
			Relayed:   store.Relayed,
		})
	}
	return centre
}
