package edge_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/config"
	fake "magnoliaspoke.example/spoke/fake/platform"
)

// Guards against a call that waits inside an engine and begins after its weights are outdated, and
// against one that is reported as not run although the engine may have begun it.
func TestCallInEngineIsCancelledWhenWeightsExpire(t *testing.T) {
	const limit = 1500 * time.Millisecond
	d := startWithSettings(t, 1, func(settings *config.Relay) { settings.WeightsApply = limit })
	d.setBehaviour(fake.Hang)
	answered := make(chan answer, 1)
	go func() {
		got, _ := d.send(quoteCall("stuck"))
		answered <- got
	}()
	awaitTrue(t, "call has not reached the engine", func() bool { return d.runs() == 1 })
	published := time.Now()
	d.store.Put("op/version/model-a", map[string]any{"model": "model-a", "version": 2})
	got := <-answered
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Assert(t, time.Since(published) < limit, "%s", time.Since(published))
	awaitTrue(t, "run not cancelled", func() bool { return d.engines[0].Cancelled() == 1 })
	awaitTrue(t, "cause not logged", func() bool { return d.hasLogged("weights are outdated") })
}
