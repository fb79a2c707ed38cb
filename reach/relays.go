package reach

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/least"
)

// relayPause is the time for which a host is not asked again after it could not be used as a relay.
const relayPause = time.Second

type (
	// relay is what this host knows of another one as a relay.
	relay struct {
		listed   spoke.ListedPeer
		refuses  bool
		failedAt time.Time
	}

	// candidate is another host as a relay to one upstream.
	candidate struct {
		listed    spoke.ListedPeer
		hasFailed bool
		weight    uint64
	}

	// Relays chooses the other hosts through which this one connects to upstreams.
	Relays struct {
		self   spoke.HostID
		relays map[spoke.HostID]*relay
	}
)

// NewRelays returns the choice of a host that lists no others.
func NewRelays(self spoke.HostID) *Relays {
	return &Relays{self: self, relays: make(map[spoke.HostID]*relay)}
}

// SetPeers sets the other hosts and forgets those that are no longer listed.
func (r *Relays) SetPeers(peers []spoke.ListedPeer) {
	known := r.relays
	r.relays = make(map[spoke.HostID]*relay, len(peers))
	for _, listed := range peers {
		other := known[listed.ID]
		if other == nil || other.listed.Address != listed.Address {
			other = &relay{}
		}
		other.listed = listed
		r.relays[listed.ID] = other
	}
}

// SetRefuses records whether another host says that it takes no detours, and reports whether that has changed.
func (r *Relays) SetRefuses(host spoke.HostID, refuses bool) bool {
	other := r.relays[host]
	if other == nil || other.refuses == refuses {
		return false
	}
	other.refuses = refuses
	return true
}

// Failed records that another host could not be used as a relay.
func (r *Relays) Failed(now time.Time, host spoke.HostID) {
	if other := r.relays[host]; other != nil {
		other.failedAt = now
	}
}

// Choose returns the hosts to ask for a way to an upstream, the first one first. Each host and upstream has an order of its
// own, so that the detours of many are spread over all hosts that take them. Hosts that have just failed come last.
func (r *Relays) Choose(now time.Time, upstream spoke.UpstreamID, count int) []spoke.ListedPeer {
	return r.ChooseAmong(now, upstream, count, func(spoke.ListedPeer) bool { return true })
}

// ChooseAmong is Choose among the hosts that are allowed.
func (r *Relays) ChooseAmong(now time.Time, upstream spoke.UpstreamID, count int, isAllowed func(spoke.ListedPeer) bool) []spoke.ListedPeer {
	best := make([]candidate, 0, count+1)
	for _, other := range r.relays {
		if other.refuses || !isAllowed(other.listed) {
			continue
		}
		next := candidate{other.listed, other.hasFailed(now), r.weight(other, upstream)}
		best = least.Insert(best, next, count, candidate.compare)
	}
	chosen := make([]spoke.ListedPeer, 0, len(best))
	for _, candidate := range best {
		chosen = append(chosen, candidate.listed)
	}
	return chosen
}

// Count returns the number of other hosts.
func (r *Relays) Count() int { return len(r.relays) }

// Takes reports whether another host is listed, has not said that it takes no detours and has not just failed as a relay.
func (r *Relays) Takes(now time.Time, host spoke.HostID) bool {
	other := r.relays[host]
	return other != nil && !other.refuses && !other.hasFailed(now)
}

func (r *Relays) weight(other *relay, upstream spoke.UpstreamID) uint64 {
	return xxhash.Sum64String(string(r.self) + "/" + string(upstream) + "/" + string(other.listed.ID))
}

func (o *relay) hasFailed(now time.Time) bool {
	return !o.failedAt.IsZero() && now.Sub(o.failedAt) < relayPause
}

func (c candidate) compare(other candidate) int {
	if c.hasFailed != other.hasFailed {
		if c.hasFailed {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(other.weight, c.weight), cmp.Compare(c.listed.ID, other.listed.ID))
}
