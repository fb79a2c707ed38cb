package spoke

import "time"

const (
	// KindService is the kind of Service objects.
	KindService ObjectKind = "service"
	// KindWorkspace is the kind of Workspace objects.
	KindWorkspace ObjectKind = "workspace"
	// KindRank is the kind of Rank objects.
	KindRank ObjectKind = "rank"
	// KindModel is the kind of Model objects.
	KindModel ObjectKind = "model"
	// KindUpstream is the kind of Upstream objects.
	KindUpstream ObjectKind = "upstream"
	// KindStoreHost is the kind of StoreHost objects.
	KindStoreHost ObjectKind = "store-host"

	// ServiceLanguage marks services whose upstreams are model engines.
	ServiceLanguage ServiceKind = "language"
	// ServicePlain marks services whose upstreams are plain HTTP services.
	ServicePlain ServiceKind = "plain"

	// UpstreamServing marks upstreams that accept new work.
	UpstreamServing UpstreamState = "serving"
	// UpstreamLeaving marks upstreams that finish their work and accept no more.
	UpstreamLeaving UpstreamState = "leaving"
)

type (
	// ObjectKind names a kind of configured object.
	ObjectKind string
	// ServiceKind is the kind of upstreams that a service has.
	ServiceKind string
	// UpstreamState is the configured state of an upstream.
	UpstreamState string

	// ObjectKey identifies a configured object.
	ObjectKey struct {
		Kind ObjectKind
		Name string
	}

	// Object is a configured value; it is immutable once it is part of a ticket.
	Object interface {
		// Key identifies the object.
		Key() ObjectKey
	}

	// CallPattern matches calls of a plain service by method and path prefix.
	CallPattern struct {
		Method     string
		PathPrefix string
	}

	// Service is a service that callers address.
	Service struct {
		Name          ServiceName
		Kind          ServiceKind
		DefaultRank   RankName
		NonRepeatable []CallPattern
	}

	// Workspace is the unit of isolation, authentication and fair queueing.
	Workspace struct {
		ID        WorkspaceID
		KeyHashes []KeyHash
		// Weight is the workspace's share in weighted fair queueing; it is above zero.
		Weight float64
		// MaxConcurrent limits requests in progress on one entry host; zero means no limit.
		MaxConcurrent int
		Services      []ServiceName
	}

	// Rank is a class of requests with its own first-token target.
	Rank struct {
		Name RankName
		// Order sorts ranks; the lowest is the most urgent.
		Order            int
		FirstTokenTarget time.Duration
		// Floor is the minimum share of capacity reserved for the rank while other ranks cause overload.
		Floor Share
		// Worth is the weight of a timely answer of the rank in goodput measurements.
		Worth float64
	}

	// Model is a model of a language service with the version that engines must serve.
	Model struct {
		Name     ModelName
		Service  ServiceName
		Version  ModelVersion
		Adapters []AdapterName
	}

	// Upstream is a back end of a service.
	Upstream struct {
		ID         UpstreamID
		Service    ServiceName
		DataCentre DataCentreID
		Address    Address
		State      UpstreamState
		// ChecksFencing reports whether the upstream refuses orders with a stale fencing token.
		ChecksFencing bool
		// ChecksCaller reports whether the upstream authenticates the sender of an order.
		ChecksCaller bool
	}

	// StoreHost is a host of the cache tiers of one service.
	StoreHost struct {
		ID         StoreHostID
		Service    ServiceName
		DataCentre DataCentreID
		Address    Address
		Memory     ByteSize
		Disk       ByteSize
		LinkRate   ByteRate
	}
)

// Key identifies the service.
func (s Service) Key() ObjectKey { return ObjectKey{KindService, string(s.Name)} }

// Key identifies the workspace.
func (w Workspace) Key() ObjectKey { return ObjectKey{KindWorkspace, string(w.ID)} }

// Key identifies the rank.
func (r Rank) Key() ObjectKey { return ObjectKey{KindRank, string(r.Name)} }

// Key identifies the model.
func (m Model) Key() ObjectKey { return ObjectKey{KindModel, string(m.Name)} }

// Key identifies the upstream.
func (u Upstream) Key() ObjectKey { return ObjectKey{KindUpstream, string(u.ID)} }

// Key identifies the store host.
func (s StoreHost) Key() ObjectKey { return ObjectKey{KindStoreHost, string(s.ID)} }

// String returns the key as kind/name.
func (k ObjectKey) String() string { return string(k.Kind) + "/" + k.Name }
