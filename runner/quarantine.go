package runner

import (
	"time"

	"magnoliaspoke.example/spoke"
)

type (
	// Quarantine isolates requests that crash upstreams; it is safe for concurrent use.
	Quarantine interface {
		// Admit says how the fingerprint may run now.
		Admit(now time.Time, fingerprint spoke.Fingerprint) Verdict
		// Died reports that the upstream died while it ran the attempt.
		Died(now time.Time, attempt spoke.AttemptID)
	}

	// Verdict says how a request may run.
	Verdict struct {
		// Solo demands that no other suspect runs beside it.
		Solo bool
		// Held says that the same suspect runs already; ask again later.
		Held bool
		// Until is the end of the quarantine of a marked request, else zero.
		Until time.Time
	}
)
