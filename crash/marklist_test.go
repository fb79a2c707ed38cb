package crash_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
)

// Guards against a request that crashes one engine after another at different hosts, since the others that these engines ran
// leave it no room in the reports: hosts exchange ten marks a second, and 40 requests ran at each engine.
func TestSuspectsOfACrashReachOtherHosts(t *testing.T) {
	const suspects = 40
	h := newMarkHosts(2)
	crashUnder := func(host int, upstream spoke.UpstreamID, fingerprint spoke.Fingerprint) {
		attempt := spoke.AttemptID(fmt.Sprint(host, upstream, fingerprint))
		h.registries[host].Begin(h.now.Add(-time.Millisecond), attempt, upstream, fingerprint)
		h.registries[host].End(h.now, attempt, true)
	}
	for i := range suspects {
		crashUnder(0, "engine-a", spoke.Fingerprint(fmt.Sprint("suspect-", i)))
	}
	for range 8 {
		h.exchange()
		h.now = h.now.Add(time.Second)
	}
	for i := range suspects {
		fingerprint := spoke.Fingerprint(fmt.Sprint("suspect-", i))
		crashUnder(1, "engine-b", fingerprint)
		until := h.registries[1].Admit(h.now, "again", fingerprint).Until
		assert.Check(t, !until.IsZero(), "%s", fingerprint)
	}
}
