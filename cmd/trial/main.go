package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"magnoliaspoke.example/spoke/cmd/trial/slope"
)

const (
	exitFailed = 1
	// exitTargetsMissed is the exit status of a complete run that missed a target.
	exitTargetsMissed = 3
)

type (
	arguments struct {
		Demo     *demoArgs     `arg:"subcommand:demo" help:"demonstrate the main functions in a small set-up"`
		Up       *upArgs       `arg:"subcommand:up" help:"keep a small set-up running until interrupted"`
		Bench    *benchArgs    `arg:"subcommand:bench" help:"measure the policies under load and faults, with baselines for comparison"`
		Overhead *overheadArgs `arg:"subcommand:overhead" help:"measure what an entry host adds to a request"`
		Capacity *capacityArgs `arg:"subcommand:capacity" help:"measure how the cost of the control plane grows and extrapolate it"`
	}

	command interface {
		run(ctx context.Context) error
	}
)

// Description returns the introduction of the help text.
func (arguments) Description() string {
	return "trial starts a set-up of entry hosts and stand-ins on loopback, sends load and reports measurements."
}

// Epilogue returns the end of the help text.
func (arguments) Epilogue() string {
	return "Examples:\n  trial demo\n  trial up\n  trial capacity --json slopes.json"
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	chosen, ok := parser.Subcommand().(command)
	if !ok {
		parser.Fail("no command given")
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := chosen.run(ctx)
	cancel()
	var missed *slope.MissedError
	switch {
	case errors.As(err, &missed):
		fmt.Fprintln(os.Stderr, missed)
		os.Exit(exitTargetsMissed)
	case err != nil:
		fmt.Fprintln(os.Stderr, "trial:", err)
		os.Exit(exitFailed)
	}
}
