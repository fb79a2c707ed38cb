package edge_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

// Guards against a stream that goes on at the version that was listed when it began, although its engine had started
// again with another one under the same id.
func TestStreamAtUnlistedRestartIsNotMixed(t *testing.T) {
	hosts := startSoftware(t, 3, "v1", "v2", "v1", "v2")
	first, engine := hosts[0], hosts[0].engines[1]
	others := []*fake.Engine{first.engines[0], first.engines[2], first.engines[3]}
	engine.SetSoftware("v1")
	engine.Restart(1)
	// The directory still lists v2 for an engine that has v1. No other engine is listed until the streams have begun, so
	// that none takes them.
	for _, other := range others {
		first.store.Remove("servers/" + other.ID)
	}
	awaitTrue(t, "other engines are not removed", func() bool { return first.logCount("upstream is gone") == len(others) })
	began := []string{"r-1", "r-2"}
	for _, id := range began {
		first.begin(chatCall(id))
		assert.Assert(t, ranAt(engine, id))
	}
	for _, other := range others {
		first.putEntry(other, "ready")
	}
	sent := first.originMessages()
	first.putEntry(engine, "ready")
	awaitTrue(t, "restart is not known", func() bool { return first.hasLogged(`"doubtful-streams":2`) })
	assert.Assert(t, first.originMessages() >= sent+len(began), "other hosts are not told at once")
	for _, id := range began {
		for i, host := range hosts {
			awaitTrue(t, "word of the restart has not arrived", func() bool { return !host.knowsOrigin(id) })
			host.assertRefused(fmt.Sprint(id, "-", i), id, "software-version-unknown")
		}
	}
}

// knowsOrigin reports whether the host names a version at which a stream began to other hosts.
func (h linkedHost) knowsOrigin(id string) bool {
	h.t.Helper()
	response, err := http.Get(fmt.Sprintf("http://%s:%d/stream-origin?request=%s", h.settings.Address, h.settings.PeerPort, id))
	assert.NilError(h.t, err)
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// logCount returns how often the host's log contains a text.
func (d *deployment) logCount(text string) int {
	d.t.Helper()
	raw, err := os.ReadFile(filepath.Join(d.logs, "host-1.log"))
	assert.NilError(d.t, err)
	return strings.Count(string(raw), text)
}

func ranAt(engine *fake.Engine, id string) bool {
	for _, run := range engine.Runs() {
		if run.ID == id {
			return true
		}
	}
	return false
}
