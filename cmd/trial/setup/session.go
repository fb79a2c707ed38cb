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
	// readyLimit bounds the wait until every host has the configuration in force.
	readyLimit = 20 * time.Second
	// PollPeriod spaces the tries of waits for a state.
	PollPeriod = 20 * time.Millisecond
	author     = "trial"
)

type (
	// Session is a running set-up with its first ticket in force.
	Session struct {
		// Fleet controls the processes and links.
		Fleet *fleet.Setup
		// Ticket is the last one submitted.
		Ticket    spoke.Ticket
		directory string
	}
)

// Start launches a plan, submits the first ticket and waits for every host.
func Start(ctx context.Context, plan fleet.Plan) (*Session, error) {
	directory, err := os.MkdirTemp("", "trial-")
	if err != nil {
		return nil, eris.Wrap(err, "temporary directory")
	}
	plan.Directory = directory
	plan, err = plans.Programs(plan)
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
		if err := s.WaitHost(ctx, host); err != nil {
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
	operator, err := s.Operator(s.Running()[0])
	if err != nil {
		return err
	}
	_, err = operator.Submit(ctx, body)
	return err
}

// Change submits the next ticket with the given objects.
func (s *Session) Change(ctx context.Context, objects ...spoke.Object) error {
	s.Ticket = spoke.Ticket{Number: s.Ticket.Number + 1, Author: author, Objects: objects}
	return s.Submit(ctx, s.Ticket)
}

// WaitHost waits until a host has the last ticket in force and sees an owner for every upstream.
func (s *Session) WaitHost(ctx context.Context, host spoke.HostID) error {
	operator, err := s.Operator(host)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for {
		status, err := operator.Status(ctx)
		if err == nil && status.Host.Number >= s.Ticket.Number && isServing(status) {
			return nil
		}
		if Wait(ctx, PollPeriod) != nil {
			return eris.Errorf("host %s is not ready within %s: %v", host, readyLimit, err)
		}
	}
}

func isServing(status spoke.Status) bool {
	for _, view := range status.Upstreams {
		if view.Owner == "" || view.Load.Dead || view.Load.AsOf.IsZero() {
			return false
		}
	}
	return true
}

// Hosts lists the planned entry hosts.
func (s *Session) Hosts() []spoke.HostID {
	var hosts []spoke.HostID
	for _, centre := range s.Fleet.Plan().DataCentres {
		for _, host := range centre.Hosts {
			hosts = append(hosts, host.ID)
		}
	}
	return hosts
}

// Running lists the entry hosts that run.
func (s *Session) Running() []spoke.HostID {
	var running []spoke.HostID
	for _, host := range s.Hosts() {
		if process, err := s.Fleet.Process(string(host)); err == nil && process.Running() {
			running = append(running, host)
		}
	}
	return running
}

// Address returns a listener of an entry host.
func (s *Session) Address(host spoke.HostID, listener ready.Listener) (spoke.Address, error) {
	process, err := s.Fleet.Process(string(host))
	if err != nil {
		return "", err
	}
	return process.Address(listener), nil
}

// Caller returns a caller of an entry host.
func (s *Session) Caller(host spoke.HostID) (*load.Caller, error) {
	at, err := s.Address(host, ready.Caller)
	return load.NewCaller(at), err
}

// Operator returns a client of a host's administration API.
func (s *Session) Operator(host spoke.HostID) (*admin.Client, error) {
	at, err := s.Address(host, ready.Admin)
	return admin.NewClient(at, s.Fleet.Plan().AdminKey), err
}

// Timeline merges the events of all running hosts.
func (s *Session) Timeline(ctx context.Context, filter spoke.EventFilter) ([]spoke.Event, error) {
	var lists [][]spoke.Event
	var failures []error
	for _, host := range s.Running() {
		operator, err := s.Operator(host)
		if err != nil {
			return nil, err
		}
		page, err := operator.Events(ctx, filter)
		failures = append(failures, err)
		lists = append(lists, page.Events)
	}
	return events.Merge(lists...), errors.Join(failures...)
}

// Close ends all processes and removes their files.
func (s *Session) Close() {
	s.Fleet.Close()
	_ = os.RemoveAll(s.directory)
}

// Wait waits for a delay or the end of the context.
func Wait(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
