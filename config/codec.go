package config

import (
	"bytes"

	"github.com/BurntSushi/toml"
	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

const (
	keyHost            = "host-id"
	keyRegion          = "region"
	keyDataCentre      = "data-centre"
	keyCaller          = "caller-address"
	keyInternal        = "internal-address"
	keyAdmin           = "admin-address"
	keyMetrics         = "metrics-address"
	keyPlatform        = "platform-address"
	keyPeers           = "peers"
	keyAddress         = "address"
	keyPeerSecret      = "peer-secret"
	keyAdminKeys       = "admin-key-hashes"
	keyOrderCredential = "order-credential"
	keyLogLevel        = "log-level"
	keyDrainDelay      = "drain-delay"
	keyDrainDeadline   = "drain-deadline"
	keyEventCapacity   = "event-capacity"
	keyMaxProcessors   = "max-processors"
	keyHeartbeat       = "heartbeat-interval"
	keySuspectAfter    = "suspect-after"
	keyRemoveAfter     = "remove-after"
	keyAdmission       = "admission"
	keyRouting         = "routing"
	keyImports         = "imports"
)

type (
	rawPeer struct {
		Host       string `toml:"host-id"`
		DataCentre string `toml:"data-centre"`
		Address    string `toml:"address"`
	}

	rawEntry struct {
		Host            string    `toml:"host-id"`
		Region          string    `toml:"region"`
		DataCentre      string    `toml:"data-centre"`
		Caller          string    `toml:"caller-address"`
		Internal        string    `toml:"internal-address"`
		Admin           string    `toml:"admin-address"`
		Metrics         string    `toml:"metrics-address"`
		Platform        string    `toml:"platform-address"`
		PeerSecret      string    `toml:"peer-secret"`
		AdminKeys       []string  `toml:"admin-key-hashes"`
		OrderCredential string    `toml:"order-credential"`
		LogLevel        string    `toml:"log-level"`
		DrainDelay      string    `toml:"drain-delay"`
		DrainDeadline   string    `toml:"drain-deadline"`
		EventCapacity   int       `toml:"event-capacity"`
		MaxProcessors   int       `toml:"max-processors"`
		Heartbeat       string    `toml:"heartbeat-interval"`
		SuspectAfter    string    `toml:"suspect-after"`
		RemoveAfter     string    `toml:"remove-after"`
		Admission       string    `toml:"admission"`
		Routing         string    `toml:"routing"`
		Imports         string    `toml:"imports"`
		Peers           []rawPeer `toml:"peers"`
	}
)

// Encode returns the TOML form of settings without validating them.
func Encode(entry Entry) ([]byte, error) {
	raw := rawEntry{
		Host:            string(entry.Host),
		Region:          string(entry.Region),
		DataCentre:      string(entry.DataCentre),
		Caller:          string(entry.Caller),
		Internal:        string(entry.Internal),
		Admin:           string(entry.Admin),
		Metrics:         string(entry.Metrics),
		Platform:        string(entry.Platform),
		PeerSecret:      string(entry.PeerSecret),
		AdminKeys:       encodeKeys(entry.AdminKeys),
		OrderCredential: string(entry.OrderCredential),
		LogLevel:        entry.LogLevel.String(),
		DrainDelay:      entry.DrainDelay.String(),
		DrainDeadline:   entry.DrainDeadline.String(),
		EventCapacity:   entry.EventCapacity,
		MaxProcessors:   entry.MaxProcessors,
		Heartbeat:       entry.HeartbeatInterval.String(),
		SuspectAfter:    entry.SuspectAfter.String(),
		RemoveAfter:     entry.RemoveAfter.String(),
		Admission:       string(entry.Admission),
		Routing:         string(entry.Routing),
		Imports:         string(entry.Imports),
		Peers:           encodePeers(entry.Peers),
	}
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(raw); err != nil {
		return nil, eris.Wrapf(err, "encode settings of host %q", entry.Host)
	}
	return text.Bytes(), nil
}

func encodeKeys(hashes []spoke.KeyHash) []string {
	texts := make([]string, 0, len(hashes))
	for _, hash := range hashes {
		texts = append(texts, string(hash))
	}
	return texts
}

func encodePeers(peers []Peer) []rawPeer {
	raw := make([]rawPeer, 0, len(peers))
	for _, peer := range peers {
		raw = append(raw, rawPeer{
			Host:       string(peer.Host),
			DataCentre: string(peer.DataCentre),
			Address:    string(peer.Address),
		})
	}
	return raw
}
