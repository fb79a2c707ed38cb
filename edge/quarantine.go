package edge

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/crash"
)

const (
	// markTTL is short, since calls that merely ran at the same time as the faulty one are marked too. It is also the
	// time for which one crash counts.
	markTTL = 30 * time.Second
	// maxMarkTTL bounds the time for which a request is refused after each of its probes has crashed.
	maxMarkTTL = 10 * time.Minute
)

// quarantine identifies requests that crash the upstreams that run them.
type quarantine struct{ registry *crash.Registry }

func newQuarantine() *quarantine {
	return &quarantine{registry: crash.New(crash.WithExpiry(markTTL), crash.WithTerms(markTTL, maxMarkTTL))}
}

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
