package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/oklog/run"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/ready"
)

const (
	// shutdownTimeout bounds the time that open responses have to finish after a signal, and the time
	// in which a client has to send the header of its request.
	shutdownTimeout = 10 * time.Second
)

type (
	arguments struct {
		Platform *platformArgs `arg:"subcommand:platform" help:"key-value service with leases, watches and a list of hosts"`
		Engine   *engineArgs   `arg:"subcommand:engine" help:"model engine with batching and a prefix cache"`
		Store    *storeArgs    `arg:"subcommand:store" help:"store host with memory, disk and a limited link"`
		Plain    *plainArgs    `arg:"subcommand:plain" help:"plain service that counts its runs"`
	}

	listenArgs struct {
		ID     string `arg:"--id" help:"name of the stand-in, shown in the list of processes" placeholder:"NAME"`
		Listen string `arg:"--listen" default:"127.0.0.1:0" help:"address to listen on" placeholder:"IP:PORT"`
	}

	subcommand interface {
		address() string
		handler() (http.Handler, func())
	}
)

// Description returns the first paragraph of the help text.
func (arguments) Description() string {
	return "standin runs a stand-in for an external system in tests and trials on loopback."
}

// Epilogue returns the last paragraphs of the help text.
func (arguments) Epilogue() string {
	return "Examples:\n  standin platform --listen 127.0.0.1:7000\n  standin engine --model quote=v1 --max-batch 8"
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	chosen, ok := parser.Subcommand().(subcommand)
	if !ok {
		parser.Fail("no subcommand given")
	}
	if err := serve(chosen); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func (l listenArgs) address() string { return l.Listen }

func serve(chosen subcommand) error {
	listener, err := net.Listen("tcp", chosen.address())
	if err != nil {
		return err
	}
	handler, closeHandler := chosen.handler()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: shutdownTimeout}
	var group run.Group
	group.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	group.Add(func() error {
		address := spoke.Address(listener.Addr().String())
		line := ready.Line{Addresses: map[ready.Listener]spoke.Address{ready.Service: address}}
		if err := ready.Write(os.Stdout, line); err != nil {
			return err
		}
		return server.Serve(listener)
	}, func(error) {
		shutdown(server)
		closeHandler()
	})
	err = group.Run()
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, run.ErrSignal) {
		return nil
	}
	return err
}

func shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

// crash exits without closing open streams, as a crashing engine does.
func crash() {
	signal.Reset()
	os.Exit(3)
}
