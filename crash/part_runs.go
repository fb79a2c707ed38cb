package crash

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliaspoke.example/spoke"
)

const (
	// maxRunParts bounds the parts kept of an attempt.
	maxRunParts = 1024
	// beginMargin is the time from the first event within which a crash may still be due to the begin of
	// the answer.
	beginMargin = 300 * time.Millisecond
	// survivalTime is the time from the first event after which an answer that goes on clears the parts of
	// its prompt. It exceeds the time in which a broken connection is noticed.
	survivalTime = 500 * time.Millisecond
	// maxSeenParts bounds each of the two generations of parts that were served.
	maxSeenParts = 8192
	// seenTime is the time after the first answer from which a host has seen most parts that are served.
	seenTime = 3 * time.Second
	// maxHits bounds the requests that were hit by crashes.
	maxHits = 4096
)

type (
	partRun struct {
		fingerprint spoke.Fingerprint
		upstream    spoke.UpstreamStart
		parts       []spoke.PartHash
		probed      []spoke.PartHash
		sentAt      time.Time
		begunAt     time.Time
		isEnded     bool
		isServed    bool
	}

	// hit is the first crash that hit a request.
	hit struct {
		upstream spoke.UpstreamStart
		at       time.Time
	}

	// seenParts holds the answers to requests with a part, for the parts served last.
	seenParts struct {
		since        time.Time
		newer, older map[spoke.PartHash]seenPart
		// answers is the number of answers of this host.
		answers int
		// told holds the parts that a host has told the others of.
		told map[spoke.PartHash]struct{}
	}
)

// seenPart is what is known of the answers to requests with a part.
type seenPart struct {
	// began is the begin of the latest answer.
	began time.Time
	// answers is the number of answers of this host.
	answers int
}

// HashPart returns the hash of a part's id.
func HashPart(id spoke.PartID) spoke.PartHash { return spoke.PartHash(xxhash.Sum64String(string(id))) }

// sharedParts returns the parts that other requests may contain too. The last one belongs to the request
// or its session.
func sharedParts(parts []spoke.PromptPart) []spoke.PromptPart { return parts[:max(len(parts)-1, 0)] }

func newPartRun(now time.Time, attempt PartAttempt) *partRun {
	run := &partRun{fingerprint: attempt.Fingerprint, upstream: attempt.Upstream, sentAt: now}
	for _, part := range sharedParts(attempt.Parts) {
		run.parts = append(run.parts, HashPart(part.ID))
	}
	slices.Sort(run.parts)
	run.parts = slices.Compact(run.parts)
	if len(run.parts) > maxRunParts {
		run.parts = slices.Clone(run.parts[:maxRunParts])
	}
	return run
}

// isSuspect reports whether the attempt may have caused a crash that is observed now.
func (r *partRun) isSuspect(now time.Time) bool {
	return r.begunAt.IsZero() || now.Sub(r.begunAt) < beginMargin
}

// answerBegan returns the time at which the answer began at the earliest.
func (r *partRun) answerBegan() time.Time {
	if r.begunAt.IsZero() {
		return r.sentAt
	}
	return r.begunAt
}

// recordServed records that an answer is whole or has gone on for survivalTime.
func (r *PartRegistry) recordServed(now time.Time, run *partRun) {
	if run.isServed {
		return
	}
	run.isServed = true
	r.recordAnswered(now, run)
	began := run.answerBegan()
	r.noteService(now, began)
	r.seen.answers++
	for _, part := range run.parts {
		r.seen.put(part, began, 1)
		r.clear(now, part, began)
	}
	if r.hasMarks() {
		r.exonerateAll(now, run.parts, began)
	}
}

// recordSurvivors records the answers that have gone on for survivalTime.
func (r *PartRegistry) recordSurvivors(now time.Time) {
	for len(r.begun) > 0 && now.Sub(r.begun[0].begunAt) >= survivalTime {
		run := r.begun[0]
		r.begun[0] = nil
		r.begun = r.begun[1:]
		if !run.isEnded {
			r.recordServed(now, run)
		}
	}
}

// isRepeat reports whether another crash has already hit the request, and records this one.
func (r *PartRegistry) isRepeat(now time.Time, run *partRun) bool {
	first, isKnown := r.hits[run.fingerprint]
	if isKnown && now.Sub(first.at) < eventRetention {
		return first.upstream != run.upstream
	}
	if len(r.hits) >= maxHits {
		clear(r.hits)
	}
	r.hits[run.fingerprint] = hit{upstream: run.upstream, at: now}
	return false
}

func (s *seenParts) put(part spoke.PartHash, began time.Time, answers int) {
	if s.since.IsZero() {
		s.since = began
	}
	if s.newer == nil || len(s.newer) >= maxSeenParts {
		s.newer, s.older = make(map[spoke.PartHash]seenPart), s.newer
	}
	known := s.get(part)
	known.answers += answers
	if began.After(known.began) {
		known.began = began
	}
	s.newer[part] = known
}

func (s *seenParts) get(part spoke.PartHash) seenPart {
	if known, ok := s.newer[part]; ok {
		return known
	}
	return s.older[part]
}

// share returns the share of the answers of this host that were to requests with the part.
func (s *seenParts) share(part spoke.PartHash) float64 {
	return float64(s.get(part).answers) / float64(max(s.answers, 1))
}

// isReliable reports whether a part that is missing has probably never been served.
func (s *seenParts) isReliable(now time.Time) bool {
	return !s.since.IsZero() && now.Sub(s.since) >= seenTime
}

func (s *seenParts) isTold(part spoke.PartHash) bool {
	_, isTold := s.told[part]
	return isTold
}

func (s *seenParts) tell(part spoke.PartHash) {
	if s.told == nil || len(s.told) >= maxSeenParts {
		s.told = make(map[spoke.PartHash]struct{})
	}
	s.told[part] = struct{}{}
}

// latest returns the begin of the latest answer known to be served, the zero time if there is none.
func (s *seenParts) latest(part spoke.PartHash) time.Time { return s.get(part).began }
