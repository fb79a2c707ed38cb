package runner

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

// errOtherVersion marks a run whose pieces name another version than its dispatch;
// unlike ErrWrongVersion it comes after the upstream has run.
var errOtherVersion = eris.New("upstream ran another model version")

// broke ends an attempt whose stream is silent or not to be trusted.
func (m *Machine) broke(now time.Time, err error) []Action {
	stop := StopAttempt{Attempt: m.attempt.id}
	return append([]Action{stop}, m.failed(now, err)...)
}

// failed decides what follows the end of an attempt without a complete answer.
func (m *Machine) failed(now time.Time, err error) []Action {
	failed := m.attempt
	m.attempt = attempt{}
	m.cause = err
	var refusal *spoke.Refusal
	switch {
	case errors.As(err, &refusal) && isFinal(refusal):
		return m.finish(m.final(refusal))
	case isNotRun(err):
		return m.refusedBy(now, failed.upstream, err)
	}
	m.ran = true
	if errors.Is(err, spoke.ErrPreempted) && m.preemptions < maxPreemptions {
		m.preemptions++
		return m.ask()
	}
	m.retry = true
	if errors.Is(err, spoke.ErrOwnerLost) && m.ownerLosses < maxOwnerLosses {
		m.ownerLosses++
		m.exclude[failed.upstream] = true
		return m.ask()
	}
	m.failures++
	var actions []Action
	if errors.Is(err, spoke.ErrUpstreamDied) {
		actions = append(actions, ReportDeath{Attempt: failed.id})
		m.exclude[failed.upstream] = true
	}
	m.blame(failed.upstream)
	if m.failures >= maxFailures {
		return append(actions, m.finish(m.final(m.brokenRefusal("no attempt is left")))...)
	}
	return append(actions, m.ask()...)
}

// blame keeps the request on its upstream after one broken stream and takes it
// elsewhere after more.
func (m *Machine) blame(upstream spoke.UpstreamID) {
	m.prefer = upstream
	m.broken[upstream]++
	if m.broken[upstream] >= sameUpstreamTries {
		m.exclude[upstream] = true
	}
}

// refusedBy tries the next upstream after one that did not run the attempt.
func (m *Machine) refusedBy(now time.Time, upstream spoke.UpstreamID, err error) []Action {
	m.exclude[upstream] = true
	if errors.Is(err, spoke.ErrWrongVersion) {
		m.wrong[upstream] = true
	}
	var refusal *spoke.Refusal
	if !errors.As(err, &refusal) {
		refusal = spoke.RefuseNotRun(codeOf(err), "upstream %s: %s", upstream, err)
	}
	m.refused = append(m.refused, refusal)
	if len(m.refused) >= maxRefusals || m.next >= len(m.route.Upstreams) {
		return m.exhausted(now)
	}
	return m.start(now)
}

// exhausted ends a round in which no upstream took the request.
func (m *Machine) exhausted(now time.Time) []Action {
	if m.mayChangeVersion() {
		return m.changeVersion()
	}
	refusal := m.roundRefusal()
	m.refused = nil
	return m.pause(now, refusal)
}

// mayChangeVersion reports whether upstreams refused only the version: what hosts
// know of versions lags behind a swap by some seconds.
func (m *Machine) mayChangeVersion() bool {
	return m.version == "" && len(m.wrong) > 0 && len(m.avoid) < maxVersions
}

// changeVersion asks for another version at the upstreams that refused this one.
func (m *Machine) changeVersion() []Action {
	m.avoid[m.route.Version] = true
	for upstream := range m.wrong {
		delete(m.exclude, upstream)
	}
	clear(m.wrong)
	return m.ask()
}

// pause waits for another round if work was done that would be lost, else it
// gives the final answer at once.
func (m *Machine) pause(now time.Time, refusal *spoke.Refusal) []Action {
	m.rounds++
	if !m.ran || m.rounds > m.roundLimit() {
		return m.finish(m.final(refusal))
	}
	clear(m.exclude)
	m.wait(now, refusal.RetryAfter)
	return nil
}

