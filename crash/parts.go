package crash

import (
	"sync"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// PartEndOther is the end of an attempt that tells nothing about the parts of its prompt.
	PartEndOther PartEnding = iota
	// PartEndServed is the end of an attempt whose answer was received whole.
	PartEndServed
	// PartEndCrashed is the end of an attempt whose connection broke and whose upstream no longer accepts
	// connections.
	PartEndCrashed
)

const (
	// PartMarked is the decision to refuse requests with a part.
	PartMarked PartDecisionKind = "marked"
	// PartProbed is the decision to send one request with a marked part.
	PartProbed PartDecisionKind = "probed"
	// PartEnded is the decision to accept requests with a part again.
	PartEnded PartDecisionKind = "ended"
)

type (
	// PartRegistry finds prompt parts that crash upstreams. It reads no clock, starts no goroutine and is
	// safe for concurrent use.
	PartRegistry struct {
		mu sync.Mutex
	}

	// PartOption changes a PartRegistry.
	PartOption func(*PartRegistry)

	// PartEnding states how an attempt ended.
	PartEnding int

	// PartDecisionKind names a decision on a part.
	PartDecisionKind string

	// PartAttempt is an attempt to send a prompt to an upstream.
	PartAttempt struct {
		ID spoke.AttemptID
		// Fingerprint is the same for all attempts and repeats of a request.
		Fingerprint spoke.Fingerprint
		Upstream    spoke.UpstreamStart
		// Parts lists all parts of the prompt; the last one belongs to the request itself.
		Parts []spoke.PromptPart
	}

	// PartVerdict states whether a request may be sent.
	PartVerdict struct {
		IsBlocked bool
		// Part is the marked part and Until the time at which it may be probed next, if the request is
		// blocked.
		Part  spoke.PartHash
		Until time.Time
	}

	// PartDecision is a decision to log and count.
	PartDecision struct {
		Kind PartDecisionKind
		Part spoke.PartHash
		// Until is the time of the first probe, if the part was marked.
		Until time.Time
		// Crashes is the number of crashes that this host knows of as caused by the part.
		Crashes int
		// From is the host whose report was adopted, empty for a decision of this host.
		From spoke.HostID
	}
)

// NewPartRegistry returns a registry without crashes and marks.
func NewPartRegistry(opts ...PartOption) *PartRegistry {
	r := &PartRegistry{}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// SetHosts sets the hosts that exchange reports, self included.
func (r *PartRegistry) SetHosts(self spoke.HostID, hosts []spoke.HostID) {}

// Admit returns whether a request with these parts may be queued. It changes nothing.
func (r *PartRegistry) Admit(now time.Time, parts []spoke.PromptPart) PartVerdict {
	return PartVerdict{}
}

// Begin returns whether the attempt may be sent now and, if so, records that it is. It has to be called
// before each attempt, retries and resumed streams included; an attempt that is blocked has no End.
func (r *PartRegistry) Begin(now time.Time, attempt PartAttempt) PartVerdict { return PartVerdict{} }

// Began records the first event of the answer to an attempt.
func (r *PartRegistry) Began(now time.Time, attempt spoke.AttemptID) {}

// End records the end of an attempt.
func (r *PartRegistry) End(now time.Time, attempt spoke.AttemptID, ending PartEnding) {}

// HasChanges reports whether Report has something new that should be sent at once.
func (r *PartRegistry) HasChanges() bool { return false }

// Report returns what other hosts, those of other cells included, should know: all that still matters if
// isFull, else what is new since the last report; and false if there is nothing.
func (r *PartRegistry) Report(now time.Time, isFull bool) (spoke.CrashReport, bool) {
	return spoke.CrashReport{}, false
}

// Receive adopts the report of another host.
func (r *PartRegistry) Receive(now time.Time, host spoke.HostID, report spoke.CrashReport) {}

// Decisions returns the decisions since the last call.
func (r *PartRegistry) Decisions() []PartDecision { return nil }
