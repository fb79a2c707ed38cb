package host

import (
	"context"
	"time"

	"magnoliaspoke.example/spoke"
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
