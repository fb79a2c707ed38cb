package runner_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/runner"
)

// Guards against a refusal while upstreams serve another version than their load
// summaries contain, since these lag behind a swap.
func TestAnotherVersionAfterWrongVersionRefusals(t *testing.T) {
	now := time.Unix(0, 0)
	wrong := errors.Join(spoke.ErrNotRun, spoke.ErrWrongVersion)
	machine := runner.NewMachine(spoke.Request{ID: "r"})
	machine.Handle(now, runner.Begin{})
	machine.Handle(now, runner.Routed{Version: "v1", Upstreams: []spoke.UpstreamID{"a", "b"}})
	machine.Handle(now, runner.StreamEnded{Attempt: machine.Attempt(), Err: wrong})
	actions := machine.Handle(now, runner.StreamEnded{Attempt: machine.Attempt(), Err: wrong})

	assert.Equal(t, len(actions), 1)
	route, isRoute := actions[0].(runner.Route)
	assert.Assert(t, isRoute, "%#v", actions[0])
	assert.Assert(t, route.Avoid["v1"])
	assert.Equal(t, len(route.Exclude), 0)

	actions = machine.Handle(now, runner.Routed{Version: "v2", Upstreams: []spoke.UpstreamID{"a"}})
	start := actions[0].(runner.StartAttempt)
	assert.Equal(t, start.Dispatch.Spec.Version, spoke.ModelVersion("v2"))
}
