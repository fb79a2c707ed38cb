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

// Guards against a stream that goes on at a second engine and is cut because its weights expire there, as if that run had
// not begun.
func TestResumedStreamIsNotCutWhenWeightsExpire(t *testing.T) {
	const limit = 1500 * time.Millisecond
	d := startWithSettings(t, 2, func(settings *config.Relay) { settings.WeightsApply = limit })
	for _, engine := range d.engines {
		engine.SetBehaviour(fake.ResetMidway)
		engine.SetEventInterval(600 * time.Millisecond)
	}
	results := d.sendAsync(chatCall("resumed"))
	awaitTrue(t, "stream is not resumed", func() bool { return d.runs() == 2 })
	named := d.nameWeights()
	got := <-results
	assert.NilError(t, got.err)
	assert.Equal(t, got.answer.body, wholeStream)
	assert.Assert(t, time.Since(named) > limit, "%s", time.Since(named))
}
