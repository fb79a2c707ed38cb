package crash

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// requestsToMark is the number of requests, hit by crashes at different times, after which a part is
	// marked. The quarantine lets a request crash at most two upstreams.
	requestsToMark = 3
	// crashesToHurry is the number of crashes from which the decision must not wait.
	crashesToHurry = 5
	// burstTime is the time within which crashes count as one. Upstreams that fail together have a common
	// cause other than the requests.
	burstTime = 100 * time.Millisecond
	// requestsToHurry and burstsToHurry are the numbers of requests, and of crashes at different times, from
	// which the decision must not wait.
	requestsToHurry, burstsToHurry = 2, 2
	// settledAge is the age of a crash from which the observations of all hosts are expected to be known.
	// A lost report is repeated after a second.
	settledAge = 1100 * time.Millisecond
	// serviceTime is the time for which others have to be served before the lack of an answer counts.
	serviceTime = time.Second
	// expectedAnswers is the number of expected answers to requests with a part, without one of which the
	// part is overdue.
	expectedAnswers = 3
	// minHitShare bounds the share of requests that crashes hit from below, since this host knows few of
	// them. maxChance is the chance from which a part may be sound.
	minHitShare, maxChance = 0.05, 2e-4
	// maxServingHosts bounds the hosts that are assumed to serve as many requests as this one. Hosts of other
	// cells may serve other parts.
	maxServingHosts = 8
	// majority is the percentage of the crashes that a part has to explain if two requests suffice, and
	// servedMajority if it was sound before.
	majority, servedMajority = 60, 90
	// missingShare is the number of crashes of which one may have been missed.
	missingShare = 4
	// maxCandidates bounds the parts that are judged at a time. Judging one compares it with all suspects.
	maxCandidates = 64
	// evaluationInterval is the time after which the evidence is looked at again without a change.
	evaluationInterval = 50 * time.Millisecond
)

// The times to wait for an answer that clears a suspect. After crashesToHurry crashes the mark has to be
// known to all hosts within three seconds.
var (
	usualDelay = decisionDelay{afterFew: 2500 * time.Millisecond, afterMany: 1200 * time.Millisecond}
	// tieDelay is for several parts that nothing distinguishes.
	tieDelay = decisionDelay{afterMany: 2200 * time.Millisecond}
	// servedDelay is for parts that were sound before.
	servedDelay = decisionDelay{afterFew: 2500 * time.Millisecond, afterMany: time.Second}
	// clearedDelay is for parts that an answer has cleared of earlier crashes.
	clearedDelay = decisionDelay{afterFew: 4 * time.Second, afterMany: 2200 * time.Millisecond}
)

type (
	// crashSet is a set of indices of crash events.
	crashSet uint64

	// evidence is the set of crashes of which a part is suspected; fresh are those that hit a request for
	// the first time.
	evidence struct {
		all, fresh crashSet
	}

	// conviction is a part to mark, or several of which it is not known which one is the cause.
	conviction struct {
		part    spoke.PartHash
		with    []spoke.PartHash
		crashes int
	}

	decisionDelay struct {
		afterFew, afterMany time.Duration
	}
)

func (s crashSet) has(index int) bool           { return s&(1<<index) != 0 }
func (s crashSet) contains(other crashSet) bool { return s&other == other }
func (s crashSet) count() int                   { return bits.OnesCount64(uint64(s)) }

// evaluate marks the parts that the evidence convicts.
func (r *PartRegistry) evaluate(now time.Time) {
	r.recordSurvivors(now)
	if len(r.events) == 0 || !r.isStale && now.Sub(r.evaluatedAt) < evaluationInterval {
		return
	}
	r.prune(now)
	r.isStale, r.evaluatedAt = false, now
	for range maxMarks {
		found, ok := r.convict(now)
		if !ok {
			return
		}
		r.mark(now, found.part, found.with, found.crashes)
	}
}

// collect returns the evidence against each part from crashes that are settled and have no explanation.
func (r *PartRegistry) collect(now time.Time) map[spoke.PartHash]evidence {
	collected := make(map[spoke.PartHash]evidence)
	for i, event := range r.events {
		if !isSettled(now, event) {
			continue
		}
		for part, isFresh := range event.parts {
			if !r.isEvidence(event, part) {
				continue
			}
			found := collected[part]
			found.all |= 1 << i
			if isFresh {
				found.fresh |= 1 << i
			}
			collected[part] = found
		}
	}
	return collected
}

