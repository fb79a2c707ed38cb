package runner

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

// errVersionMismatch reports a run whose pieces have another version than its dispatch.
// Unlike after ErrWrongVersion, the upstream has run the attempt.
var errVersionMismatch = eris.New("upstream ran another model version")

// stopAndFail cancels an attempt whose stream is idle or invalid, and handles its failure.
func (m *Machine) stopAndFail(now time.Time, err error) []Action {
	stop := StopAttempt{Attempt: m.attempt.id}
	return append([]Action{stop}, m.handleFailure(now, err)...)
}

// handleFailure decides how the request continues after an attempt without a complete answer.
func (m *Machine) handleFailure(now time.Time, err error) []Action {
	failed := m.attempt
	m.attempt = attempt{}
	m.lastErr = err
	var refusal *spoke.Refusal
	switch {
	case errors.As(err, &refusal) && isFinal(refusal):
		return m.finish(m.finalRefusal(refusal))
	case isNotRun(err):
		return m.handleNotRun(now, failed.upstream, err)
	}
	m.mayHaveRun = true
	if errors.Is(err, spoke.ErrPreempted) && m.preemptions < maxPreemptions {
		m.preemptions++
		return m.requestRoute()
	}
	m.isRetry = true
	if errors.Is(err, spoke.ErrOwnerLost) && m.ownerLosses < maxOwnerLosses {
		m.ownerLosses++
		m.exclude[failed.upstream] = true
		return m.requestRoute()
	}
	m.failures++
	var actions []Action
	if errors.Is(err, spoke.ErrUpstreamDied) {
		actions = append(actions, ReportDeath{Attempt: failed.id})
		m.exclude[failed.upstream] = true
	}
	m.countStreamFailure(failed.upstream)
	if m.failures >= maxFailures {
		return append(actions, m.finish(m.finalRefusal(m.failureRefusal("no attempt is left")))...)
	}
	return append(actions, m.requestRoute()...)
}

// countStreamFailure counts a failed stream of the upstream. The upstream is preferred for the
// next attempt until it reaches maxStreamFailures; then it is excluded.
func (m *Machine) countStreamFailure(upstream spoke.UpstreamID) {
	m.prefer = upstream
	m.streamFailures[upstream]++
	if m.streamFailures[upstream] >= maxStreamFailures {
		m.exclude[upstream] = true
	}
}

// handleNotRun starts an attempt at the next upstream after one that did not run the attempt,
// or ends the round.
func (m *Machine) handleNotRun(now time.Time, upstream spoke.UpstreamID, err error) []Action {
	m.exclude[upstream] = true
	if errors.Is(err, spoke.ErrWrongVersion) {
		m.wrongVersion[upstream] = true
	}
	var refusal *spoke.Refusal
	if !errors.As(err, &refusal) {
		refusal = spoke.RefuseNotRun(codeOf(err), "upstream %s: %s", upstream, err)
	}
	m.refusals = append(m.refusals, refusal)
	if len(m.refusals) >= maxRefusals || m.nextUpstream >= len(m.route.Upstreams) {
		return m.endRound(now)
	}
	return m.startAttempt(now)
}

// endRound ends a round in which no upstream accepted the request.
func (m *Machine) endRound(now time.Time) []Action {
	if m.mayChangeVersion() {
		return m.changeVersion()
	}
	refusal := m.roundRefusal()
	m.refusals = nil
	return m.waitOrFinish(now, refusal)
}

// mayChangeVersion reports whether the request can be routed to another version: no text has
// been delivered yet and an upstream refused the version of this round. Such refusals occur
// because the versions in load summaries lag some seconds behind a swap.
func (m *Machine) mayChangeVersion() bool {
	return m.version == "" && len(m.wrongVersion) > 0 && len(m.avoid) < maxVersions
}

