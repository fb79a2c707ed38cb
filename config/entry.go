package config

import (
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
)

const (
	// MinSecretLength is the minimum length of a peer secret in bytes. 16 bytes are 128 bits,
	// which cannot be guessed over the network.
	MinSecretLength = 16

	// DefaultLogLevel logs notable changes but not single requests.
	DefaultLogLevel = logrus.InfoLevel
	// DefaultDrainDelay is how long a draining host still accepts requests, so that the load
	// balancer observes that it is not ready before it refuses any.
	DefaultDrainDelay = 5 * time.Second
	// DefaultDrainDeadline is how long a draining host waits for open streams to end.
	DefaultDrainDeadline = 60 * time.Second
	// DefaultEventCapacity is the number of events kept. It takes 1 MB, at 128 bytes per event,
	// plus the texts of the events.
	DefaultEventCapacity = 8192
	// DefaultMaxProcessors suits a host that needs less than one core: with ten processors,
	// waking idle threads took a fifth of its processor time and added 0.5 ms to the time to
	// first token.
	DefaultMaxProcessors = 2
	// DefaultHeartbeatInterval is the interval between heartbeats to peers.
	DefaultHeartbeatInterval = 500 * time.Millisecond
	// DefaultSuspectAfter is the age of the last heartbeat after which a peer is suspected.
	DefaultSuspectAfter = 2 * time.Second
	// DefaultRemoveAfter is the age of the last heartbeat after which a peer is removed.
	DefaultRemoveAfter = 4 * time.Second

	redacted = "redacted"
)

type (
	// Secret is a credential that formatting verbs do not print.
	Secret string

	// Peer is an entry host in the settings through which this host joins the membership.
	Peer struct {
		Host       spoke.HostID
		DataCentre spoke.DataCentreID
		// Address is the internal address at which this host connects to the peer.
		Address spoke.Address
	}

	// Entry holds the settings of one entry host.
	Entry struct {
		Host       spoke.HostID
		Region     spoke.RegionID
		DataCentre spoke.DataCentreID

		// Caller, Internal, Admin and Metrics are listen addresses; with port 0 the operating system
		// chooses the port.
		Caller   spoke.Address
		Internal spoke.Address
		Admin    spoke.Address
		Metrics  spoke.Address

		// Platform is the address of the key-value service.
		Platform spoke.Address
		Peers    []Peer

		// PeerSecret authenticates entry hosts to each other.
		PeerSecret Secret
		// AdminKeys holds the hashes of the keys that the administration API accepts.
		AdminKeys []spoke.KeyHash
		// OrderCredential authenticates this host's orders to upstreams that check the caller.
		OrderCredential Secret

		LogLevel      logrus.Level
		DrainDelay    time.Duration
		DrainDeadline time.Duration
		// EventCapacity is the number of events that the timeline keeps.
		EventCapacity int
		// MaxProcessors is the maximum number of processors that the host uses at the same time.
		MaxProcessors int

		HeartbeatInterval time.Duration
		SuspectAfter      time.Duration
		RemoveAfter       time.Duration

		// Admission, Routing and Imports select the default policies or baselines to compare them with.
		Admission Policy
		Routing   Policy
		Imports   Policy
	}
)

// Defaults returns settings with the default values of all optional keys.
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

// String returns a placeholder instead of the secret.
func (Secret) String() string { return redacted }

// GoString returns a placeholder for the verb %#v.
func (Secret) GoString() string { return redacted }
