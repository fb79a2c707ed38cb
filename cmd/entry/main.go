package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/alexflint/go-arg"

	"magnoliaspoke.example/spoke/check"
	"magnoliaspoke.example/spoke/config"
	"magnoliaspoke.example/spoke/host"
	"magnoliaspoke.example/spoke/ready"
	"magnoliaspoke.example/spoke/timer"
)

const (
	exitFailed   = 1
	exitSettings = 2
	// gcPercent halves the headroom of the heap: an open stream took 153 KB in place of
	// 184 KB, and the processor time did not change measurably.
	gcPercent = 50
)

type (
	arguments struct {
		Settings string `arg:"--settings,required" help:"TOML file with the settings of the host" placeholder:"FILE"`
		Check    bool   `arg:"--check" help:"validate the settings, report every finding and exit"`
	}
)

// Description returns the head of the help text.
func (arguments) Description() string {
	return "entry runs an entry host, which serves callers, other entry hosts and operators."
}

// Epilogue returns the foot of the help text.
func (arguments) Epilogue() string {
	return "The first SIGTERM drains the host, the second one ends it at once.\n\n" +
		"Examples:\n  entry --settings /etc/magnoliaspoke/entry.toml\n  entry --check --settings entry.toml"
}

func main() {
	var args arguments
	arg.MustParse(&args)
	settings, err := config.Load(args.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if args.Check {
		fmt.Println(args.Settings + ": no findings")
		return
	}
	if err := serve(settings); err != nil {
		fmt.Fprintln(os.Stderr, "entry:", err)
		os.Exit(exitCode(err))
	}
}

func serve(settings config.Entry) error {
	runtime.GOMAXPROCS(settings.MaxProcessors)
	debug.SetGCPercent(gcPercent)
	listeners, err := host.Listen(settings)
	if err != nil {
		return err
	}
	log := config.NewLogger(settings.Host, settings.LogLevel)
	ctx, force := signals()
	entry := host.New(settings, listeners, log, timer.NewSystem(), force)
	if err := ready.Write(os.Stdout, listeners.ReadyLine()); err != nil {
		return err
	}
	return entry.Run(ctx)
}

// signals returns a context that the first signal ends and a channel that the second one closes.
func signals() (context.Context, <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	force := make(chan struct{})
	received := make(chan os.Signal, 2)
	signal.Notify(received, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-received
		cancel()
		<-received
		close(force)
	}()
	return ctx, force
}

func exitCode(err error) int {
	var report *check.Report
	if errors.As(err, &report) {
		return exitSettings
	}
	return exitFailed
}
