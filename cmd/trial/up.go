package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"magnoliaspoke.example/spoke/cmd/trial/plans"
	"magnoliaspoke.example/spoke/cmd/trial/setup"
	"magnoliaspoke.example/spoke/ready"
)

type (
	upArgs struct {
		Lifetime time.Duration `arg:"--lifetime" default:"8h" help:"time after which the set-up stops if it is not interrupted"`
	}
)

func (a *upArgs) run(ctx context.Context) error {
	s, err := setup.Start(ctx, plans.Demo(a.Lifetime))
	if err != nil {
		return err
	}
	defer s.Close()
	if err := printAddresses(s); err != nil {
		return err
	}
	if err := setup.Sleep(ctx, a.Lifetime); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

func printAddresses(s *setup.Session) error {
	for _, host := range s.Hosts() {
		at, err := s.Address(host, ready.Caller)
		if err != nil {
			return err
		}
		fmt.Printf("OPENAI_BASE_URL=http://%s/v1\n", at)
		fmt.Printf("OPENAI_API_KEY=%s\n", plans.Key(plans.WorkspaceID(0)))
	}
	var operators []string
	for _, host := range s.Hosts() {
		at, err := s.Address(host, ready.Admin)
		if err != nil {
			return err
		}
		operators = append(operators, string(at))
	}
	fmt.Printf("SPOKE_HOSTS=%s\n", strings.Join(operators, ","))
	fmt.Printf("SPOKE_ADMIN_KEY=%s\n", s.Fleet.Plan().AdminKey)
	return nil
}
