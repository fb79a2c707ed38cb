package edge_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

// Guards against a stream that is cut because its engine broke off while the only other one took no calls for a moment.
func TestBrokenStreamAwaitsBusyEngine(t *testing.T) {
	for name, occupy := range map[string]func(*testing.T, *deployment){
		"full": func(t *testing.T, d *deployment) {
			t.Helper()
			d.fill(t, 400*time.Millisecond)
		},
		"paused": func(t *testing.T, d *deployment) {
			t.Helper()
			d.engines[0].SetRetryAfter("2")
			d.engines[0].SetBehaviour(fake.Shed)
			_, err := d.send(bookCall("shed"))
			assert.NilError(t, err)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := start(t, 1)
			occupy(t, d)
			d.engines[0].SetBehaviour(fake.Serve)
			d.addEngine(t, "i-1").SetBehaviour(fake.ResetMidway)
			got, err := d.send(chatCall("moved"))
			assert.NilError(t, err)
			assert.Equal(t, got.body, wholeStream)
			assert.Equal(t, len(runsOf(chatCall("moved"), d.engines[:1])), 1)
		})
	}
}

// Guards against a stream that is held until its deadline although no engine can go on with it.
func TestBrokenStreamWithoutOtherEngineEndsAtOnce(t *testing.T) {
	d := start(t, 1)
	d.setBehaviour(fake.ResetMidway)
	begin := time.Now()
	_, err := d.send(chatCall("cut"))
	assert.ErrorContains(t, err, "unexpected EOF")
	assert.Assert(t, time.Since(begin) < time.Second, "after %s", time.Since(begin))
}
