package edge_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/config"
)

// A sound engine with a call in its queue falls silent for a second around the end of the time of its weights. Guards
// against a recall that the silent engine does not notice before it begins the call.
func TestCallDoesNotBeginBehindSilenceAfterItsWeightsExpire(t *testing.T) {
	const (
		limit   = 6 * time.Second
		silence = time.Second
		// overrun is the time from the end of the limit to that of the silence.
		overrun = 50 * time.Millisecond
	)
	d := startWithSettings(t, 1, func(settings *config.Relay) { settings.WeightsApply, settings.OrdersPause = limit, time.Minute })
	queue := d.engines[0].Queue()
	named := d.nameWeights()
	// The call's own deadline of 4 s is after the silence.
	<-time.After(time.Until(named.Add(limit / 2)))
	d.sendAsync(quoteCall("queued"))
	awaitTrue(t, "call is not in the queue", func() bool { return d.engines[0].Queued() == 1 })
	<-time.After(time.Until(named.Add(limit + overrun - silence)))
	queue.FallSilent()
	<-time.After(silence)
	assert.Equal(t, d.runs(), 0)
	queue.GoOn()
	<-time.After(overrun)
	assert.Equal(t, d.runs(), 0)
}
