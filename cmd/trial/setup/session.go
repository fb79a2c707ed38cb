package setup

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/admin"
	"magnoliaspoke.example/spoke/cmd/trial/load"
	"magnoliaspoke.example/spoke/cmd/trial/plans"
	"magnoliaspoke.example/spoke/events"
	"magnoliaspoke.example/spoke/fleet"
	"magnoliaspoke.example/spoke/ready"
	"magnoliaspoke.example/spoke/ticket"
)

const (
	// readyTimeout bounds the wait for each host to become ready.
	readyTimeout = 20 * time.Second
	// PollPeriod is the time between polls while waiting for a state.
	PollPeriod = 20 * time.Millisecond
	author     = "trial"
)

type (
	// Session is a running set-up whose first ticket is in force.
	Session struct {
		// Fleet controls the processes and links of the set-up.
		Fleet *fleet.Setup
		// Ticket is the last submitted ticket.
		Ticket    spoke.Ticket
		directory string
	}
)

// Start launches a plan, submits the first ticket and waits until every host is ready.
func Start(ctx context.Context, plan fleet.Plan) (*Session, error) {
	directory, err := os.MkdirTemp("", "trial-")
	if err != nil {
		return nil, eris.Wrap(err, "create temporary directory")
	}
	plan.Directory = directory
	plan, err = plans.WithPrograms(plan)
	if err != nil {
		return nil, err
	}
	launched, err := fleet.Launch(ctx, plan)
	if err != nil {
		return nil, err
	}
	s := &Session{Fleet: launched, directory: directory}
	if err := s.configure(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Session) configure(ctx context.Context) error {
	first, err := s.Fleet.Ticket(1, author)
	if err != nil {
		return err
	}
	s.Ticket = first
	if err := s.Submit(ctx, first); err != nil {
		return err
	}
	for _, host := range s.Hosts() {
		if err := s.WaitReady(ctx, host); err != nil {
			return err
		}
	}
	return nil
}

// Submit sends a ticket to the first running host.
func (s *Session) Submit(ctx context.Context, t spoke.Ticket) error {
	body, err := ticket.EncodeTicket(t)
	if err != nil {
		return err
	}
	client, err := s.AdminClient(s.RunningHosts()[0])
	if err != nil {
		return err
	}
	_, err = client.Submit(ctx, body)
	return err
}

// SubmitChange submits the next ticket with the given objects.
func (s *Session) SubmitChange(ctx context.Context, objects ...spoke.Object) error {
	s.Ticket = spoke.Ticket{Number: s.Ticket.Number + 1, Author: author, Objects: objects}
	return s.Submit(ctx, s.Ticket)
}

// WaitReady waits until a host has the last ticket in force and reports every upstream as alive, with an
// owner and a load. It returns an error after readyTimeout.
func (s *Session) WaitReady(ctx context.Context, host spoke.HostID) error {
	client, err := s.AdminClient(host)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		status, err := client.Status(ctx)
		if err == nil && status.Host.Number >= s.Ticket.Number && allUpstreamsLive(status) {
			return nil
		}
		if Sleep(ctx, PollPeriod) != nil {
			return eris.Errorf("host %s was not ready within %s; last status error: %v", host, readyTimeout, err)
		}
	}
}

func allUpstreamsLive(status spoke.Status) bool {
	for _, view := range status.Upstreams {
		if view.Owner == "" || view.Load.Dead || view.Load.AsOf.IsZero() {
			return false
		}
	}
	return true
}

// Hosts returns the entry hosts of the plan.
func (s *Session) Hosts() []spoke.HostID {
	var hosts []spoke.HostID
	for _, centre := range s.Fleet.Plan().DataCentres {
		for _, host := range centre.Hosts {
			hosts = append(hosts, host.ID)
		}
	}
	return hosts
}

// RunningHosts returns the entry hosts whose processes are running.
func (s *Session) RunningHosts() []spoke.HostID {
	var running []spoke.HostID
	for _, host := range s.Hosts() {
		if process, err := s.Fleet.Process(string(host)); err == nil && process.Running() {
			running = append(running, host)
		}
	}
	return running
}

// Address returns the address of a listener of an entry host.
func (s *Session) Address(host spoke.HostID, listener ready.Listener) (spoke.Address, error) {
	process, err := s.Fleet.Process(string(host))
	if err != nil {
		return "", err
	}
	return process.Address(listener), nil
}

// Caller returns a caller for an entry host.
func (s *Session) Caller(host spoke.HostID) (*load.Caller, error) {
	address, err := s.Address(host, ready.Caller)
	return load.NewCaller(address), err
}

// AdminClient returns a client of a host's administration API.
func (s *Session) AdminClient(host spoke.HostID) (*admin.Client, error) {
	address, err := s.Address(host, ready.Admin)
	return admin.NewClient(address, s.Fleet.Plan().AdminKey), err
}

// Timeline returns the merged events of all running hosts.
func (s *Session) Timeline(ctx context.Context, filter spoke.EventFilter) ([]spoke.Event, error) {
	var lists [][]spoke.Event
	var failures []error
	for _, host := range s.RunningHosts() {
		client, err := s.AdminClient(host)
		if err != nil {
			return nil, err
		}
		page, err := client.Events(ctx, filter)
		failures = append(failures, err)
		lists = append(lists, page.Events)
	}
	return events.Merge(lists...), errors.Join(failures...)
}

// Close stops all processes and removes their files.
func (s *Session) Close() {
	s.Fleet.Close()
	_ = os.RemoveAll(s.directory)
}

// Sleep waits for a delay; it returns the error of the context if that ends first.
func Sleep(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
