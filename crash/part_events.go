package crash

import (
	"cmp"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// eventRetention is the time for which crashes are kept as evidence.
	eventRetention = 5 * time.Minute
	// maxEvents bounds the crashes kept, so that a set of them fits into crashSet.
	maxEvents = 64
	// maxEventParts bounds the parts of a crash over all hosts, maxHostParts those that one host adds.
	maxEventParts, maxHostParts = 256, 64
	// sameCrash is the time within which observations concern the same crash of an upstream. Afterwards
	// its entry may name a new start that it does not distinguish.
	sameCrash = 5 * time.Second
)

type (
	// crashEvent is a crash of one start of an upstream, as observed by all hosts.
	crashEvent struct {
		upstream spoke.UpstreamStart
		at       time.Time
		// parts are the suspects; the value is false if the request had been hit by an earlier crash.
		parts map[spoke.PartHash]bool
		// isOwn reports whether this host has observed the crash.
		isOwn     bool
		isChanged bool
		changedAt time.Time
		// servedAt is the time at which this host knew of an answer that began after the crash.
		servedAt time.Time
		// answers is the number of answers of this host that began after the crash.
		answers int
		// hits is the number of attempts of this host that the crash ended before their answers began.
		hits int
		// isExplained reports whether a marked part caused the crash.
		isExplained bool
		// isRefuted reports whether the same start answered a request that was sent after the crash, and
		// isRefutationOwn whether it was one of this host.
		isRefuted, isRefutationOwn bool
	}

	// servedReport is a part that this host has cleared.
	servedReport struct {
		began     time.Time
		recorded  time.Time
		isChanged bool
	}
)

// recordCrash adds the suspects of an attempt of this host to the crash that ended it.
func (r *PartRegistry) recordCrash(now time.Time, run *partRun) {
	for _, part := range run.probed {
		r.failProbe(now, part)
	}
	isFresh := !r.isRepeat(now, run)
	if len(run.parts) == 0 {
		return
	}
	event := r.eventOf(now, run.upstream)
	event.isOwn = true
	event.hits++
	for _, part := range r.mostSuspect(run.parts, maxHostParts) {
		if r.addSuspect(now, event, part, isFresh) {
			event.isChanged, event.changedAt, r.isChanged = true, now, true
		}
	}
	r.explainByMarks(event)
}

// eventOf returns the event of the upstream's crash at about that time.
func (r *PartRegistry) eventOf(at time.Time, upstream spoke.UpstreamStart) *crashEvent {
	for _, event := range r.events {
		if event.upstream.ID != upstream.ID || !event.upstream.Started.Equal(upstream.Started) {
			continue
		}
		if at.Sub(event.at).Abs() < sameCrash {
			if at.Before(event.at) {
				event.at = at
				r.sortEvents()
			}
			return event
		}
	}
	event := &crashEvent{upstream: upstream, at: at, parts: make(map[spoke.PartHash]bool)}
	r.events = append(r.events, event)
	r.sortEvents()
	if len(r.events) > maxEvents {
		r.dropEvent(event)
	}
	return event
}

func (r *PartRegistry) sortEvents() {
	slices.SortStableFunc(r.events, func(a, b *crashEvent) int { return a.at.Compare(b.at) })
}

// dropEvent drops an event other than keep: one with an explanation, or else the one that follows its
// predecessor at the shortest distance, so that those kept are spread over time.
func (r *PartRegistry) dropEvent(keep *crashEvent) {
	drop, shortest := -1, time.Duration(0)
	for i, event := range r.events {
		if event == keep {
			continue
		}
		distance := eventRetention
		if i > 0 {
			distance = event.at.Sub(r.events[i-1].at)
		}
		if event.isExplained || event.isRefuted {
			distance = -1
		}
		if drop < 0 || distance < shortest {
			drop, shortest = i, distance
		}
	}
	r.events = slices.Delete(r.events, drop, drop+1)
}

