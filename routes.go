package spoke

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// RuleRepeatable marks calls that may run any number of times.
	RuleRepeatable RunRule = "repeatable"
	// RuleOnce marks calls that may run at most once for each attempt of the caller.
	RuleOnce RunRule = "once"
	// RuleStream marks calls whose answer is a stream of events; without resume they run at most once.
	RuleStream RunRule = "stream"
)

type (
	// RouteName names a route of the routing table.
	RouteName string
	// RunRule states how often a call of a route may run and whether its answer is a stream.
	RunRule string
	// TableVersion orders routing tables; zero means that none is known.
	TableVersion uint64
	// WeightVersion orders the weights of a model; zero means unknown.
	WeightVersion int64

	// ServiceShare is the part of a route's calls that a service gets, relative to the other shares.
	ServiceShare struct {
		Service ServiceName
		Weight  int
	}

	// Route defines the services and the limits for the calls of a host name and path prefix.
	Route struct {
		Name     RouteName
		HostName string
		Prefix   string
		Rule     RunRule
		// Timeout is the longest time that a caller waits for an answer; zero means no limit.
		Timeout time.Duration
		// Target is the latency target of an answer or of the first event of a stream; a later one
		// is worth less.
		Target time.Duration
		// GapTarget is the latency target between two events of a stream.
		GapTarget time.Duration
		// CallerTimeout is the time from the arrival of a call after which the caller of a stream
		// disconnects if it has received no event; zero, as for routes without streams, means that it
		// waits until its deadline.
		CallerTimeout time.Duration
		Urgency       Priority
		// MaxUpstreams is the largest number of upstreams to which one call may be sent.
		MaxUpstreams int
		// IsOpen permits calls without an API key.
		IsOpen bool
		// IsPrompt marks calls that describe a prompt in their header.
		IsPrompt bool
		// IsResumable marks calls whose stream can be resumed after an event.
		IsResumable bool
		Services    []ServiceShare
		// AllowedRegions lists the regions that may process calls of the route, empty if all may.
		AllowedRegions []RegionID
	}

	// EngineProfile is what the engines of a service have in common; plain services have none.
	EngineProfile struct {
		Slots         int
		CacheCapacity TokenCount
		TokenSize     ByteSize
		// Link is the rate of the memory transfers of one engine.
		Link ByteRate
	}

	// ServedService is a service of the routing table.
	ServedService struct {
		Name           ServiceName
		MaxConnections int
		// Engine is nil for plain services.
		Engine *EngineProfile
		// Cold is what upstreams handle after a start.
		Cold ColdProfile
		// HealthPath is the target of health requests, empty if there are none.
		HealthPath string
	}

	// ColdProfile is what a cold upstream of a service handles. The zero value means that upstreams are never cold.
	ColdProfile struct {
		// For is the time from a start until an upstream is warm.
		For time.Duration
		// Rate is the number of requests that it handles in a second until then.
		Rate RequestRate
	}

	// KeyOwner is the workspace that an API key belongs to, with its settings.
	KeyOwner struct {
		Workspace WorkspaceID
		// IsCacheIsolated separates cached prompt parts of the workspace from those of others.
		IsCacheIsolated bool
		// Urgency replaces the route's urgency if HasUrgency is set.
		Urgency    Priority
		HasUrgency bool
		// AllowedRegions lists the regions that may process calls of the workspace, empty if all may.
		AllowedRegions []RegionID
	}

	// CallerLimits bound the size of a caller's request and the time to send it; zero means no limit.
	CallerLimits struct {
		Header        ByteSize
		Body          ByteSize
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// RoutingTable is one immutable version of the configuration that operators publish.
	RoutingTable struct {
		Version  TableVersion
		Routes   []Route
		Services map[ServiceName]ServedService
		Stores   []PromptStore
		// Owners maps API keys to their workspaces; without entries no call needs a key.
		Owners map[string]KeyOwner
		// Isolated lists the workspaces whose cached prompt parts are separated from those of all others.
		Isolated []WorkspaceID
		Limits   CallerLimits

		byHost map[string][]Route
	}
)

// NewRoutingTable returns the table with its routes indexed for Find.
func NewRoutingTable(table RoutingTable) *RoutingTable {
	table.byHost = make(map[string][]Route)
	for _, route := range table.Routes {
		table.byHost[route.HostName] = append(table.byHost[route.HostName], route)
	}
	for _, routes := range table.byHost {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return &table
}

// Find returns the route of the host name with the longest prefix that matches the path.
func (t *RoutingTable) Find(hostName, path string) (Route, bool) {
	for _, route := range t.byHost[hostName] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// NeedsKey reports whether calls of the route require a known API key.
func (t *RoutingTable) NeedsKey(route Route) bool { return len(t.Owners) > 0 && !route.IsOpen }

// IsRepeatable reports whether a call may be retried although an upstream may have run it.
func (r Route) IsRepeatable() bool {
	return r.Rule == RuleRepeatable || (r.Rule == RuleStream && r.IsResumable)
}

// IsSet reports whether upstreams may be cold.
func (p ColdProfile) IsSet() bool { return p.For > 0 && p.Rate > 0 }
