package main

import (
	"context"
	"errors"
	"fmt"
	"io"
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
	pollPeriod = 20 * time.Millisecond
	author     = "trial"
)

type (
	// session is a running set-up with its first ticket in force.
	session struct {
		setup     *fleet.Setup
		directory string
		out       io.Writer
		ticket    spoke.Ticket
	}
)

// startSession launches a plan, submits the first ticket and waits for every host.
func startSession(ctx context.Context, plan fleet.Plan, out io.Writer) (*session, error) {
	directory, err := os.MkdirTemp("", "trial-")
	if err != nil {
		return nil, eris.Wrap(err, "temporary directory")
	}
	plan.Directory = directory
	plan, err = plans.Programs(plan)
	if err != nil {
		return nil, err
	}
	setup, err := fleet.Launch(ctx, plan)
	if err != nil {
		return nil, err
	}
	s := &session{setup: setup, directory: directory, out: out}
	if err := s.configure(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *session) configure(ctx context.Context) error {
	first, err := s.setup.Ticket(1, author)
	if err != nil {
		return err
	}
	s.ticket = first
	if err := s.submit(ctx, first); err != nil {
		return err
	}
	for _, host := range s.hosts() {
		if err := s.waitHost(ctx, host); err != nil {
			return err
		}
	}
	return nil
}

// submit sends a ticket to the first running host.
func (s *session) submit(ctx context.Context, t spoke.Ticket) error {
	body, err := ticket.EncodeTicket(t)
	if err != nil {
		return err
	}
	operator, err := s.operator(s.running()[0])
	if err != nil {
		return err
	}
	_, err = operator.Submit(ctx, body)
	return err
}

// change submits the next ticket with the given objects.
func (s *session) change(ctx context.Context, objects ...spoke.Object) error {
	s.ticket = spoke.Ticket{Number: s.ticket.Number + 1, Author: author, Objects: objects}
	return s.submit(ctx, s.ticket)
}

// waitHost waits until a host has the last ticket in force and sees an owner for every upstream.
func (s *session) waitHost(ctx context.Context, host spoke.HostID) error {
	operator, err := s.operator(host)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for {
		status, err := operator.Status(ctx)
		if err == nil && status.Host.Number >= s.ticket.Number && isServing(status) {
			return nil
		}
		if wait(ctx, pollPeriod) != nil {
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

func (s *session) hosts() []spoke.HostID {
	var hosts []spoke.HostID
	for _, centre := range s.setup.Plan().DataCentres {
		for _, host := range centre.Hosts {
			hosts = append(hosts, host.ID)
		}
	}
	return hosts
}

func (s *session) running() []spoke.HostID {
	var running []spoke.HostID
	for _, host := range s.hosts() {
		if process, err := s.setup.Process(string(host)); err == nil && process.Running() {
			running = append(running, host)
		}
	}
	return running
}

func (s *session) address(host spoke.HostID, listener ready.Listener) (spoke.Address, error) {
	process, err := s.setup.Process(string(host))
	if err != nil {
		return "", err
	}
	return process.Address(listener), nil
}

func (s *session) caller(host spoke.HostID) (*load.Caller, error) {
	at, err := s.address(host, ready.Caller)
	return load.NewCaller(at), err
}

func (s *session) operator(host spoke.HostID) (*admin.Client, error) {
	at, err := s.address(host, ready.Admin)
	return admin.NewClient(at, s.setup.Plan().AdminKey), err
}

// timeline merges the events of all running hosts.
func (s *session) timeline(ctx context.Context, filter spoke.EventFilter) ([]spoke.Event, error) {
	var lists [][]spoke.Event
	var failures []error
	for _, host := range s.running() {
		operator, err := s.operator(host)
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
func (s *session) Close() {
	s.setup.Close()
	_ = os.RemoveAll(s.directory)
}

func (s *session) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.out, format, args...)
}

func wait(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
