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

// maxDecisions bounds the decisions that wait for the caller of Decisions.
const maxDecisions = 256

type (
	// PartRegistry finds prompt parts that crash upstreams. It reads no clock, starts no goroutine and is
	// safe for concurrent use.
	PartRegistry struct {
		firstTerm time.Duration
		maxTerm   time.Duration

		mu    sync.Mutex
		self  spoke.HostID
		hosts []spoke.HostID
		// runs are the attempts under way; begun lists those with a first event in the order of it.
		runs  map[spoke.AttemptID]*partRun
		begun []*partRun
		// hits are the requests that a crash has hit.
		hits   map[spoke.Fingerprint]hit
		events []*crashEvent
		// suspects are the parts in events without an explanation.
		suspects map[spoke.PartHash]struct{}
		// clearedAt is the begin of the latest answer to a request with a suspect.
		clearedAt map[spoke.PartHash]time.Time
		seen      seenParts
		answered  answeredStarts
		served    map[spoke.PartHash]*servedReport
		marks     map[spoke.PartHash]*partMark
		decisions []PartDecision

		isChanged   bool
		isResending bool
		isStale     bool
		evaluatedAt time.Time
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
	r := &PartRegistry{
		firstTerm: defaultFirstTerm,
		maxTerm:   defaultMaxTerm,
		runs:      make(map[spoke.AttemptID]*partRun),
		hits:      make(map[spoke.Fingerprint]hit),
		suspects:  make(map[spoke.PartHash]struct{}),
		clearedAt: make(map[spoke.PartHash]time.Time),
		answered:  make(answeredStarts),
		served:    make(map[spoke.PartHash]*servedReport),
		marks:     make(map[spoke.PartHash]*partMark),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// WithMarkTerms sets the time from a mark to its first probe and the bound of that time for marks whose
// probes crash.
func WithMarkTerms(first, longest time.Duration) PartOption {
	return func(r *PartRegistry) { r.firstTerm, r.maxTerm = first, longest }
}

// SetHosts sets the hosts that exchange reports, self included. If there is a new one, the next report
// holds all that this host knows.
func (r *PartRegistry) SetHosts(self spoke.HostID, hosts []spoke.HostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := make(map[spoke.HostID]bool, len(r.hosts))
	for _, host := range r.hosts {
		known[host] = true
	}
	for _, host := range hosts {
		if !known[host] && host != self {
			r.resendAll()
		}
	}
	r.self, r.hosts = self, append([]spoke.HostID(nil), hosts...)
}

// ResendAll makes the next report hold all that this host knows, for a host that has restarted.
func (r *PartRegistry) ResendAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resendAll()
}

// Admit returns whether a request with these parts may be queued. It starts no probe.
func (r *PartRegistry) Admit(now time.Time, parts []spoke.PromptPart) PartVerdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evaluate(now)
	verdict, _ := r.check(now, parts)
	return verdict
}

// Begin returns whether the attempt may be sent now and, if so, records that it is. It has to be called
// before each attempt, retries and resumed streams included; an attempt that is blocked has no End.
func (r *PartRegistry) Begin(now time.Time, attempt PartAttempt) PartVerdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evaluate(now)
	verdict, probed := r.check(now, attempt.Parts)
	if verdict.IsBlocked {
		return verdict
	}
	run := newPartRun(now, attempt)
	for _, mark := range probed {
		r.startProbe(now, mark)
		run.probed = append(run.probed, mark.part)
	}
	r.runs[attempt.ID] = run
	return PartVerdict{}
}

// Began records the first event of the answer to an attempt.
func (r *PartRegistry) Began(now time.Time, attempt spoke.AttemptID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run := r.runs[attempt]; run != nil && run.begunAt.IsZero() {
		run.begunAt = now
		r.recordAnswered(now, run)
		r.begun = append(r.begun, run)
	}
}

// End records the end of an attempt.
func (r *PartRegistry) End(now time.Time, attempt spoke.AttemptID, ending PartEnding) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := r.runs[attempt]
	if run == nil {
		return
	}
	delete(r.runs, attempt)
	run.isEnded = true
	switch {
	case ending == PartEndServed:
		r.recordServed(now, run)
	case ending == PartEndCrashed && run.isSuspect(now):
		r.recordCrash(now, run)
	}
	r.evaluate(now)
}

// Decisions returns the decisions since the last call.
func (r *PartRegistry) Decisions() []PartDecision {
	r.mu.Lock()
	defer r.mu.Unlock()
	decisions := r.decisions
	r.decisions = nil
	return decisions
}

func (r *PartRegistry) decide(decision PartDecision) {
	if len(r.decisions) < maxDecisions {
		r.decisions = append(r.decisions, decision)
	}
}
