package platform

import (
	"cmp"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	headerRequestID      = "Magnoliaspoke-Request-Id"
	headerDeadline       = "Magnoliaspoke-Deadline-Ms"
	headerModel          = "Magnoliaspoke-Model"
	headerTokenUsage     = "Magnoliaspoke-Token-Usage"
	headerPrefixHash     = "Magnoliaspoke-Prefix-Hash"
	headerTenant         = "Magnoliaspoke-Tenant"
	headerServerStamp    = "Magnoliaspoke-Server-Stamp"
	headerCacheSalt      = "Magnoliaspoke-Cache-Salt"
	headerExpectVersion  = "Magnoliaspoke-Expect-Version"
	headerExpectInstance = "Magnoliaspoke-Expect-Instance"
	headerWeightVersions = "Magnoliaspoke-Weight-Versions"
	headerInstanceLoad   = "Magnoliaspoke-Instance-Load"
	headerNotExecuted    = "Magnoliaspoke-Not-Executed"

	stampPrefix = "stamp-"

	defaultMaxOutput = 20

	// ModelName is the only model that the stand-in's engines serve.
	ModelName = "model-a"
)

type (
	// Call is a request from a caller.
	Call struct {
		// HostAddress is the address of the host to which the request is sent.
		HostAddress string
		HostName    string
		Path        string
		RequestID   string
		APIKey      string
		Body        string
		Timeout     time.Duration
		// MaxOutput is the most output tokens of a call to a model, 20 if it is zero.
		MaxOutput int
		// PrefixHashes describes the prompt parts of a call to a model; it is empty for other calls.
		PrefixHashes string
		// LastEventID and Resumes are set in a call that takes a stream up: its last event, and the request that
		// brought its first one.
		LastEventID string
		Resumes     string
	}

	// Response is the origin of a response as stated in its header.
	Response struct {
		// RequestID is the ID of the request to which the response belongs.
		RequestID string
		// Engine is the ID of the engine that sent the response; it is empty without a server stamp.
		Engine string
	}

	// Route is a route in a configuration.
	Route struct {
		Name        string
		Kind        string
		MaxAttempts int
		HasPrompt   bool
		IsResumable bool
		// Timeout is 3 s if it is zero.
		Timeout time.Duration
	}
)

// Request returns the call as a request for an HTTP client.
func (c Call) Request() (*http.Request, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+c.HostAddress+c.Path, strings.NewReader(c.Body))
	if err != nil {
		return nil, eris.Wrapf(err, "call %s", c.RequestID)
	}
	request.Host = c.HostName
	request.Header.Set(headerRequestID, c.RequestID)
	request.Header.Set(headerDeadline, fmt.Sprint(c.Timeout.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+c.APIKey)
	if c.LastEventID != "" {
		request.Header.Set("Last-Event-Id", c.LastEventID)
		request.Header.Set("Resumes", c.Resumes)
	}
	if c.PrefixHashes != "" {
		request.Header.Set(headerModel, ModelName)
		request.Header.Set(headerTokenUsage, fmt.Sprintf("300,%d", cmp.Or(c.MaxOutput, defaultMaxOutput)))
		request.Header.Set(headerPrefixHash, c.PrefixHashes)
	}
	return request, nil
}

// ResponseOf reads the header of a response.
func ResponseOf(response *http.Response) Response {
	engine, _ := strings.CutPrefix(response.Header.Get(headerServerStamp), stampPrefix)
	return Response{RequestID: response.Header.Get(headerRequestID), Engine: engine}
}

// SetColdService makes PutConfig name how long the engines are cold after a start, and what they handle meanwhile.
func (s *Store) SetColdService(seconds, perSecond float64) {
	s.coldSeconds, s.coldPerSecond = seconds, perSecond
}

// PutConfig writes a configuration whose routes all lead to one service.
func (s *Store) PutConfig(version int, hostName, service, workspace string, keys []string, routes []Route) {
	rows := make([]any, 0, len(routes))
	for _, route := range routes {
		timeout := cmp.Or(route.Timeout, 3*time.Second)
		rows = append(rows, map[string]any{
			"name": route.Name, "host": hostName, "prefix": "/" + route.Name + "/", "route-type": route.Kind, "timeout-ms": timeout.Milliseconds(),
			"target-latency-ms": 300, "priority": 1, "service": service, "max-attempts": route.MaxAttempts,
			"sticky": route.HasPrompt, "resumable": route.IsResumable, "gap-aim-ms": 400,
		})
	}
	engine := map[string]any{"slots": 8, "kv-capacity-tokens": 100000, "kv-token-bytes": 1000, "link-mbps": 100000}
	s.Put("op/config", map[string]any{
		"version": version, "routes": rows,
		"services": []any{map[string]any{"name": service, "max-conns": 100, "engine": engine,
			"cold-s": s.coldSeconds, "cold-per-s": s.coldPerSecond, "health-path": HealthPath}},
		"limits":  map[string]any{"max-body-bytes": 100000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": workspace, "api-keys": keys}},
	})
}

// PutEngine writes the store entry of an engine that is reachable at an address.
func (s *Store) PutEngine(e *Engine, service, address string, isLeaving bool) {
	state := "ready"
	if isLeaving {
		state = "draining"
	}
	entry := e.Entry(service, cmp.Or(e.Zone, "a"), state)
	entry["address"] = address
	s.Put("servers/"+e.ID, entry)
}

// RemoveEngine removes the store entry of an engine.
func (s *Store) RemoveEngine(e *Engine) { s.Remove("servers/" + e.ID) }

// PutTargetVersion writes the version of the weights that engines should load.
func (s *Store) PutTargetVersion(version int) {
	s.Put("op/version/"+ModelName, map[string]any{"model": ModelName, "version": version})
}

// Workspace returns the workspace that a run was made for.
func (r Run) Workspace() string { return r.Header.Get(headerTenant) }

// IsResumed reports whether a run goes on with a stream.
func (r Run) IsResumed() bool { return r.Header.Get("Last-Event-Id") != "" }

// HasKey reports whether the caller's API key was forwarded to the engine.
func (r Run) HasKey() bool { return r.Header.Get("Authorization") != "" }

// MixesWeights reports whether a run uses cached parts of weights other than the ones it expects.
func (r Run) MixesWeights() bool {
	isPrompt := r.Header.Get(headerModel) != ""
	return isPrompt && !strings.HasSuffix(r.Header.Get(headerCacheSalt), "@"+r.Header.Get(headerExpectVersion))
}
