package main

import (
	"net/http"
	"time"

	"magnoliaspoke.example/spoke/fake/plain"
)

type (
	plainArgs struct {
		listenArgs
		Delay time.Duration `arg:"--delay" default:"5ms" help:"time that a run takes"`
	}
)

func (a *plainArgs) handler() (http.Handler, func()) {
	return plain.New(plain.WithFaults(plain.Faults{Delay: a.Delay})), func() {}
}
