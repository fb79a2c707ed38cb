package fleet

import (
	"slices"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/ready"
)

// Ticket returns a ticket with the plan's objects, its upstreams and its store hosts. Upstreams
// and store hosts have the addresses at which the set-up serves them.
func (s *Setup) Ticket(number spoke.TicketNumber, author string) (spoke.Ticket, error) {
	ticket := spoke.Ticket{Number: number, Author: author, Objects: slices.Clone(s.plan.Objects)}
	for _, centre := range s.plan.DataCentres {
		for _, upstream := range centre.Upstreams {
			address, err := s.Address(string(upstream.ID))
			if err != nil {
				return spoke.Ticket{}, err
			}
			ticket.Objects = append(ticket.Objects, upstream.object(centre.ID, address))
		}
		for _, store := range centre.Stores {
			address, err := s.Address(string(store.ID))
			if err != nil {
				return spoke.Ticket{}, err
			}
			ticket.Objects = append(ticket.Objects, store.object(centre.ID, address))
		}
	}
	return ticket, nil
}

// Address returns the address at which an upstream, a store host or the platform is reached:
// that of its relay if it has one, else that of its process.
func (s *Setup) Address(name string) (spoke.Address, error) {
	if link, err := s.LinkFrom(name, ""); err == nil {
		return link[0].Address(), nil
	}
	process, err := s.fleet.Process(name)
	if err != nil {
		return "", err
	}
	return process.Address(ready.Service), nil
}

func (u Upstream) object(centre spoke.DataCentreID, address spoke.Address) spoke.Upstream {
	return spoke.Upstream{
		ID:            u.ID,
		Service:       u.Service,
		DataCentre:    centre,
		Address:       address,
		State:         spoke.UpstreamServing,
		ChecksFencing: u.ChecksFencing,
		ChecksCaller:  u.ChecksCaller,
	}
}

func (s Store) object(centre spoke.DataCentreID, address spoke.Address) spoke.StoreHost {
	return spoke.StoreHost{
		ID:         s.ID,
		Service:    s.Service,
		DataCentre: centre,
		Address:    address,
		Memory:     s.Memory,
		Disk:       s.Disk,
		LinkRate:   s.LinkRate,
	}
}
