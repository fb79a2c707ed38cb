package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"magnoliaspoke.example/spoke/cmd/spokectl/tool"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	return tool.New(os.Stdin, os.Stdout, os.Stderr).Run(ctx, os.Args[1:])
}
