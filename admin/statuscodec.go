package admin

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

type (
	hostJSON struct {
		ID          string    `json:"host-id"`
		Region      string    `json:"region"`
		DataCentre  string    `json:"data-centre"`
		Ready       bool      `json:"ready"`
		Draining    bool      `json:"draining"`
		Number      uint64    `json:"ticket"`
		Incarnation uint64    `json:"incarnation"`
		Started     time.Time `json:"started"`
		Requests    int       `json:"requests"`
	}

	peerJSON struct {
		ID          string `json:"host-id"`
		DataCentre  string `json:"data-centre"`
		Address     string `json:"address"`
		Incarnation uint64 `json:"incarnation"`
		State       string `json:"state"`
		Number      uint64 `json:"ticket"`
	}

	upstreamJSON struct {
		ID            string            `json:"upstream-id"`
		Service       string            `json:"service"`
		DataCentre    string            `json:"data-centre"`
		Address       string            `json:"address"`
		State         string            `json:"state"`
		ChecksFencing bool              `json:"checks-fencing"`
		ChecksCaller  bool              `json:"checks-caller"`
		Owner         string            `json:"owner"`
		Queued        int               `json:"queued"`
		Running       int               `json:"running"`
		Limit         int               `json:"limit"`
		ExpectedWait  int64             `json:"expected-wait-ns"`
		Versions      map[string]string `json:"versions"`
		Draining      bool              `json:"draining"`
		Dead          bool              `json:"dead"`
		AsOf          time.Time         `json:"as-of"`
	}

	cacheJSON struct {
		Upstream string `json:"upstream-id"`
		Indexed  bool   `json:"indexed"`
		Blocks   int    `json:"blocks"`
		Used     int64  `json:"used"`
		Size     int64  `json:"size"`
	}

	storeJSON struct {
		ID        string  `json:"store-host-id"`
		Service   string  `json:"service"`
		Reachable bool    `json:"reachable"`
		LinkRate  float64 `json:"link-rate"`
		LinkQueue int64   `json:"link-queue"`
	}

	statusJSON struct {
		Host      hostJSON       `json:"host"`
		Peers     []peerJSON     `json:"peers"`
		Upstreams []upstreamJSON `json:"upstreams"`
		Caches    []cacheJSON    `json:"caches"`
		Stores    []storeJSON    `json:"stores"`
	}
)

func encodeStatus(status spoke.Status) ([]byte, error) {
	raw := statusJSON{
		Host:      encodeHost(status.Host),
		Peers:     convert(status.Peers, encodePeer),
		Upstreams: convert(status.Upstreams, encodeUpstream),
		Caches:    convert(status.Caches, encodeCache),
		Stores:    convert(status.Stores, encodeStore),
	}
	return marshal(raw, "status")
}

func decodeStatus(text []byte) (spoke.Status, error) {
	var raw statusJSON
	if err := json.Unmarshal(text, &raw); err != nil {
		return spoke.Status{}, eris.Wrap(err, "decode status")
	}
	return spoke.Status{
		Host:      decodeHost(raw.Host),
		Peers:     convert(raw.Peers, decodePeer),
		Upstreams: convert(raw.Upstreams, decodeUpstream),
		Caches:    convert(raw.Caches, decodeCache),
		Stores:    convert(raw.Stores, decodeStore),
	}, nil
}

func convert[A, B any](list []A, each func(A) B) []B {
	converted := make([]B, 0, len(list))
	for _, element := range list {
		converted = append(converted, each(element))
	}
	return converted
}

func encodeHost(h spoke.HostStatus) hostJSON {
	return hostJSON{
		string(h.ID), string(h.Region), string(h.DataCentre), h.Ready, h.Draining,
		uint64(h.Number), uint64(h.Incarnation), h.Started, h.Requests,
	}
}

