package place

import (
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// returnTime is the time after the return of the directory from an older copy in which it may show outdated
	// entries. At other times its order counts, whatever numbers an entry has.
	returnTime = 6 * time.Second
	// removedRetention is how long removed upstreams are remembered.
	removedRetention = time.Minute
)

type (
	// LatestEntries recognizes entries of upstreams that are older than what the directory has shown before, for a
	// time after its return from an older copy. The zero value has seen nothing.
	LatestEntries struct {
		known         map[spoke.UpstreamID]latestEntry
		returnedUntil time.Time
	}

	// latestEntry is the latest entry of an upstream.
	latestEntry struct {
		listed spoke.ListedUpstream
		// removedAt is zero while the upstream is listed.
		removedAt time.Time
	}
)

// Return records that the directory has returned from an older copy.
func (l *LatestEntries) Return(now time.Time) { l.returnedUntil = now.Add(returnTime) }

// Update returns a change without outdated entries: those of listed upstreams are replaced by their latest ones, those
// of removed upstreams are left out.
func (l *LatestEntries) Update(now time.Time, change spoke.DirectoryChange) spoke.DirectoryChange {
	if l.known == nil {
		l.known = make(map[spoke.UpstreamID]latestEntry)
	}
	listed := make(map[spoke.UpstreamID]bool, len(change.Upstreams))
	var latest []spoke.ListedUpstream
	for _, entry := range change.Upstreams {
		listed[entry.ID] = true
		if newest, isListed := l.newest(now, entry); isListed {
			l.known[entry.ID] = latestEntry{listed: newest}
			latest = append(latest, newest)
		}
	}
	change.Upstreams = latest
	for _, id := range change.RemovedUpstreams {
		l.remove(now, id)
	}
	if change.IsSnapshot && !change.KeepsUnlisted {
		l.removeUnlisted(now, listed)
	}
	l.prune(now)
	return change
}

func (l *LatestEntries) removeUnlisted(now time.Time, listed map[spoke.UpstreamID]bool) {
	for id := range l.known {
		if !listed[id] {
			l.remove(now, id)
		}
	}
}

// newest returns the latest entry of an upstream; it returns false if that has left.
func (l *LatestEntries) newest(now time.Time, entry spoke.ListedUpstream) (spoke.ListedUpstream, bool) {
	known, isKnown := l.known[entry.ID]
	if !isKnown || !now.Before(l.returnedUntil) || entry.Started.IsZero() || known.listed.Started.IsZero() || entry.Started.After(known.listed.Started) {
		return entry, true
	}
	isOlder := entry.Started.Before(known.listed.Started) || entry.Sequence < known.listed.Sequence
	if known.removedAt.IsZero() {
		if isOlder {
			entry = known.listed
		}
		return entry, true
	}
	isSame := entry.Started.Equal(known.listed.Started) && entry.Sequence == known.listed.Sequence
	return entry, !isOlder && !isSame
}

func (l *LatestEntries) remove(now time.Time, id spoke.UpstreamID) {
	if known, isKnown := l.known[id]; isKnown && known.removedAt.IsZero() {
		known.removedAt = now
		l.known[id] = known
	}
}

func (l *LatestEntries) prune(now time.Time) {
	for id, known := range l.known {
		if !known.removedAt.IsZero() && now.Sub(known.removedAt) > removedRetention {
			delete(l.known, id)
		}
	}
}
