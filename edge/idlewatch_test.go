package edge_test

import (
	"testing"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

// Guards against logs that do not show whether a timer, the deadline or the upstream ended an attempt, and for how long
// the upstream had been silent.
func TestFailedAttemptLogsWhatEndedIt(t *testing.T) {
	for _, c := range []struct {
		name      string
		engines   int
		behaviour fake.Behaviour
		call      call
		endedBy   string
	}{
		{"idle timer", 2, fake.Hang, lookCall("a"), "idle-timer"},
		{"deadline", 1, fake.Hang, bookCall("b"), "deadline"},
		{"upstream", 1, fake.ResetAtOnce, bookCall("c"), "upstream"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := start(t, c.engines)
			d.setBehaviour(c.behaviour)
			_, err := d.send(c.call)
			assert.NilError(t, err)
			awaitTrue(t, "no line names "+c.endedBy, func() bool { return d.hasLogged(`"ended-by":"` + c.endedBy + `"`) })
			assert.Assert(t, d.hasLogged(`"silent":"`))
		})
	}
}
