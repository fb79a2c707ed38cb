package spoke

import "time"

const (
	// PeerAlive marks a peer that answers heartbeats.
	PeerAlive PeerState = "alive"
	// PeerSuspect marks a peer that has missed heartbeats but is still a member.
	PeerSuspect PeerState = "suspect"
	// PeerLeaving marks a peer that is draining and owns no upstream.
	PeerLeaving PeerState = "leaving"
	// PeerDead marks a peer that has been removed from the membership.
	PeerDead PeerState = "dead"

	// MarkUpstreams is the number of upstreams that a QuarantineMark can name.
	MarkUpstreams = 2
	// MarkFalls is the number of falls that a QuarantineMark can name.
	MarkFalls = 4
)

type (
	// PeerState is the state of an entry host as observed by another one.
	PeerState string

	// QuarantineMark records how many upstreams a fingerprint has crashed; it is valid until Expires.
	QuarantineMark struct {
		Fingerprint Fingerprint
		Deaths      int
		Expires     time.Time
		// Upstreams holds some of those that it crashed; entries that are not known are empty.
		Upstreams [MarkUpstreams]UpstreamID
		// Falls holds crashes of brittle upstreams that rejections explain; they are not among Deaths.
		Falls [MarkFalls]QuarantineFall
		// Served is the time of the last answer, the zero time if none is known. Falls before it do not count.
		Served time.Time
	}

	// QuarantineFall is a crash of a brittle upstream that may be due to rejections rather than to the request.
	QuarantineFall struct {
		Upstream UpstreamID
		At       time.Time
	}

	// Digest is the state that a host publishes in its heartbeats.
	Digest struct {
		Number TicketNumber
		Loads  map[UpstreamID]LoadSummary
		Marks  []QuarantineMark
		// Leaving lists the upstreams that the platform or the upstream itself reports as leaving.
		Leaving []UpstreamID
		// Paused holds upstreams that wait for a swap, each with the time until which it should
		// get new work only if there is no other upstream. The time is set shortly ahead, so
		// that the pause ends soon after the publishing host freezes or dies.
		Paused map[UpstreamID]time.Time
	}

	// Peer is an entry host as observed by another one.
	Peer struct {
		ID          HostID
		DataCentre  DataCentreID
		Address     Address
		Incarnation Incarnation
		State       PeerState
		Digest      Digest
	}

	// Membership is an immutable view of the entry hosts, including the observing one.
	Membership struct {
		Self  HostID
		Peers map[HostID]Peer
		// Epoch changes whenever the set of hosts that may own upstreams changes.
		Epoch uint64
	}
)

// CanOwn reports whether the peer may own upstreams.
func (p Peer) CanOwn() bool {
	return p.State == PeerAlive || p.State == PeerSuspect
}
