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
	// exitMissed tells that a run was complete and a target was missed.
	exitMissed = 3
)

type (
	arguments struct {
		Demo     *demoArgs     `arg:"subcommand:demo" help:"show the whole path in a small set-up"`
		Up       *upArgs       `arg:"subcommand:up" help:"keep a small set-up running until interrupted"`
		Bench    *benchArgs    `arg:"subcommand:bench" help:"measure the policy under load and faults beside baselines"`
		Overhead *overheadArgs `arg:"subcommand:overhead" help:"measure what an entry host adds to a request"`
		Capacity *capacityArgs `arg:"subcommand:capacity" help:"measure how the cost of control grows and extrapolate it"`
	}

	command interface {
		run(ctx context.Context) error
	}
)

// Description returns the head of the help text.
func (arguments) Description() string {
	return "trial starts a set-up of entry hosts and stand-ins on loopback, sends load and reports what it measured."
}

// Epilogue returns the foot of the help text.
func (arguments) Epilogue() string {
	return "Examples:\n  trial demo\n  trial up\n  trial capacity --json slopes.json"
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	chosen, ok := parser.Subcommand().(command)
	if !ok {
		parser.Fail("name a command")
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := chosen.run(ctx)
	cancel()
	var missed *slope.MissedError
	switch {
	case errors.As(err, &missed):
		fmt.Fprintln(os.Stderr, missed)
		os.Exit(exitMissed)
	case err != nil:
		fmt.Fprintln(os.Stderr, "trial:", err)
		os.Exit(exitFailed)
	}
}
