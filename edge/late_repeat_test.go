package edge_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

// Guards against an earlier failure that is taken for the answer to another call, whose caller repeats the id.
func TestRepeatedIDGetsNoEarlierAnswer(t *testing.T) {
	for _, newCall := range []func(id string) call{bookCall, lookCall, chatCall, quoteCall} {
		t.Run(newCall("").path, func(t *testing.T) {
			t.Parallel()
			d, listeners := startLate(t, 1)
			d.setBehaviour(fake.Fail)
			sent := newCall("same")
			got, err := d.send(sent)
			assert.NilError(t, err)
			assert.Equal(t, got.status, http.StatusInternalServerError)
			d.setBehaviour(fake.Serve)
			listeners[0].SetCopies(func(last string) string { return last })
			got, err = d.send(sent)
			assert.NilError(t, err)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, framedAnswerOf(sent, d.engines[0]))
			assert.Equal(t, len(runsOf(sent, d.engines)), 2)
		})
	}
}

// Guards against a stream that is cut by an earlier answer: it left its silent engine, the next one failed and the first
// one refused it, and the next one repeats its failure when it is asked again.
func TestStreamThatAsksAgainGetsNoEarlierAnswer(t *testing.T) {
	d, listeners := startLate(t, 2)
	for _, engine := range d.engines {
		engine.SetStall(fake.Stall{After: 2, For: longStall})
	}
	sent := chatCall("moved")
	results := d.sendAsync(sent)
	awaitTrue(t, "call does not run", func() bool { return len(runsOf(sent, d.engines)) == 1 })
	silent, next := d.engines[0], d.engines[1]
	if runsOf(sent, d.engines)[0] != silent {
		silent, next = next, silent
	}
	silent.SetBehaviour(fake.Shed)
	next.SetBehaviour(fake.Fail)
	awaitTrue(t, "silent engine has not refused", func() bool { return silent.ShedCount() > 0 })
	for _, listener := range listeners {
		listener.SetCopies(func(last string) string { return last })
	}
	next.SetStall(fake.Stall{})
	next.SetBehaviour(fake.Serve)
	got := <-results
	assert.NilError(t, got.err)
	assert.Equal(t, got.answer.body, wholeStream)
	assert.Equal(t, len(runsOf(sent, d.engines)), 3)
}
