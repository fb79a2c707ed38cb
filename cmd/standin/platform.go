package main

import (
	"net/http"

	"magnoliaspoke.example/spoke/fake/kvsvc"
)

type (
	platformArgs struct {
		listenArgs
		Seed uint64 `arg:"--seed" default:"1" help:"seed of the faults that happen with a probability"`
	}
)

func (a *platformArgs) handler() (http.Handler, func()) {
	return kvsvc.New(kvsvc.WithSeed(a.Seed)), func() {}
}
