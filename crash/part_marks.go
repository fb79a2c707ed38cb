package crash

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliaspoke.example/spoke"
)

const (
	defaultFirstTerm = 30 * time.Second
	defaultMaxTerm   = 10 * time.Minute
	// termFactor multiplies the term when a probe crashes. With it, a part gets two probes within the first
	// ten minutes.
	termFactor = 6
	// probeTurn is the time after which twice as many hosts may probe.
	probeTurn = 4 * time.Second
	// probeHold is the time for which all other hosts wait for the result of a probe.
	probeHold = 10 * time.Second
	// maxMarks bounds the marks.
	maxMarks = 64
	// maxMarkWith bounds the parts of a mark of which it is not known which one is the cause.
	maxMarkWith = 16
	// endedRetention is the time for which ended marks are kept; a part that is marked again within it gets
	// a longer term.
	endedRetention = 10 * time.Minute
	// maxRevision bounds the revisions that are accepted.
	maxRevision = 1 << 32
)

// partMark is the mark of a part or its end.
type partMark struct {
	part spoke.PartHash
	// with lists parts that a request has to contain too in order to be refused.
	with     []spoke.PartHash
	revision uint64
	term     time.Duration
	// until is the time of the first probe, or that of the end.
	until   time.Time
	isEnded bool
	// crashedAt is the latest crash that the part explains.
	crashedAt time.Time
	isChanged bool
}

// check returns whether a request with these parts may be sent, and the marks that it would probe.
func (r *PartRegistry) check(now time.Time, parts []spoke.PromptPart) (PartVerdict, []*partMark) {
	var probed []*partMark
	if !r.hasMarks() {
		return PartVerdict{}, nil
	}
	for _, part := range sharedParts(parts) {
		mark := r.marks[HashPart(part.ID)]
		if mark == nil || mark.isEnded || !containsAll(parts, mark.with) {
			continue
		}
		if !r.mayProbe(now, mark) {
			return PartVerdict{IsBlocked: true, Part: mark.part, Until: mark.nextProbe(now)}, nil
		}
		if !slices.Contains(probed, mark) {
			probed = append(probed, mark)
		}
	}
	return PartVerdict{}, probed
}

func containsAll(parts []spoke.PromptPart, wanted []spoke.PartHash) bool {
	if len(wanted) == 0 {
		return true
	}
	found := make(map[spoke.PartHash]bool, len(wanted))
	for _, part := range sharedParts(parts) {
		if hash := HashPart(part.ID); slices.Contains(wanted, hash) {
			found[hash] = true
		}
	}
	return len(found) == len(wanted)
}

func (r *PartRegistry) hasMarks() bool {
	for _, mark := range r.marks {
		if !mark.isEnded {
			return true
		}
	}
	return false
}

func (r *PartRegistry) activeMarks() []*partMark {
	var active []*partMark
	for _, mark := range r.marks {
		if !mark.isEnded {
			active = append(active, mark)
		}
	}
	return active
}

func (m *partMark) nextProbe(now time.Time) time.Time {
	if m.until.After(now) {
		return m.until
	}
	return now.Add(probeTurn)
}

// mayProbe reports whether this host may send a request with the part. Rendezvous hashing chooses one host
// at first, and twice as many with each turn in which none has had such a request.
func (r *PartRegistry) mayProbe(now time.Time, mark *partMark) bool {
	waited := now.Sub(mark.until)
	if waited < 0 {
		return false
	}
	turns := min(int(waited/probeTurn), 16)
	return rankOf(r.self, r.hosts, uint64(mark.part)+mark.revision) < 1<<turns
}

// rankOf returns the position of a host in the order of rendezvous hashing.
func rankOf(self spoke.HostID, hosts []spoke.HostID, key uint64) int {
	own, rank := rendezvousScore(self, key), 0
	for _, host := range hosts {
		if rendezvousScore(host, key) > own {
			rank++
		}
	}
	return rank
}

func rendezvousScore(host spoke.HostID, key uint64) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(key)
	// Writing to a digest does not fail.
	_, _ = digest.WriteString(string(host))
	return digest.Sum64()
}

func (r *PartRegistry) mark(now time.Time, part spoke.PartHash, with []spoke.PartHash, crashes int) {
	known := r.marks[part]
	if known == nil {
		known = &partMark{part: part}
	}
	known.term = r.nextTerm(known.term)
	known.with, known.isEnded = with[:min(len(with), maxMarkWith)], false
	r.change(now, known, now.Add(known.term))
	r.explain(known)
	r.decide(PartDecision{Kind: PartMarked, Part: part, Until: known.until, Crashes: crashes})
}

func (r *PartRegistry) nextTerm(term time.Duration) time.Duration {
	if term == 0 {
		return r.firstTerm
	}
	return min(term*termFactor, r.maxTerm)
}

// change gives the mark its next revision, which is reported to all hosts.
func (r *PartRegistry) change(now time.Time, mark *partMark, until time.Time) {
	mark.until = until
	mark.revision++
	mark.isChanged, r.isChanged = true, true
	r.marks[mark.part] = mark
	r.evictMarks(now, mark)
}

// startProbe makes all hosts wait for the result of a probe of this host.
func (r *PartRegistry) startProbe(now time.Time, mark *partMark) {
	r.change(now, mark, now.Add(probeHold))
	r.decide(PartDecision{Kind: PartProbed, Part: mark.part, Until: mark.until})
}

