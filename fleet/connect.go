package fleet

import (
	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/ready"
	"magnoliaspoke.example/spoke/relay"
)

// connect opens all relays, so that their ports are known before the first start.
func (s *Setup) connect() error {
	for i, from := range s.plan.DataCentres {
		if _, err := s.open(listenAddress(i), string(from.ID), PlatformName, PlatformName); err != nil {
			return err
		}
		if err := s.connectHosts(i); err != nil {
			return err
		}
		if err := s.connectBackEnds(i); err != nil {
			return err
		}
	}
	return nil
}

// connectHosts opens a relay from one data centre to each host.
func (s *Setup) connectHosts(index int) error {
	from := s.plan.DataCentres[index]
	for _, to := range s.plan.DataCentres {
		if to.ID == from.ID && s.plan.DirectPeers {
			continue
		}
		for _, host := range to.Hosts {
			opened, err := s.open(listenAddress(index), string(from.ID), string(to.ID), string(host.ID))
			if err != nil {
				return err
			}
			s.peers[peerRoute{from.ID, host.ID}] = opened
		}
	}
	return nil
}

func (s *Setup) connectBackEnds(index int) error {
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
		if _, err := s.open(listenAddress(index), name, "", name); err != nil {
			return err
		}
	}
	return nil
}

// open adds a relay in front of a process to the link between two sides.
func (s *Setup) open(listen spoke.Address, from, to, process string) (*relay.Relay, error) {
	opened, err := relay.New(listen, "")
	if err != nil {
		return nil, err
	}
	key := [2]string{from, to}
	s.links[key] = append(s.links[key], opened)
	s.relays[process] = append(s.relays[process], opened)
	return opened, nil
}

// register keeps for each part how to start it.
func (s *Setup) register() {
	s.registerPart(part{KindPlatform, PlatformName, platformAddress, s.plan.PlatformArguments})
	for i, centre := range s.plan.DataCentres {
		listen := listenAddress(i)
		for _, upstream := range centre.Upstreams {
			s.registerPart(part{upstream.Kind, string(upstream.ID), listen, upstream.Arguments})
		}
		for _, store := range centre.Stores {
			s.registerPart(part{KindStore, string(store.ID), listen, store.Arguments})
		}
		for _, host := range centre.Hosts {
			s.commands[string(host.ID)] = func() (Command, error) { return s.hostCommand(i, host) }
		}
	}
}

// registerPart starts a part again on its first port if no relay hides a change of it.
func (s *Setup) registerPart(stand part) {
	s.commands[stand.name] = func() (Command, error) {
		next := stand
		former, err := s.fleet.Process(stand.name)
		if err == nil && len(s.relays[stand.name]) == 0 {
			next.listen = former.Address(ready.Service)
		}
		return s.plan.standinCommand(next), nil
	}
}

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