func isSettled(now time.Time, event *crashEvent) bool {
	return !event.isExplained && !event.isRefuted && now.Sub(event.at) >= settledAge
}

// convict returns the part that explains the most crashes, if the evidence suffices.
func (r *PartRegistry) convict(now time.Time) (conviction, bool) {
	collected := r.collect(now)
	var best conviction
	for _, part := range candidates(collected) {
		found := collected[part]
		if found.all.count() < best.crashes {
			break
		}
		with, ok := r.judge(now, part, collected)
		if !ok {
			continue
		}
		if found.all.count() > best.crashes || part < best.part {
			best = conviction{part: part, with: with, crashes: found.all.count()}
		}
	}
	return best, best.crashes > 0
}

// candidates returns the parts with enough crashes to be judged, those with the most crashes first.
func candidates(collected map[spoke.PartHash]evidence) []spoke.PartHash {
	var parts []spoke.PartHash
	for part, found := range collected {
		if found.all.count() >= requestsToMark {
			parts = append(parts, part)
		}
	}
	slices.SortFunc(parts, func(a, b spoke.PartHash) int {
		return cmp.Or(cmp.Compare(collected[b].all.count(), collected[a].all.count()), cmp.Compare(a, b))
	})
	return parts[:min(len(parts), maxCandidates)]
}

// judge returns whether the part is to be marked. If nothing distinguishes it from others and the decision must
// not wait, those are returned that, like the part itself, were never served.
func (r *PartRegistry) judge(now time.Time, part spoke.PartHash, collected map[spoke.PartHash]evidence) ([]spoke.PartHash, bool) {
	found := collected[part]
	if r.wasServed(part) || !r.seen.isReliable(now) {
		return nil, r.isServedPartConvicted(now, part, collected)
	}
	isDue := r.isHurried(now, found, usualDelay) || r.isRipe(now, found, usualDelay)
	isTieDue := r.isHurried(now, found, tieDelay)
	if !isDue && !isTieDue {
		return nil, false
	}
	rivals := rivalsOf(part, collected)
	if len(rivals) == 0 {
		return nil, isDue
	}
	return slices.DeleteFunc(rivals, r.wasServed), isTieDue
}

// isServedPartConvicted judges a part that was sound at an earlier time. It is convicted if it explains most
// crashes and is not served although others are.
func (r *PartRegistry) isServedPartConvicted(now time.Time, part spoke.PartHash, collected map[spoke.PartHash]evidence) bool {
	found := collected[part]
	if !r.explainsMost(now, found.all, servedMajority) || r.isDoubted(part, collected) || len(rivalsOf(part, collected)) > 0 {
		return false
	}
	delay := servedDelay
	if !r.clearedAt[part].IsZero() {
		delay = clearedDelay
	}
	last, ok := r.nthBurst(found.fresh, requestsToMark)
	if !ok || !r.isOverdue(part, last) && !r.isUnlikelySound(found) {
		return false
	}
	if r.isServiceUp(now, last, delay.afterFew) {
		return true
	}
	fifth := r.nthEvent(found.all, crashesToHurry)
	return !fifth.IsZero() && r.isServiceUp(now, latest(last, fifth), delay.afterMany)
}

// isOverdue reports whether so many requests have been served since a crash that the part is usually in several
// of them.
func (r *PartRegistry) isOverdue(part spoke.PartHash, crashedAt time.Time) bool {
	event := r.eventAt(crashedAt)
	if event == nil {
		return false
	}
	answers := event.answers * min(max(len(r.hosts), 1), maxServingHosts)
	return float64(answers)*r.seen.share(part) >= expectedAnswers
}

// isUnlikelySound reports whether a sound part is unlikely to be in only such requests that crashes hit, given
// the share of all requests of this host that they hit.
func (r *PartRegistry) isUnlikelySound(found evidence) bool {
	first := r.eventAt(r.nthEvent(found.all, 1))
	hits := 0
	for _, event := range r.events {
		if !event.at.Before(first.at) {
			hits += event.hits
		}
	}
	share := max(float64(hits)/float64(max(hits+first.answers, 1)), minHitShare)
	return math.Pow(share, float64(r.countBursts(found.fresh))) <= maxChance
}