func (r *PartRegistry) failProbe(now time.Time, part spoke.PartHash) {
	if mark := r.marks[part]; mark != nil && !mark.isEnded {
		r.mark(now, part, mark.with, 1)
	}
}

// exonerateAll ends the marks of parts in a request whose answer began after their last crash. A mark of
// several parts, of which it is not known which one is the cause, goes on for those not in the request.
func (r *PartRegistry) exonerateAll(now time.Time, parts []spoke.PartHash, began time.Time) {
	for _, mark := range r.activeMarks() {
		if !began.After(mark.crashedAt) {
			continue
		}
		isServed := func(part spoke.PartHash) bool { return slices.Contains(parts, part) }
		rest := slices.DeleteFunc(slices.Clone(mark.with), isServed)
		switch {
		case isServed(mark.part):
			r.end(now, mark, rest)
		case len(rest) < len(mark.with):
			mark.with = rest
			r.change(now, mark, mark.until)
		}
	}
}

// end ends the mark of a part and passes it on to the rest.
func (r *PartRegistry) end(now time.Time, mark *partMark, rest []spoke.PartHash) {
	if len(rest) > 0 {
		r.passOn(now, mark, rest)
	}
	mark.isEnded, mark.with = true, nil
	r.change(now, mark, now)
	r.decide(PartDecision{Kind: PartEnded, Part: mark.part})
}

// passOn marks the rest of the parts of a mark.
func (r *PartRegistry) passOn(now time.Time, mark *partMark, rest []spoke.PartHash) {
	next := r.marks[rest[0]]
	if next == nil {
		next = &partMark{part: rest[0]}
	} else if !next.isEnded {
		return
	}
	next.with, next.isEnded = rest[1:], false
	next.term, next.crashedAt = mark.term, mark.crashedAt
	r.change(now, next, mark.until)
	r.decide(PartDecision{Kind: PartMarked, Part: next.part, Until: next.until})
}

// explain attributes crashes to a marked part, so that they are no evidence against others.
func (r *PartRegistry) explain(mark *partMark) {
	for _, event := range r.events {
		r.explainEvent(event, mark)
	}
}

func (r *PartRegistry) explainByMarks(event *crashEvent) {
	for part := range event.parts {
		if mark := r.marks[part]; mark != nil {
			r.explainEvent(event, mark)
		}
	}
}

func (r *PartRegistry) explainEvent(event *crashEvent, mark *partMark) {
	if !r.isEvidence(event, mark.part) || mark.isEnded && event.at.After(mark.until) {
		return
	}
	for _, part := range mark.with {
		if !r.isEvidence(event, part) {
			return
		}
	}
	event.isExplained, r.isStale = true, true
	if event.at.After(mark.crashedAt) {
		mark.crashedAt = event.at
	}
}

// adopt takes over the mark of another host if it is newer.
func (r *PartRegistry) adopt(now time.Time, host spoke.HostID, reported spoke.PartMark) {
	if reported.Revision == 0 || reported.Revision > maxRevision {
		return
	}
	known := r.marks[reported.Part]
	if known != nil && !isNewer(reported, known) {
		return
	}
	if known == nil {
		known = &partMark{part: reported.Part}
		r.marks[reported.Part] = known
	}
	wasActive := known.revision > 0 && !known.isEnded
	known.revision, known.isEnded = reported.Revision, reported.IsEnded
	known.with = slices.Clone(reported.With[:min(len(reported.With), maxMarkWith)])
	known.term = min(max(reported.Term, r.firstTerm), r.maxTerm)
	remaining := min(max(reported.Remaining, 0), max(known.term, probeHold))
	known.until = now.Add(remaining)
	// Answers that began before the mark do not end it, even if this host does not know the crashes.
	if markedAt := now.Add(min(remaining-known.term, 0)); markedAt.After(known.crashedAt) {
		known.crashedAt = markedAt
	}
	r.evictMarks(now, known)
	r.explain(known)
	switch {
	case reported.IsEnded && wasActive:
		r.decide(PartDecision{Kind: PartEnded, Part: known.part, From: host})
	case !reported.IsEnded && !wasActive:
		r.decide(PartDecision{Kind: PartMarked, Part: known.part, Until: known.until, From: host})
	}
}

// isNewer orders revisions. Of the same one, a mark precedes its end, and the host that suspects fewer parts
// knows more.
func isNewer(reported spoke.PartMark, known *partMark) bool {
	switch {
	case reported.Revision != known.revision:
		return reported.Revision > known.revision
	case reported.IsEnded || known.isEnded:
		return known.isEnded && !reported.IsEnded
	}
	return len(reported.With) < len(known.with)
}

// evictMarks drops marks that ended long ago and, while there are too many, one other than keep: an ended
// one, or the one that is probed first.
func (r *PartRegistry) evictMarks(now time.Time, keep *partMark) {
	for part, mark := range r.marks {
		if mark.isEnded && now.Sub(mark.until) >= endedRetention {
			delete(r.marks, part)
		}
	}
	for len(r.marks) > maxMarks {
		var drop *partMark
		for _, mark := range r.marks {
			if mark != keep && (drop == nil || isLessImportant(mark, drop)) {
				drop = mark
			}
		}
		delete(r.marks, drop.part)
	}
}

func isLessImportant(a, b *partMark) bool {
	if a.isEnded != b.isEnded {
		return a.isEnded
	}
	return a.until.Before(b.until)
}
