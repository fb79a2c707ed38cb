package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/config"
	"magnoliaspoke.example/spoke/edge"
	"magnoliaspoke.example/spoke/logs"
	"magnoliaspoke.example/spoke/platform"
	"magnoliaspoke.example/spoke/ready"
	"magnoliaspoke.example/spoke/timer"
)

const (
	exitFailed   = 1
	exitSettings = 2
	// heapShare is the part of the memory limit at which the heap is collected at any cost.
	heapShare = 0.7
	signalled = 4
)

type arguments struct {
	Settings string `arg:"--settings" help:"TOML file with the settings of the host; the platform's own place if left out" placeholder:"FILE"`
	Check    bool   `arg:"--check" help:"validate the settings, report every finding and exit"`
}

// Description returns the head of the help text.
func (arguments) Description() string {
	return "edge runs an entry host that relays calls to the upstreams of a platform."
}

// Epilogue returns the foot of the help text.
func (arguments) Epilogue() string {
	return "SIGTERM drains the host; SIGHUP is noted, changed settings are taken at the next start.\n\nExamples:\n  edge --settings edge.toml\n  edge --check --settings edge.toml"
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if args.Settings == "" {
		args.Settings = platform.SettingsPath()
	}
	settings, err := config.LoadRelay(args.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if args.Check {
		fmt.Println(args.Settings + ": no findings")
		return
	}
	if err := serve(settings); err != nil {
		fmt.Fprintln(os.Stderr, "edge:", err)
		os.Exit(exitFailed)
	}
}

func serve(settings config.Relay) error {
	debug.SetMemoryLimit(int64(heapShare * float64(settings.Memory)))
	writer := logs.NewWriter(os.Stdout)
	log := writer.Logger(logrus.InfoLevel, logrus.Fields{config.FieldHost: settings.Host})
	ctx, cancel := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		// The writer ends with its context only.
		_ = writer.Run(ctx)
	}()
	err := runHost(settings, log)
	cancel()
	<-written
	return err
}

func runHost(settings config.Relay, log logrus.FieldLogger) error {
	signals := make(chan os.Signal, signalled)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	boot := timer.NewBoot()
	store := platform.NewStore(settings.Store, boot.Now)
	defer store.Close()
	control := platform.NewControl()
	host, err := edge.New(settings, edge.Dependencies{
		Directory: store, Leases: platform.NewLeases(store), OrdersLease: platform.OrdersLease,
		Control: control, Stores: control, Codec: platform.Codec{},
		Timer: timer.NewSystem(), LeaseTimer: boot, Log: log,
		OnListening: func() { sayReady(settings, log) },
	})
	if err != nil {
		return err
	}
	log.WithFields(logrus.Fields{"caller-address": settings.Caller, "peer-port": settings.PeerPort, "metrics-port": settings.MetricsPort}).Info("started")
	err = host.Run(signals)
	log.WithError(err).Info("ended")
	return err
}

// sayReady tells the process's starter that it serves.
func sayReady(settings config.Relay, log logrus.FieldLogger) {
	line := ready.Line{Addresses: map[ready.Listener]spoke.Address{ready.Caller: settings.Caller}}
	if err := ready.Write(os.Stdout, line); err != nil {
		log.WithError(err).Warn("ready line not written")
	}
}
