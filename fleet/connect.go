package fleet

import (
	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/ready"
	"magnoliaspoke.example/spoke/relay"
)

// openRelays opens all relays, so that their ports are known before the first process starts.
func (s *Setup) openRelays() error {
	for i, from := range s.plan.DataCentres {
		if _, err := s.openRelay(listenAddress(i), string(from.ID), PlatformName, PlatformName); err != nil {
			return err
		}
		if err := s.openHostRelays(i); err != nil {
			return err
		}
		if err := s.openBackEndRelays(i); err != nil {
			return err
		}
	}
	return nil
}

// openHostRelays opens a relay from a data centre to each host that it reaches through one.
func (s *Setup) openHostRelays(index int) error {
	from := s.plan.DataCentres[index]
	for _, to := range s.plan.DataCentres {
		if to.ID == from.ID && s.plan.DirectPeers {
			continue
		}
		for _, host := range to.Hosts {
			opened, err := s.openRelay(listenAddress(index), string(from.ID), string(to.ID), string(host.ID))
			if err != nil {
				return err
			}
			s.peerRelays[peerRoute{from.ID, host.ID}] = opened
		}
	}
	return nil
}

// openBackEndRelays opens a relay in front of each upstream and store host of a data centre
// that is marked as relayed.
func (s *Setup) openBackEndRelays(index int) error {
	centre := s.plan.DataCentres[index]
	var names []string
	for _, upstream := range centre.Upstreams {
		if upstream.Relayed {
			names = append(names, string(upstream.ID))
		}
	}
	for _, store := range centre.Stores {
		if store.Relayed {
			names = append(names, string(store.ID))
		}
	}
	for _, name := range names {
		if _, err := s.openRelay(listenAddress(index), name, "", name); err != nil {
			return err
		}
	}
	return nil
}

// openRelay opens a relay in front of a process and adds it to the link between two sides.
func (s *Setup) openRelay(listen spoke.Address, from, to, process string) (*relay.Relay, error) {
	opened, err := relay.New(listen, "")
	if err != nil {
		return nil, err
	}
	key := [2]string{from, to}
	s.links[key] = append(s.links[key], opened)
	s.relays[process] = append(s.relays[process], opened)
	return opened, nil
}

// registerCommands stores for each process how to build its command.
func (s *Setup) registerCommands() {
	s.registerStandin(standinSpec{KindPlatform, PlatformName, platformAddress, s.plan.PlatformArguments})
	for i, centre := range s.plan.DataCentres {
		listen := listenAddress(i)
		for _, upstream := range centre.Upstreams {
			s.registerStandin(standinSpec{upstream.Kind, string(upstream.ID), listen, upstream.Arguments})
		}
		for _, store := range centre.Stores {
			s.registerStandin(standinSpec{KindStore, string(store.ID), listen, store.Arguments})
		}
		for _, host := range centre.Hosts {
			s.commands[string(host.ID)] = func() (Command, error) { return s.hostCommand(i, host) }
		}
	}
}

// registerStandin stores how to build the command of a stand-in. A stand-in without a relay
// restarts on its previous port, because its clients use that port directly.
func (s *Setup) registerStandin(spec standinSpec) {
	s.commands[spec.name] = func() (Command, error) {
		next := spec
		previous, err := s.fleet.Process(spec.name)
		if err == nil && len(s.relays[spec.name]) == 0 {
			next.listen = previous.Address(ready.Service)
		}
		return s.plan.standinCommand(next), nil
	}
}

// backEnds returns the names of all upstreams and store hosts in the order of the plan.
func (s *Setup) backEnds() []string {
	var names []string
	for _, centre := range s.plan.DataCentres {
		for _, upstream := range centre.Upstreams {
			names = append(names, string(upstream.ID))
		}
		for _, store := range centre.Stores {
			names = append(names, string(store.ID))
		}
	}
	return names
}

func (s *Setup) hosts() []string {
	var names []string
	for _, centre := range s.plan.DataCentres {
		for _, host := range centre.Hosts {
			names = append(names, string(host.ID))
		}
	}
	return names
}