// explainsMost reports whether the crashes are that percentage of those without an explanation since the first
// of them.
func (r *PartRegistry) explainsMost(now time.Time, crashes crashSet, percent int) bool {
	first, total := r.nthEvent(crashes, 1), 0
	for _, event := range r.events {
		if isSettled(now, event) && !event.at.Before(first) {
			total++
		}
	}
	return percent*total <= 100*crashes.count()
}

// isServiceUp reports whether answers that began after a crash have been served for the given time.
func (r *PartRegistry) isServiceUp(now, crashedAt time.Time, wanted time.Duration) bool {
	event := r.eventAt(crashedAt)
	return event != nil && !event.servedAt.IsZero() && now.Sub(event.servedAt) >= wanted
}

func (r *PartRegistry) eventAt(at time.Time) *crashEvent {
	i := slices.IndexFunc(r.events, func(event *crashEvent) bool { return event.at.Equal(at) })
	if i < 0 {
		return nil
	}
	return r.events[i]
}

// rivalsOf returns the other parts that are suspected of all crashes of which the part is suspected.
func rivalsOf(part spoke.PartHash, collected map[spoke.PartHash]evidence) []spoke.PartHash {
	var rivals []spoke.PartHash
	for other, found := range collected {
		if other != part && found.all.contains(collected[part].all) {
			rivals = append(rivals, other)
		}
	}
	slices.Sort(rivals)
	return rivals
}

// isDoubted reports whether a part that was never served is suspected of nearly all crashes of which the
// part is suspected. Some observations of crashes are missed.
func (r *PartRegistry) isDoubted(part spoke.PartHash, collected map[spoke.PartHash]evidence) bool {
	crashes := collected[part].all
	for other, found := range collected {
		missing := (crashes &^ found.all).count()
		if other != part && missingShare*missing <= crashes.count() && !r.wasServed(other) {
			return true
		}
	}
	return false
}

// wasServed reports whether a request with the part is known to have been served at any time.
func (r *PartRegistry) wasServed(part spoke.PartHash) bool { return !r.seen.latest(part).IsZero() }

// isRipe reports whether enough requests with a part that was never served were hit, and others have been
// served for some time since.
func (r *PartRegistry) isRipe(now time.Time, found evidence, delay decisionDelay) bool {
	last, ok := r.nthBurst(found.fresh, requestsToMark)
	if !ok && r.explainsMost(now, found.all, majority) && found.all.count() >= requestsToMark {
		last, ok = r.nthBurst(found.fresh, requestsToHurry)
		last = latest(last, r.nthEvent(found.all, requestsToMark))
	}
	if !ok {
		return false
	}
	return now.Sub(last) >= delay.afterFew && r.isServiceUp(now, last, serviceTime)
}

// isHurried reports the same for so many crashes that the decision must not wait.
func (r *PartRegistry) isHurried(now time.Time, found evidence, delay decisionDelay) bool {
	// The quarantine lets a request crash two upstreams, so five crashes may be due to few requests.
	if found.all.count() < crashesToHurry || found.fresh.count() < requestsToHurry {
		return false
	}
	burst, ok := r.nthBurst(found.all, burstsToHurry)
	last := latest(burst, r.nthEvent(found.all, crashesToHurry), r.nthEvent(found.fresh, requestsToHurry))
	return ok && now.Sub(last) >= delay.afterMany
}

func (r *PartRegistry) countBursts(crashes crashSet) int {
	count := 0
	for range crashes.count() {
		if _, ok := r.nthBurst(crashes, count+1); !ok {
			break
		}
		count++
	}
	return count
}

func latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }

// nthBurst returns the time of the nth crash of the set, where crashes within burstTime count as one.
func (r *PartRegistry) nthBurst(crashes crashSet, n int) (time.Time, bool) {
	var last time.Time
	for i, event := range r.events {
		if !crashes.has(i) || !last.IsZero() && event.at.Sub(last) < burstTime {
			continue
		}
		last = event.at
		if n--; n == 0 {
			return last, true
		}
	}
	return time.Time{}, false
}

// nthEvent returns the time of the nth crash of the set, the zero time if there are fewer.
func (r *PartRegistry) nthEvent(crashes crashSet, n int) time.Time {
	for i, event := range r.events {
		if crashes.has(i) {
			n--
		}
		if n == 0 {
			return event.at
		}
	}
	return time.Time{}
}
