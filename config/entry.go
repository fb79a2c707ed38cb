package config

import (
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
)

const (
	// MinSecretLength is the shortest peer secret in bytes; 16 bytes are 128 bits,
	// which is beyond guessing over the network.
	MinSecretLength = 16

	// DefaultLogLevel keeps one line per noteworthy change and none per request.
	DefaultLogLevel = logrus.InfoLevel
	// DefaultDrainDelay is how long a draining host still accepts work, so that the
	// load balancer sees it as not ready first.
	DefaultDrainDelay = 5 * time.Second
	// DefaultDrainDeadline is how long a draining host waits for its streams.
	DefaultDrainDeadline = 60 * time.Second
	// DefaultEventCapacity takes 1 MB, at 128 bytes an event, and the texts of the events.
	DefaultEventCapacity = 8192
	// DefaultMaxProcessors suits a host that needs less than one core: with ten, waking
	// idle threads took a fifth of its processor time and 0.5 ms of each first token.
	DefaultMaxProcessors = 2
	// DefaultHeartbeatInterval is the period of heartbeats to peers.
	DefaultHeartbeatInterval = 500 * time.Millisecond
	// DefaultSuspectAfter is the age of the last heartbeat at which a peer is suspected.
	DefaultSuspectAfter = 2 * time.Second
	// DefaultRemoveAfter is the age of the last heartbeat at which a peer is removed.
	DefaultRemoveAfter = 4 * time.Second

	redacted = "redacted"
)

type (
	// Secret is a credential that formatting verbs do not print.
	Secret string

	// Peer is an entry host that the settings name as a first contact.
	Peer struct {
		Host       spoke.HostID
		DataCentre spoke.DataCentreID
		// Address is the peer's internal address as this host reaches it.
		Address spoke.Address
	}

	// Entry holds the settings of one entry host.
	Entry struct {
		Host       spoke.HostID
		Region     spoke.RegionID
		DataCentre spoke.DataCentreID

		// Caller, Internal, Admin and Metrics are listening addresses; port 0 lets the
		// system choose.
		Caller   spoke.Address
		Internal spoke.Address
		Admin    spoke.Address
		Metrics  spoke.Address

		// Platform is the address of the key-value service.
		Platform spoke.Address
		Peers    []Peer

		// PeerSecret authenticates entry hosts to each other.
		PeerSecret Secret
		// AdminKeys are the hashes of the keys that the administration API accepts.
		AdminKeys []spoke.KeyHash
		// OrderCredential authenticates orders at the upstreams that check their caller.
		OrderCredential Secret

		LogLevel      logrus.Level
		DrainDelay    time.Duration
		DrainDeadline time.Duration
		// EventCapacity is the number of events that the time line keeps.
		EventCapacity int
		// MaxProcessors is the number of processors that the host uses at the same time.
		MaxProcessors int

		HeartbeatInterval time.Duration
		SuspectAfter      time.Duration
		RemoveAfter       time.Duration

		// Admission, Routing and Imports choose between the rules of the system and baselines.
		Admission Policy
		Routing   Policy
		Imports   Policy
	}
)

// Defaults returns settings with the default of every key that may be left out.
func Defaults() Entry {
	return Entry{
		LogLevel:          DefaultLogLevel,
		DrainDelay:        DefaultDrainDelay,
		DrainDeadline:     DefaultDrainDeadline,
		EventCapacity:     DefaultEventCapacity,
		MaxProcessors:     DefaultMaxProcessors,
		HeartbeatInterval: DefaultHeartbeatInterval,
		SuspectAfter:      DefaultSuspectAfter,
		RemoveAfter:       DefaultRemoveAfter,
		Admission:         AdmissionFair,
		Routing:           RoutingAffinity,
		Imports:           ImportsCheaper,
	}
}

// String hides the secret.
func (Secret) String() string { return redacted }

// GoString hides the secret from %#v.
func (Secret) GoString() string { return redacted }
