package main

import (
	"context"
	"errors"
	"os"
	"time"

	"magnoliaspoke.example/spoke/cmd/trial/plans"
	"magnoliaspoke.example/spoke/ready"
)

type (
	upArgs struct {
		Lifetime time.Duration `arg:"--lifetime" default:"8h" help:"end of the set-up if it is not interrupted"`
	}
)

func (a *upArgs) run(ctx context.Context) error {
	s, err := startSession(ctx, plans.Demo(a.Lifetime), os.Stdout)
	if err != nil {
		return err
	}
	defer s.Close()
	if err := s.printAddresses(); err != nil {
		return err
	}
	if err := wait(ctx, a.Lifetime); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

func (s *session) printAddresses() error {
	for _, host := range s.hosts() {
		at, err := s.address(host, ready.Caller)
		if err != nil {
			return err
		}
		s.printf("OPENAI_BASE_URL=http://%s/v1\n", at)
		s.printf("OPENAI_API_KEY=%s\n", plans.Key(plans.WorkspaceID(0)))
	}
	for _, host := range s.hosts() {
		at, err := s.address(host, ready.Admin)
		if err != nil {
			return err
		}
		s.printf("SPOKE_ADMIN_ADDRESS=%s\n", at)
	}
	s.printf("SPOKE_ADMIN_KEY=%s\n", s.setup.Plan().AdminKey)
	return nil
}
