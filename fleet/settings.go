package fleet

import (
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/config"
	"magnoliaspoke.example/spoke/ready"
)

// hostCommand writes the settings file of a host and returns the command that starts the host
// with it.
func (s *Setup) hostCommand(centre int, host Host) (Command, error) {
	text, err := config.Encode(s.settings(centre, host))
	if err != nil {
		return Command{}, err
	}
	path := filepath.Join(s.plan.Directory, string(host.ID)+".toml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return Command{}, eris.Wrapf(err, "write settings of host %q", host.ID)
	}
	return s.plan.entryCommand(host.ID, path), nil
}

// settings returns the settings of a host: the defaults with the addresses and credentials of
// the set-up, modified by Host.Tune.
func (s *Setup) settings(index int, host Host) config.Entry {
	centre := s.plan.DataCentres[index]
	listen := listenAddress(index)
	entry := config.Defaults()
	entry.Host, entry.Region, entry.DataCentre = host.ID, centre.Region, centre.ID
	entry.Caller, entry.Internal, entry.Admin, entry.Metrics = listen, listen, listen, listen
	entry.Platform = s.platformRelayAddress(centre.ID)
	entry.Peers = s.peersOf(centre.ID, host.ID)
	entry.PeerSecret = config.Secret(s.peerSecret)
	entry.AdminKeys = []spoke.KeyHash{config.HashKey(s.plan.AdminKey)}
	entry.OrderCredential = config.Secret(s.plan.OrderCredential)
	if host.Tune != nil {
		host.Tune(&entry)
	}
	return entry
}

// platformRelayAddress returns the address at which a data centre reaches the platform.
func (s *Setup) platformRelayAddress(centre spoke.DataCentreID) spoke.Address {
	return s.links[[2]string{string(centre), PlatformName}][0].Address()
}

// peersOf returns the peers in the settings of a host: all other hosts whose address is known.
func (s *Setup) peersOf(from spoke.DataCentreID, self spoke.HostID) []config.Peer {
	var peers []config.Peer
	for _, centre := range s.plan.DataCentres {
		for _, host := range centre.Hosts {
			address := s.peerAddress(from, host.ID)
			if host.ID != self && address != "" {
				peers = append(peers, config.Peer{Host: host.ID, DataCentre: centre.ID, Address: address})
			}
		}
	}
	return peers
}

// peerAddress returns the address at which a data centre reaches a host. It is empty if there
// is no relay between them and the host does not run.
func (s *Setup) peerAddress(from spoke.DataCentreID, host spoke.HostID) spoke.Address {
	if peerRelay, ok := s.peerRelays[peerRoute{from, host}]; ok {
		return peerRelay.Address()
	}
	process, err := s.fleet.Process(string(host))
	if err != nil || !process.Running() {
		return ""
	}
	return process.Address(ready.Internal)
}
