package ticket

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/check"
)

type (
	patternBody struct {
		Method     string `json:"method"`
		PathPrefix string `json:"path-prefix"`
	}

	serviceBody struct {
		Name          spoke.ServiceName `json:"name"`
		Kind          spoke.ServiceKind `json:"kind"`
		DefaultRank   spoke.RankName    `json:"default-rank"`
		NonRepeatable []patternBody     `json:"non-repeatable"`
	}

	workspaceBody struct {
		ID            spoke.WorkspaceID   `json:"id"`
		KeyHashes     []spoke.KeyHash     `json:"key-hashes"`
		Weight        float64             `json:"weight"`
		MaxConcurrent int                 `json:"max-concurrent"`
		Services      []spoke.ServiceName `json:"services"`
	}

	rankBody struct {
		Name               spoke.RankName `json:"name"`
		Order              int            `json:"order"`
		FirstTokenTargetMs int64          `json:"first-token-target-ms"`
		Floor              spoke.Share    `json:"floor"`
		Worth              float64        `json:"worth"`
	}

	modelBody struct {
		Name     spoke.ModelName     `json:"name"`
		Service  spoke.ServiceName   `json:"service"`
		Version  spoke.ModelVersion  `json:"version"`
		Adapters []spoke.AdapterName `json:"adapters"`
	}

	upstreamBody struct {
		ID            spoke.UpstreamID    `json:"id"`
		Service       spoke.ServiceName   `json:"service"`
		DataCentre    spoke.DataCentreID  `json:"data-centre"`
		Address       spoke.Address       `json:"address"`
		State         spoke.UpstreamState `json:"state"`
		ChecksFencing bool                `json:"checks-fencing"`
		ChecksCaller  bool                `json:"checks-caller"`
	}

	storeHostBody struct {
		ID         spoke.StoreHostID  `json:"id"`
		Service    spoke.ServiceName  `json:"service"`
		DataCentre spoke.DataCentreID `json:"data-centre"`
		Address    spoke.Address      `json:"address"`
		Memory     spoke.ByteSize     `json:"memory-bytes"`
		Disk       spoke.ByteSize     `json:"disk-bytes"`
		LinkRate   spoke.ByteRate     `json:"link-bytes-per-second"`
	}
)

// encodeObject returns the JSON form of an object without its kind. Equal objects give equal bytes.
func encodeObject(object spoke.Object) (json.RawMessage, error) {
	body, err := objectBody(object)
	if err != nil {
		return nil, err
	}
	raw, err := json.Marshal(body)
	return raw, eris.Wrapf(err, "object %s", object.Key())
}

func objectBody(object spoke.Object) (any, error) {
	switch o := object.(type) {
	case spoke.Service:
		patterns := make([]patternBody, 0, len(o.NonRepeatable))
		for _, pattern := range o.NonRepeatable {
			patterns = append(patterns, patternBody(pattern))
		}
		return serviceBody{o.Name, o.Kind, o.DefaultRank, patterns}, nil
	case spoke.Workspace:
		return workspaceBody{o.ID, emptyIfNil(o.KeyHashes), o.Weight, o.MaxConcurrent, emptyIfNil(o.Services)}, nil
	case spoke.Rank:
		return rankBody{o.Name, o.Order, o.FirstTokenTarget.Milliseconds(), o.Floor, o.Worth}, nil
	case spoke.Model:
		return modelBody{o.Name, o.Service, o.Version, emptyIfNil(o.Adapters)}, nil
	case spoke.Upstream:
		return upstreamBody(o), nil
	case spoke.StoreHost:
		return storeHostBody(o), nil
	default:
		return nil, eris.Errorf("object of unknown type %T", object)
	}
}

// decodeObject decodes the value of an object of the given kind. If it is malformed, decodeObject
// adds findings at place and returns nil.
func decodeObject(report *check.Report, place string, kind spoke.ObjectKind, raw json.RawMessage) spoke.Object {
	before := len(report.Findings)
	if raw == nil {
		report.Addf(place+".value", "is missing")
		return nil
	}
	object := decodeKind(report, place, kind, raw)
	if len(report.Findings) > before {
		return nil
	}
	return object
}

func decodeKind(report *check.Report, place string, kind spoke.ObjectKind, raw json.RawMessage) spoke.Object {
	switch kind {
	case spoke.KindService:
		return decodeService(report, place, raw)
	case spoke.KindWorkspace:
		var b workspaceBody
		decodeFields(report, place+".value", raw, &b)
		return spoke.Workspace{ID: b.ID, KeyHashes: nilIfEmpty(b.KeyHashes), Weight: b.Weight,
			MaxConcurrent: b.MaxConcurrent, Services: nilIfEmpty(b.Services)}
	case spoke.KindRank:
		var b rankBody
		decodeFields(report, place+".value", raw, &b)
		target := time.Duration(b.FirstTokenTargetMs) * time.Millisecond
		return spoke.Rank{Name: b.Name, Order: b.Order, FirstTokenTarget: target, Floor: b.Floor, Worth: b.Worth}
	case spoke.KindModel:
		var b modelBody
		decodeFields(report, place+".value", raw, &b)
		return spoke.Model{Name: b.Name, Service: b.Service, Version: b.Version, Adapters: nilIfEmpty(b.Adapters)}
	case spoke.KindUpstream:
		var b upstreamBody
		decodeFields(report, place+".value", raw, &b)
		return spoke.Upstream(b)
	case spoke.KindStoreHost:
		var b storeHostBody
		decodeFields(report, place+".value", raw, &b)
		return spoke.StoreHost(b)
	default:
		report.Addf(place+".kind", "unknown kind %q", kind)
		return nil
	}
}

func decodeService(report *check.Report, place string, raw json.RawMessage) spoke.Object {
	var b serviceBody
	decodeFields(report, place+".value", raw, &b)
	var patterns []spoke.CallPattern
	for _, pattern := range b.NonRepeatable {
		patterns = append(patterns, spoke.CallPattern(pattern))
	}
	return spoke.Service{Name: b.Name, Kind: b.Kind, DefaultRank: b.DefaultRank, NonRepeatable: patterns}
}

// emptyIfNil makes nil and empty lists encode alike, so that equal objects have equal encodings.
func emptyIfNil[T any](items []T) []T {
	if items == nil {
		return []T{}
	}
	return items
}

func nilIfEmpty[T any](items []T) []T {
	if len(items) == 0 {
		return nil
	}
	return items
}
