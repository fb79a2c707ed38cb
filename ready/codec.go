package ready

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

type lineJSON struct {
	Ready     bool              `json:"ready"`
	Addresses map[string]string `json:"addresses"`
}

func encode(line Line) ([]byte, error) {
	raw := lineJSON{Ready: true, Addresses: make(map[string]string, len(line.Addresses))}
	for listener, address := range line.Addresses {
		raw.Addresses[string(listener)] = string(address)
	}
	text, err := json.Marshal(raw)
	return text, eris.Wrap(err, "encode ready line")
}

func decode(text []byte) (Line, bool) {
	var raw lineJSON
	if json.Unmarshal(text, &raw) != nil || !raw.Ready {
		return Line{}, false
	}
	line := Line{Addresses: make(map[Listener]spoke.Address, len(raw.Addresses))}
	for listener, address := range raw.Addresses {
		line.Addresses[Listener(listener)] = spoke.Address(address)
	}
	return line, true
}