// hold waits until a suspect may run alone.
func (m *Machine) hold(now time.Time) []Action {
	m.rounds++
	if m.rounds > maxRounds {
		refusal := spoke.RefuseNotRun(spoke.CodeOverloaded, "the same request still runs alone")
		refusal.RetryAfter = maxPause
		return m.finish(m.final(refusal))
	}
	m.wait(now, 0)
	return nil
}

func (m *Machine) roundLimit() int {
	if m.answer.tokens == 0 {
		return maxRoundsUndelivered
	}
	return maxRounds
}

func (m *Machine) wait(now time.Time, hint time.Duration) {
	backoff := min(minPause<<(m.rounds-1), maxPause)
	m.resume = now.Add(min(max(hint, backoff), maxPause))
	m.state = StateQueued
}

// roundRefusal sums up the refusals of a round; the shortest hint stands.
func (m *Machine) roundRefusal() *spoke.Refusal {
	if len(m.refused) == 0 {
		refusal := spoke.RefuseNotRun(spoke.CodeNoUpstream, "no upstream of service %s is in reach", m.request.Service)
		refusal.RetryAfter = noUpstreamHint
		return refusal
	}
	sum := *m.refused[len(m.refused)-1]
	for _, refusal := range m.refused {
		if refusal.Code == spoke.CodeOverloaded {
			sum.Code, sum.Message = refusal.Code, refusal.Message
		}
		if hint := refusal.RetryAfter; hint > 0 && (sum.RetryAfter == 0 || hint < sum.RetryAfter) {
			sum.RetryAfter = hint
		}
	}
	if sum.RetryAfter == 0 {
		sum.RetryAfter = noUpstreamHint
	}
	return &sum
}

// final returns a copy of the refusal with the request id and the true outcome.
func (m *Machine) final(refusal *spoke.Refusal) *spoke.Refusal {
	last := *refusal
	last.Request = m.request.ID
	if m.ran {
		last.Outcome = spoke.OutcomeUnknown
	}
	return &last
}

func (m *Machine) brokenRefusal(reason string) *spoke.Refusal {
	refusal := spoke.RefuseUnknown(spoke.CodeUpstreamFailed, "%s after %d failures, the last one: %v", reason, m.failures, m.cause)
	refusal.RetryAfter = noUpstreamHint
	return refusal
}

// abandon ends the request together with its attempt.
func (m *Machine) abandon(code spoke.RefusalCode, reason string) []Action {
	var actions []Action
	if m.attempt.id != "" {
		m.ran = true
		actions = append(actions, StopAttempt{Attempt: m.attempt.id})
	}
	return append(actions, m.finish(m.final(spoke.RefuseNotRun(code, "%s", reason)))...)
}

// isNotRun reports whether the upstream certainly ran nothing of the attempt.
func isNotRun(err error) bool {
	var refusal *spoke.Refusal
	if errors.As(err, &refusal) {
		return refusal.Outcome == spoke.OutcomeNotRun
	}
	for _, refused := range []error{spoke.ErrNotRun, spoke.ErrBusy, spoke.ErrDraining, spoke.ErrWrongVersion} {
		if errors.Is(err, refused) {
			return true
		}
	}
	return false
}

// isFinal reports whether no other upstream would answer otherwise.
func isFinal(refusal *spoke.Refusal) bool {
	switch refusal.Code {
	case spoke.CodeOverloaded, spoke.CodeNoUpstream, spoke.CodeNotReady, spoke.CodeUpstreamFailed:
		return false
	}
	return true
}

func codeOf(err error) spoke.RefusalCode {
	if errors.Is(err, spoke.ErrBusy) {
		return spoke.CodeOverloaded
	}
	return spoke.CodeNoUpstream
}
