package host

import (
	"context"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/events"
	"magnoliaspoke.example/spoke/route"
)

type (
	// Owner gives tests access to the runs of an owner.
	Owner struct{ owner }

	// NoBlocks is a block loader without blocks.
	NoBlocks struct{}
)

// NewOwner starts an owner's admission task, which ends with the context.
func NewOwner(ctx context.Context, manifest spoke.ManifestSource, policy spoke.Admission, engine spoke.Engine, timer spoke.Timer, events spoke.EventSink) *Owner {
	admission := newAdmissionTask(policy, timer)
	go func() { _ = admission.run(ctx) }()
	return &Owner{owner{
		manifest: manifest, admission: admission, engine: engine, blocks: NoBlocks{},
		timer: timer, events: events, life: ctx,
	}}
}

// Load returns the run unchanged.
func (NoBlocks) Load(_ context.Context, _ spoke.Upstream, dispatch spoke.Dispatch) spoke.RunSpec {
	return dispatch.Spec
}

// Ran does nothing.
func (NoBlocks) Ran(spoke.Upstream, spoke.Dispatch, spoke.Usage, time.Duration) {}

// Swaps gives tests access to the swap task.
type Swaps struct{ *swapTask }

// NewSwaps returns a swap task of a holder of the orders lease.
func NewSwaps(holder spoke.HostID, manifest spoke.ManifestSource, leases spoke.Leases, engine spoke.Engine, isWatcher func() bool, timer spoke.Timer) Swaps {
	none := func() *spoke.Membership { return &spoke.Membership{} }
	log := logrus.New()
	log.SetOutput(io.Discard)
	return Swaps{&swapTask{
		holder: holder, manifest: manifest, views: newViewTable(manifest, none, route.Owner),
		isWatcher: isWatcher, leases: leases, engine: engine, timer: timer,
		events: events.NewRecorder(holder, timer, 64), log: log,
	}}
}

// Run competes for the lease and gives orders until the context ends.
func (s Swaps) Run(ctx context.Context) { _ = s.run(ctx) }
