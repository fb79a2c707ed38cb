package edge_test

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

// Guards against a stream that a stopping host cuts because its engine was silent for a moment, and for a moment neither
// the next engine nor the silent one took it.
func TestStoppingHostKeepsStreamOfSilentEngine(t *testing.T) {
	for _, c := range []struct {
		name string
		// refuse makes engines refuse the stream, given the silent one.
		refuse func(d *deployment, silent *fake.Engine)
		after  int
	}{
		{"both refuse", func(d *deployment, _ *fake.Engine) { d.setBehaviour(fake.Shed) }, 2},
		{"next refuses, silent leaves", func(d *deployment, silent *fake.Engine) {
			d.setBehaviour(fake.Shed)
			d.putEntry(silent, "draining")
		}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := start(t, 2)
			for _, engine := range d.engines {
				engine.SetStall(fake.Stall{After: 2, For: longStall})
			}
			results := d.sendAsync(chatCall("silent"))
			awaitTrue(t, "stream does not run", func() bool { return d.runs() == 1 })
			silent := runsOf(chatCall("silent"), d.engines)[0]
			for _, engine := range d.engines {
				if engine != silent {
					engine.SetStall(fake.Stall{})
				}
			}
			c.refuse(d, silent)
			d.signals <- syscall.SIGTERM
			awaitTrue(t, "no engine refuses", func() bool { return d.engines[0].ShedCount()+d.engines[1].ShedCount() >= c.after })
			d.setBehaviour(fake.Serve)
			got := <-results
			assert.NilError(t, got.err)
			assert.Equal(t, got.answer.body, wholeStream)
		})
	}
}

// Guards against a stream that is held until its deadline, with requests to engines all the while, although its caller
// no longer waits for an event.
func TestStreamThatAllEnginesRefuseEnds(t *testing.T) {
	d := start(t, 2)
	for _, engine := range d.engines {
		engine.SetStall(fake.Stall{After: 2, For: time.Minute})
	}
	results := d.sendAsync(chatCall("refused"))
	awaitTrue(t, "stream does not run", func() bool { return d.runs() == 1 })
	begin := time.Now()
	d.setBehaviour(fake.Shed)
	got := <-results
	assert.ErrorContains(t, got.err, "unexpected EOF")
	// Callers of the route wait 3.2 s for an event.
	assert.Assert(t, time.Since(begin) < 3900*time.Millisecond, "after %s", time.Since(begin))
	assert.Assert(t, d.engines[0].ShedCount()+d.engines[1].ShedCount() < 16)
}
