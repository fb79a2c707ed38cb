package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke/cmd/trial/cases"
	"magnoliaspoke.example/spoke/cmd/trial/plans"
	"magnoliaspoke.example/spoke/cmd/trial/slope"
)

type (
	benchArgs struct {
		Cases         []string `arg:"--case,separate" help:"case to run; all of them if none is named" placeholder:"NAME"`
		Installations []string `arg:"--user,separate" help:"installation to run; both if none is named" placeholder:"NAME"`
		Seeds         int      `arg:"--seeds" default:"1" help:"number of runs of each case, with a different seed for each"`
		Baselines     bool     `arg:"--baselines" help:"also measure first-in-first-out admission, two-choices routing and unlimited imports"`
		JSON          string   `arg:"--json" help:"write all rows to a file" placeholder:"FILE"`
	}
)

func (a *benchArgs) run(ctx context.Context) error {
	if err := a.validate(); err != nil {
		return err
	}
	report := &cases.Report{}
	started := time.Now()
	for seed := 1; seed <= a.Seeds; seed++ {
		if err := a.runSeed(ctx, uint64(seed), report); err != nil {
			return err
		}
	}
	fmt.Printf("\n%d seeds in %d s\n", a.Seeds, int(time.Since(started).Seconds()))
	if err := report.Print(os.Stdout); err != nil {
		return err
	}
	if a.JSON != "" {
		if err := report.Write(a.JSON); err != nil {
			return err
		}
	}
	if missed := report.Missed(); len(missed) > 0 {
		return &slope.MissedError{Missed: missed}
	}
	return nil
}

func (a *benchArgs) runSeed(ctx context.Context, seed uint64, report *cases.Report) error {
	for _, installation := range plans.Installations() {
		if !isChosen(a.Installations, installation.Name) {
			continue
		}
		suite := &cases.Suite{Installation: installation, Seed: seed, Report: report, Baselines: a.Baselines, Log: func(format string, args ...any) { fmt.Printf(format, args...) }}
		for _, c := range cases.All() {
			if !isChosen(a.Cases, c.Name) {
				continue
			}
			if err := c.Run(suite, ctx); err != nil {
				return eris.Wrapf(err, "case %s of %s, seed %d", c.Name, installation.Name, seed)
			}
		}
	}
	return nil
}

func (a *benchArgs) validate() error {
	for _, name := range a.Cases {
		if !slices.ContainsFunc(cases.All(), func(c cases.Case) bool { return c.Name == name }) {
			return eris.Errorf("no case is named %q", name)
		}
	}
	for _, name := range a.Installations {
		if !slices.ContainsFunc(plans.Installations(), func(inst plans.Installation) bool { return inst.Name == name }) {
			return eris.Errorf("no installation is named %q", name)
		}
	}
	if a.Seeds < 1 {
		return eris.Errorf("%d seeds, want at least 1", a.Seeds)
	}
	return nil
}

func isChosen(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}
