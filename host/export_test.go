package host

import (
	"context"
	"time"

	"magnoliaspoke.example/spoke"
)

type noBlocks struct{}

func (noBlocks) Ran(spoke.Upstream, spoke.Dispatch, spoke.Usage, time.Duration) {}

func (noBlocks) Load(_ context.Context, _ spoke.Upstream, dispatch spoke.Dispatch) spoke.RunSpec {
	return dispatch.Spec
}

// StartOwner runs attempts at an engine under an admission policy until the context ends.
func StartOwner(ctx context.Context, manifest spoke.ManifestSource, policy spoke.Admission, engine spoke.Engine,
	timer spoke.Timer, events spoke.EventSink,
) func(context.Context, spoke.Dispatch) (spoke.RunStream, error) {
	task := newAdmissionTask(policy, timer)
	go func() { _ = task.run(ctx) }()
	runs := &owner{
		manifest: manifest, admission: task, engine: engine, blocks: noBlocks{}, timer: timer, events: events, life: ctx,
	}
	return runs.Run
}
