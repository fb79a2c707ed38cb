package tool

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/events"
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