// addSuspect adds a part to the suspects of a crash and returns whether that is new.
func (r *PartRegistry) addSuspect(now time.Time, event *crashEvent, part spoke.PartHash, isFresh bool) bool {
	wasFresh, isKnown := event.parts[part]
	if isKnown && (wasFresh || !isFresh) || !isKnown && len(event.parts) >= maxEventParts {
		return false
	}
	event.parts[part] = isFresh
	r.suspects[part] = struct{}{}
	r.isStale = true
	if began := r.seen.latest(part); began.After(event.at) {
		r.clear(now, part, began)
	} else if !began.IsZero() && !r.seen.isTold(part) {
		r.tellServed(now, part, began)
	}
	return true
}

// clear takes back the evidence from crashes before the begin of an answer to a request with the part.
func (r *PartRegistry) clear(now time.Time, part spoke.PartHash, began time.Time) {
	if !r.clearBefore(part, began) {
		return
	}
	r.tellServed(now, part, began)
}

// tellServed reports an answer to a request with a suspect. Those from before the crash do not clear it, but
// tell that it was sound.
func (r *PartRegistry) tellServed(now time.Time, part spoke.PartHash, began time.Time) {
	r.seen.tell(part)
	r.served[part] = &servedReport{began: began, recorded: now, isChanged: true}
	r.isChanged = true
}

// noteService records an answer of this host.
func (r *PartRegistry) noteService(now, began time.Time) {
	for _, event := range r.events {
		if !event.at.Before(began) {
			continue
		}
		event.answers++
		if event.servedAt.IsZero() {
			event.servedAt = now
		}
	}
}

// clearBefore is clear without a report to other hosts; it returns whether the answer clears anything.
func (r *PartRegistry) clearBefore(part spoke.PartHash, began time.Time) bool {
	if _, isSuspect := r.suspects[part]; !isSuspect {
		return false
	}
	for _, event := range r.events {
		if event.isExplained || !event.at.Before(began) || !r.isEvidence(event, part) {
			continue
		}
		r.clearedAt[part] = began
		r.isStale = true
		return true
	}
	return false
}

// isEvidence reports whether the part is suspected of the crash and not cleared.
func (r *PartRegistry) isEvidence(event *crashEvent, part spoke.PartHash) bool {
	if _, isSuspect := event.parts[part]; !isSuspect || event.isRefuted {
		return false
	}
	return event.at.After(r.clearedAt[part])
}

// prune drops what is too old to matter.
func (r *PartRegistry) prune(now time.Time) {
	count := len(r.events)
	r.events = slices.DeleteFunc(r.events, func(e *crashEvent) bool { return now.Sub(e.at) >= eventRetention })
	if len(r.events) == count && !r.isStale {
		return
	}
	clear(r.suspects)
	for _, event := range r.events {
		if event.isExplained || event.isRefuted {
			continue
		}
		for part := range event.parts {
			r.suspects[part] = struct{}{}
		}
	}
	for part := range r.clearedAt {
		if _, isSuspect := r.suspects[part]; !isSuspect {
			delete(r.clearedAt, part)
		}
	}
	for part, served := range r.served {
		if !served.isChanged && now.Sub(served.recorded) >= repeatTime {
			delete(r.served, part)
		}
	}
}

// mostSuspect returns at most limit of the parts, those first that other hosts choose too: parts not known
// to be served, then those suspected already, then by hash.
func (r *PartRegistry) mostSuspect(parts []spoke.PartHash, limit int) []spoke.PartHash {
	if len(parts) <= limit {
		return parts
	}
	rank := make(map[spoke.PartHash]int, len(parts))
	for _, part := range parts {
		if !r.seen.latest(part).IsZero() {
			rank[part] += 2
		}
		if _, isSuspect := r.suspects[part]; !isSuspect {
			rank[part]++
		}
	}
	sorted := slices.Clone(parts)
	slices.SortFunc(sorted, func(a, b spoke.PartHash) int {
		return cmp.Or(cmp.Compare(rank[a], rank[b]), cmp.Compare(a, b))
	})
	return sorted[:limit]
}
