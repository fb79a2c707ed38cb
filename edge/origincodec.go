package edge

import (
	"encoding/json"

	"magnoliaspoke.example/spoke"
)

// originBody is the answer to a host that asks at which software version a stream began.
type originBody struct {
	Version string `json:"version"`
}

func encodeOrigin(software spoke.SoftwareVersion) []byte {
	// The type always encodes.
	raw, _ := json.Marshal(originBody{Version: string(software)})
	return raw
}

// decodeOrigin returns the software version of an answer, empty if it cannot be decoded.
func decodeOrigin(raw []byte) spoke.SoftwareVersion {
	var body originBody
	if json.Unmarshal(raw, &body) != nil {
		return ""
	}
	return spoke.SoftwareVersion(body.Version)
}
