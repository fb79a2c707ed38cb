package edge_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

// Guards against a call on a route without a latency target that asks the scheduler for another engine without a pause
// while its own works.
func TestCallWithoutTargetAsksSeldom(t *testing.T) {
	d := start(t, 1)
	changed := table(2, callerKey)
	for _, r := range changed["routes"].([]any) {
		r.(map[string]any)["target-latency-ms"] = 0
	}
	d.store.Put("op/config", changed)
	awaitTrue(t, "table not in force", func() bool { return d.hasLogged(`"table":2`) || d.hasLogged(`"version":2`) })
	d.engines[0].SetStall(fake.Stall{For: 800 * time.Millisecond})
	begun := time.Now()
	_, err := d.send(lookCall("a"))
	assert.NilError(t, err)
	raw, err := os.ReadFile(filepath.Join(d.logs, "host-1.log"))
	assert.NilError(t, err)
	asked := strings.Count(string(raw), "no other takes the call")
	assert.Assert(t, asked <= 10, "asked %d times in %s", asked, time.Since(begun))
}