// changeVersion requests a route for another version; the upstreams that refused this version
// may be used for it.
func (m *Machine) changeVersion() []Action {
	m.avoid[m.route.Version] = true
	for upstream := range m.wrongVersion {
		delete(m.exclude, upstream)
	}
	clear(m.wrongVersion)
	return m.requestRoute()
}

// waitOrFinish schedules another round if the request may have run, since that work would be
// lost otherwise. It finishes the request at once if nothing has run or no rounds are left.
func (m *Machine) waitOrFinish(now time.Time, refusal *spoke.Refusal) []Action {
	m.rounds++
	if !m.mayHaveRun || m.rounds > m.roundLimit() {
		return m.finish(m.finalRefusal(refusal))
	}
	clear(m.exclude)
	m.backOff(now, refusal.RetryAfter)
	return nil
}

// waitForSolo backs off while an identical request, suspected of crashing upstreams, runs in
// isolation.
func (m *Machine) waitForSolo(now time.Time) []Action {
	m.rounds++
	if m.rounds > maxRounds {
		refusal := spoke.RefuseNotRun(spoke.CodeOverloaded, "the same request still runs alone")
		refusal.RetryAfter = maxBackoff
		return m.finish(m.finalRefusal(refusal))
	}
	m.backOff(now, 0)
	return nil
}

func (m *Machine) roundLimit() int {
	if m.answer.tokens == 0 {
		return maxRoundsUndelivered
	}
	return maxRounds
}

func (m *Machine) backOff(now time.Time, hint time.Duration) {
	backoff := min(minBackoff<<(m.rounds-1), maxBackoff)
	m.resumeAt = now.Add(min(max(hint, backoff), maxBackoff))
	m.state = StateQueued
}

// roundRefusal summarises the refusals of a round. An overload takes precedence over other
// causes, and the shortest retry hint is used.
func (m *Machine) roundRefusal() *spoke.Refusal {
	if len(m.refusals) == 0 {
		refusal := spoke.RefuseNotRun(spoke.CodeNoUpstream, "no upstream of service %s is in reach", m.request.Service)
		refusal.RetryAfter = defaultRetryAfter
		return refusal
	}
	sum := *m.refusals[len(m.refusals)-1]
	for _, refusal := range m.refusals {
		if refusal.Code == spoke.CodeOverloaded {
			sum.Code, sum.Message = refusal.Code, refusal.Message
		}
		if hint := refusal.RetryAfter; hint > 0 && (sum.RetryAfter == 0 || hint < sum.RetryAfter) {
			sum.RetryAfter = hint
		}
	}
	if sum.RetryAfter == 0 {
		sum.RetryAfter = defaultRetryAfter
	}
	return &sum
}

// finalRefusal returns a copy of the refusal with the request id; its outcome is unknown if any
// attempt may have run.
func (m *Machine) finalRefusal(refusal *spoke.Refusal) *spoke.Refusal {
	result := *refusal
	result.Request = m.request.ID
	if m.mayHaveRun {
		result.Outcome = spoke.OutcomeUnknown
	}
	return &result
}

func (m *Machine) failureRefusal(reason string) *spoke.Refusal {
	refusal := spoke.RefuseUnknown(spoke.CodeUpstreamFailed, "%s after %d failures, the last one: %v", reason, m.failures, m.lastErr)
	refusal.RetryAfter = defaultRetryAfter
	return refusal
}

// abandon cancels the attempt in progress and finishes the request.
func (m *Machine) abandon(code spoke.RefusalCode, reason string) []Action {
	var actions []Action
	if m.attempt.id != "" {
		m.mayHaveRun = true
		actions = append(actions, StopAttempt{Attempt: m.attempt.id})
	}
	return append(actions, m.finish(m.finalRefusal(spoke.RefuseNotRun(code, "%s", reason)))...)
}

// isNotRun reports whether the error proves that the upstream did not run the attempt.
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

// isFinal reports whether every other upstream would refuse the request as well.
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
