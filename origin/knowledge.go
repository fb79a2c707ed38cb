package origin

import (
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// joinTime is the time in which a host that joins others receives a full report of each host of its cell.
	joinTime = 1500 * time.Millisecond
	// arrivalTolerance is the time after the first snapshot in which a report may have been sent before it.
	arrivalTolerance = 200 * time.Millisecond
)

// Knowledge is for how long a host has known of each software version that was listed. The zero value has read nothing.
type Knowledge struct {
	// readAt is the time of the first snapshot of the directory.
	readAt time.Time
	// since is the time from which on no version is unknown.
	since time.Time
	// isRestarted is set if the first snapshot lists this host itself.
	isRestarted bool
}

// Read records a snapshot of the directory with the hosts that it lists. If it lists this host, which has not announced
// itself yet, others may have started again with it, and no host knows of versions that have gone, unless one of those
// listed has recorded them. If it lists none, no host has served before.
func (k *Knowledge) Read(now time.Time, hosts []spoke.ListedPeer, self spoke.HostID, recorded []spoke.ListedSoftware) {
	if !k.readAt.IsZero() {
		return
	}
	k.readAt, k.since = now, now
	if len(hosts) == 0 || len(recorded) > 0 {
		k.since = now.Add(-Retention)
	}
	k.isRestarted = slices.ContainsFunc(hosts, func(host spoke.ListedPeer) bool { return host.ID == self })
}

// Receive records the full report of a host that has known of each version for a time, zero if for Retention.
func (k *Knowledge) Receive(now time.Time, known time.Duration) {
	if k.readAt.IsZero() || now.Sub(k.readAt) < arrivalTolerance {
		return
	}
	if known <= 0 {
		known = Retention
	}
	if since := now.Add(-known); since.Before(k.since) {
		k.since = since
	}
}

// IsComplete reports whether this host knows of each version of the last Retention.
func (k *Knowledge) IsComplete(now time.Time) bool {
	if k.readAt.IsZero() {
		return false
	}
	return now.Sub(k.since) >= Retention || (!k.isRestarted && now.Sub(k.readAt) >= joinTime)
}

// Reported returns what a full report says of this host: zero if it knows of each version of the last Retention. A host
// that only assumes so, since it has joined others, vouches for no more than it has seen or heard.
func (k *Knowledge) Reported(now time.Time) time.Duration {
	known := now.Sub(k.since)
	switch {
	case k.readAt.IsZero():
		return time.Millisecond
	case known >= Retention:
		return 0
	}
	return max(known, time.Millisecond)
}