func decodeHost(h hostJSON) spoke.HostStatus {
	return spoke.HostStatus{
		ID: spoke.HostID(h.ID), Region: spoke.RegionID(h.Region), DataCentre: spoke.DataCentreID(h.DataCentre),
		Ready: h.Ready, Draining: h.Draining, Number: spoke.TicketNumber(h.Number),
		Incarnation: spoke.Incarnation(h.Incarnation), Started: h.Started, Requests: h.Requests,
	}
}

func encodePeer(p spoke.Peer) peerJSON {
	return peerJSON{
		string(p.ID), string(p.DataCentre), string(p.Address),
		uint64(p.Incarnation), string(p.State), uint64(p.Digest.Number),
	}
}

func decodePeer(p peerJSON) spoke.Peer {
	return spoke.Peer{
		ID: spoke.HostID(p.ID), DataCentre: spoke.DataCentreID(p.DataCentre), Address: spoke.Address(p.Address),
		Incarnation: spoke.Incarnation(p.Incarnation), State: spoke.PeerState(p.State),
		Digest: spoke.Digest{Number: spoke.TicketNumber(p.Number)},
	}
}

func encodeUpstream(v spoke.UpstreamView) upstreamJSON {
	versions := make(map[string]string, len(v.Load.Versions))
	for model, version := range v.Load.Versions {
		versions[string(model)] = string(version)
	}
	return upstreamJSON{
		ID: string(v.Upstream.ID), Service: string(v.Upstream.Service), DataCentre: string(v.Upstream.DataCentre),
		Address: string(v.Upstream.Address), State: string(v.Upstream.State),
		ChecksFencing: v.Upstream.ChecksFencing, ChecksCaller: v.Upstream.ChecksCaller, Owner: string(v.Owner),
		Queued: v.Load.Queued, Running: v.Load.Running, Limit: v.Load.Limit,
		ExpectedWait: int64(v.Load.ExpectedWait), Versions: versions,
		Draining: v.Load.Draining, Dead: v.Load.Dead, AsOf: v.Load.AsOf,
	}
}

func decodeUpstream(u upstreamJSON) spoke.UpstreamView {
	versions := make(map[spoke.ModelName]spoke.ModelVersion, len(u.Versions))
	for model, version := range u.Versions {
		versions[spoke.ModelName(model)] = spoke.ModelVersion(version)
	}
	return spoke.UpstreamView{
		Upstream: spoke.Upstream{
			ID: spoke.UpstreamID(u.ID), Service: spoke.ServiceName(u.Service),
			DataCentre: spoke.DataCentreID(u.DataCentre), Address: spoke.Address(u.Address),
			State: spoke.UpstreamState(u.State), ChecksFencing: u.ChecksFencing, ChecksCaller: u.ChecksCaller,
		},
		Owner: spoke.HostID(u.Owner),
		Load: spoke.LoadSummary{
			Queued: u.Queued, Running: u.Running, Limit: u.Limit,
			ExpectedWait: time.Duration(u.ExpectedWait), Versions: versions,
			Draining: u.Draining, Dead: u.Dead, AsOf: u.AsOf,
		},
	}
}

func encodeCache(c spoke.CacheStatus) cacheJSON {
	return cacheJSON{string(c.Upstream), c.Indexed, c.Blocks, int64(c.Used), int64(c.Size)}
}

func decodeCache(c cacheJSON) spoke.CacheStatus {
	return spoke.CacheStatus{
		Upstream: spoke.UpstreamID(c.Upstream), Indexed: c.Indexed, Blocks: c.Blocks,
		Used: spoke.ByteSize(c.Used), Size: spoke.ByteSize(c.Size),
	}
}

func encodeStore(s spoke.StoreStatus) storeJSON {
	return storeJSON{string(s.Store), string(s.Service), s.Reachable, float64(s.LinkRate), int64(s.LinkQueue)}
}

func decodeStore(s storeJSON) spoke.StoreStatus {
	return spoke.StoreStatus{
		Store: spoke.StoreHostID(s.ID), Service: spoke.ServiceName(s.Service), Reachable: s.Reachable,
		LinkRate: spoke.ByteRate(s.LinkRate), LinkQueue: spoke.ByteSize(s.LinkQueue),
	}
}
