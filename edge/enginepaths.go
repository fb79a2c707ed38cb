package edge

import (
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// pathsLostAfter is the time without any answer of an engine after which another host should give the orders. A
	// machine that falls silent for a second answers again before.
	pathsLostAfter = 1500 * time.Millisecond
	// minUnanswered is the least number of engines that do not answer; a single one may have failed itself.
	minUnanswered = 2
	// maxWitnesses bounds the engines that are asked only to tell lost ways from engines that have failed.
	maxWitnesses = 2
	// leaseYield is the time for which a host that reaches no engine leaves the orders lease to others.
	leaseYield = 5 * time.Second
)

// enginePaths tells whether the holder of the orders lease reaches the engines.
type enginePaths struct {
	// failingSince is when the first call was made since the last answer, zero if that was answered.
	failingSince time.Time
	unanswered   map[spoke.UpstreamID]bool
}

func newEnginePaths() enginePaths { return enginePaths{unanswered: make(map[spoke.UpstreamID]bool)} }

// observe records the result of a call that was made at a time.
func (p *enginePaths) observe(id spoke.UpstreamID, calledAt time.Time, isAnswered bool) {
	if isAnswered {
		*p = newEnginePaths()
		return
	}
	if p.failingSince.IsZero() {
		p.failingSince = calledAt
	}
	p.unanswered[id] = true
}

// areLost reports whether no engine has answered for some time.
func (p *enginePaths) areLost(now time.Time) bool {
	return len(p.unanswered) >= minUnanswered && now.Sub(p.failingSince) >= pathsLostAfter
}

// witnesses returns engines other than the outdated ones to ask if none of those answers.
func (p *enginePaths) witnesses(upstreams []spoke.Upstream, outdated []spoke.UpstreamID) []spoke.UpstreamID {
	if p.failingSince.IsZero() {
		return nil
	}
	isOutdated := make(map[spoke.UpstreamID]bool, len(outdated))
	for _, id := range outdated {
		isOutdated[id] = true
	}
	var witnesses []spoke.UpstreamID
	for _, upstream := range upstreams {
		if !isOutdated[upstream.ID] && upstream.State == spoke.UpstreamServing && len(witnesses) < maxWitnesses {
			witnesses = append(witnesses, upstream.ID)
		}
	}
	return witnesses
}
