package main

import (
	"net/http"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/fake/store"
)

type (
	storeArgs struct {
		listenArgs
		Memory   int64   `arg:"--memory" default:"67108864" help:"memory tier in bytes"`
		Disk     int64   `arg:"--disk" default:"268435456" help:"disk tier in bytes"`
		LinkRate float64 `arg:"--link-rate" default:"0" help:"bytes per second that all transfers share, 0 for no limit"`
		DiskRate float64 `arg:"--disk-rate" default:"0" help:"bytes per second that reads from disk share, 0 for no limit"`
	}
)

func (a *storeArgs) handler() (http.Handler, func()) {
	host := store.New(
		store.WithTiers(spoke.ByteSize(a.Memory), spoke.ByteSize(a.Disk)),
		store.WithLinkRate(spoke.ByteRate(a.LinkRate)),
		store.WithDiskRate(spoke.ByteRate(a.DiskRate)),
	)
	return host, host.Close
}
