package tool

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/events"
	"magnoliaspoke.example/spoke/logs"
)

type (
	changeCodec struct {
		Path string          `json:"path"`
		Old  json.RawMessage `json:"old,omitempty"`
		New  json.RawMessage `json:"new,omitempty"`
	}

	hostStateCodec struct {
		Host  string `json:"host"`
		State string `json:"state"`
	}

	lateCodec struct {
		Route   string         `json:"route"`
		Streams int            `json:"streams"`
		Causes  map[string]int `json:"causes"`
		// OffMs is how much later than expected first events came, at p10, p50 and p90.
		OffMs [3]int64 `json:"first-event-off-ms"`
	}

	explanationCodec struct {
		Request string           `json:"request"`
		Hosts   []hostStateCodec `json:"hosts"`
		Events  json.RawMessage  `json:"events"`
	}
)

func (s *session) writeJSON(value any) error {
	encoder := json.NewEncoder(s.output)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(value), "write JSON")
}

func encodeChanges(changes []change) []changeCodec {
	raw := make([]changeCodec, 0, len(changes))
	for _, each := range changes {
		raw = append(raw, changeCodec{each.path, json.RawMessage(each.old), json.RawMessage(each.new)})
	}
	return raw
}

func encodeExplanation(id spoke.RequestID, reports []spoke.RequestReport, merged []spoke.Event) (explanationCodec, error) {
	raw := explanationCodec{Request: string(id), Hosts: []hostStateCodec{}}
	for _, report := range reports {
		raw.Hosts = append(raw.Hosts, hostStateCodec{string(report.Host), report.State})
	}
	list, err := events.Encode(merged)
	raw.Events = list
	return raw, err
}

func encodeLate(routes []logs.LateRoute) []lateCodec {
	raw := make([]lateCodec, 0, len(routes))
	for _, route := range routes {
		row := lateCodec{Route: string(route.Route), Streams: route.Streams, Causes: make(map[string]int)}
		for cause, count := range route.Causes {
			row.Causes[string(cause)] = count
		}
		for i, off := range route.Lateness {
			row.OffMs[i] = off.Milliseconds()
		}
		raw = append(raw, row)
	}
	return raw
}
