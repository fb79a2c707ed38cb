package spoke

import "time"

const (
	// PeerAlive marks a peer that answers heartbeats.
	PeerAlive PeerState = "alive"
	// PeerSuspect marks a peer that missed heartbeats and still counts as a member.
	PeerSuspect PeerState = "suspect"
	// PeerLeaving marks a peer that drains and owns no upstream.
	PeerLeaving PeerState = "leaving"
	// PeerDead marks a peer that is removed.
	PeerDead PeerState = "dead"
)

type (
	// PeerState is the state of an entry host in the eyes of another.
	PeerState string

	// QuarantineMark refuses a fingerprint until it expires.
	QuarantineMark struct {
		Fingerprint Fingerprint
		Deaths      int
		Expires     time.Time
	}

	// Digest is what a host tells others in its heartbeats.
	Digest struct {
		Number TicketNumber
		Loads  map[UpstreamID]LoadSummary
		Marks  []QuarantineMark
		// Leaving lists the upstreams that the platform or the upstream itself reports as leaving.
		Leaving []UpstreamID
		// Paused holds upstreams that wait for a swap and should get new work only if there is
		// no other, until the given time, which outlives neither a paused nor a dead host for long.
		Paused map[UpstreamID]time.Time
	}

	// Peer is an entry host as another one sees it.
	Peer struct {
		ID          HostID
		DataCentre  DataCentreID
		Address     Address
		Incarnation Incarnation
		State       PeerState
		Digest      Digest
	}

	// Membership is an immutable view of the entry hosts, the own one included.
	Membership struct {
		Self  HostID
		Peers map[HostID]Peer
		// Epoch changes whenever the set of hosts that may own upstreams changes.
		Epoch uint64
	}
)

// CanOwn reports whether the peer takes part in the ownership of upstreams.
func (p Peer) CanOwn() bool {
	return p.State == PeerAlive || p.State == PeerSuspect
}
