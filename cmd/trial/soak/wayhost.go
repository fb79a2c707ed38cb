package soak

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/config"
	"magnoliaspoke.example/spoke/edge"
	"magnoliaspoke.example/spoke/logs"
	"magnoliaspoke.example/spoke/platform"
	"magnoliaspoke.example/spoke/ready"
	"magnoliaspoke.example/spoke/timer"
)

// HostVariable is the environment variable that makes a program run ServeHost with its value.
const HostVariable = "SOAK_HOST"

// wayDirectory shows a host its own ways to engines in place of their addresses: the same ports at an IP number of its own.
type wayDirectory struct {
	spoke.Directory
	way netip.Addr
}

// ServeHost runs an entry host with its own ways to engines; text is the value of HostVariable.
func ServeHost(text string) error {
	var path, way string
	if _, err := fmt.Sscan(text, &path, &way); err != nil {
		return eris.Wrapf(err, "host %q", text)
	}
	address, err := netip.ParseAddr(way)
	if err != nil {
		return eris.Wrapf(err, "host %q", text)
	}
	settings, err := config.LoadRelay(path)
	if err != nil {
		return err
	}
	writer := logs.NewWriter(os.Stdout)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = writer.Run(ctx) }()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP)
	boot := timer.NewBoot()
	store, control := platform.NewStore(settings.Store, boot.Now), platform.NewControl()
	defer store.Close()
	host, err := edge.New(settings, edge.Dependencies{
		Directory: &wayDirectory{store, address}, Leases: platform.NewLeases(store), OrdersLease: platform.OrdersLease,
		Control: control, Stores: control, Codec: platform.Codec{}, Timer: timer.NewSystem(), LeaseTimer: boot,
		Log: writer.Logger(logrus.InfoLevel, logrus.Fields{config.FieldHost: settings.Host}),
		OnListening: func() {
			_ = ready.Write(os.Stdout, ready.Line{Addresses: map[ready.Listener]spoke.Address{ready.Caller: settings.Caller}})
		},
	})
	if err != nil {
		return err
	}
	return host.Run(signals)
}

// Read returns the directory.
func (d *wayDirectory) Read(ctx context.Context) (spoke.DirectoryChange, error) {
	change, err := d.Directory.Read(ctx)
	return d.link(change), err
}

// Watch returns changes of the directory.
func (d *wayDirectory) Watch(ctx context.Context, after spoke.Revision, wait time.Duration, end <-chan struct{}) (spoke.DirectoryChange, error) {
	change, err := d.Directory.Watch(ctx, after, wait, end)
	return d.link(change), err
}

// Decode decodes a change that another host has received.
func (d *wayDirectory) Decode(raw []byte) (spoke.DirectoryChange, error) {
	change, err := d.Directory.Decode(raw)
	return d.link(change), err
}

func (d *wayDirectory) link(change spoke.DirectoryChange) spoke.DirectoryChange {
	for i, upstream := range change.Upstreams {
		if address, err := netip.ParseAddrPort(string(upstream.Address)); err == nil {
			change.Upstreams[i].Address = spoke.Address(netip.AddrPortFrom(d.way, address.Port()).String())
		}
	}
	return change
}
