package edge

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/crash"
)

// markTTL is short, since calls that merely ran at the same time as the faulty one are marked too.
const markTTL = 30 * time.Second

// quarantine identifies requests that crash the upstreams that run them.
type quarantine struct{ registry *crash.Registry }

func newQuarantine() *quarantine { return &quarantine{registry: crash.New(crash.WithExpiry(markTTL))} }

// fingerprintOf returns a fingerprint that is the same when the request is sent again, also through
// another host.
func fingerprintOf(workspace spoke.WorkspaceID, call *spoke.RelayedCall) spoke.Fingerprint {
	digest := xxhash.New()
	// Writing to a digest does not fail.
	_, _ = digest.WriteString(string(workspace) + "\n" + call.Method + "\n" + call.Target + "\n")
	_, _ = digest.Write(call.Body)
	return spoke.Fingerprint(strconv.FormatUint(digest.Sum64(), 36))
}

// blockedUntil returns when a quarantined request may be tried again, the zero time if it may run now.
func (q *quarantine) blockedUntil(now time.Time, request spoke.RequestID, fingerprint spoke.Fingerprint) time.Time {
	return q.registry.Admit(now, request, fingerprint).Until
}

func (q *quarantine) list(now time.Time, limit int) []spoke.QuarantineMark {
	return q.registry.Marks(now, limit)
}
