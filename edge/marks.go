package edge

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/crash"
)

// markExpiry is short, since a call that only ran beside the one at fault is marked as well.
const markExpiry = 30 * time.Second

// marks tells requests that crash the upstreams which run them.
type marks struct{ registry *crash.Registry }

func newMarks() *marks { return &marks{registry: crash.New(crash.WithExpiry(markExpiry))} }

// fingerprintOf identifies a request that is sent again, also through another host.
func fingerprintOf(workspace spoke.WorkspaceID, call *spoke.RelayedCall) spoke.Fingerprint {
	digest := xxhash.New()
	// Writing to a digest does not fail.
	_, _ = digest.WriteString(string(workspace) + "\n" + call.Method + "\n" + call.Target + "\n")
	_, _ = digest.Write(call.Body)
	return spoke.Fingerprint(strconv.FormatUint(digest.Sum64(), 36))
}

// until returns when a quarantined request may be tried again, the zero time if it may now.
func (m *marks) until(now time.Time, request spoke.RequestID, fingerprint spoke.Fingerprint) time.Time {
	return m.registry.Admit(now, request, fingerprint).Until
}

func (m *marks) list(now time.Time, limit int) []spoke.QuarantineMark {
	return m.registry.Marks(now, limit)
}
