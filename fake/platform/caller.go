package platform

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	headRequest   = "Magnoliaspoke-Request-Id"
	headWait      = "Magnoliaspoke-Deadline-Ms"
	headModel     = "Magnoliaspoke-Model"
	headTokens    = "Magnoliaspoke-Token-Usage"
	headParts     = "Magnoliaspoke-Prefix-Hash"
	headWorkspace = "Magnoliaspoke-Tenant"
	headOrigin    = "Magnoliaspoke-Server-Stamp"
	headGroup     = "Magnoliaspoke-Cache-Salt"
	headExpect    = "Magnoliaspoke-Expect-Version"
	headInstance  = "Magnoliaspoke-Expect-Instance"
	headWeights   = "Magnoliaspoke-Weight-Versions"
	headLoad      = "Magnoliaspoke-Instance-Load"
	headNotRun    = "Magnoliaspoke-Not-Executed"

	originPrefix = "stamp-"

	// ModelName is the only model of the stand-in's engines.
	ModelName = "model-a"
)

type (
	// Call is a caller's request.
	Call struct {
		// At is the address of the host that gets the request.
		HostAddress string
		HostName    string
		Path        string
		RequestID   string
		APIKey      string
		Body        string
		Timeout     time.Duration
		// Parts describes the prompt of a call for a model, empty for other calls.
		PrefixHashes string
	}

	// Answer is what the head of an answer says.
	Answer struct {
		// Request is the id of the request that the answer belongs to.
		RequestID string
		// Engine is the engine that made the answer, empty without proof of that.
		Engine string
	}

	// Route is a route of a configuration.
	Route struct {
		Name        string
		Kind        string
		MaxAttempts int
		HasPrompt   bool
		IsResumable bool
	}
)

// Request returns the call for an HTTP client.
func (c Call) Request() (*http.Request, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+c.HostAddress+c.Path, strings.NewReader(c.Body))
	if err != nil {
		return nil, eris.Wrapf(err, "call %s", c.RequestID)
	}
	request.Host = c.HostName
	request.Header.Set(headRequest, c.RequestID)
	request.Header.Set(headWait, fmt.Sprint(c.Timeout.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+c.APIKey)
	if c.PrefixHashes != "" {
		request.Header.Set(headModel, ModelName)
		request.Header.Set(headTokens, "300,20")
		request.Header.Set(headParts, c.PrefixHashes)
	}
	return request, nil
}

// AnswerOf reads the head of an answer.
func ResponseOf(response *http.Response) Answer {
	engine, _ := strings.CutPrefix(response.Header.Get(headOrigin), originPrefix)
	return Answer{RequestID: response.Header.Get(headRequest), Engine: engine}
}

// PutTable writes a configuration whose routes all lead to one service of engines.
func (s *Store) PutConfig(version int, hostName, service, workspace string, keys []string, routes []Route) {
	rows := make([]any, 0, len(routes))
	for _, route := range routes {
		rows = append(rows, map[string]any{
			"name": route.Name, "host": hostName, "prefix": "/" + route.Name + "/", "route-type": route.Kind, "timeout-ms": 3000,
			"target-latency-ms": 300, "priority": 1, "service": service, "max-attempts": route.MaxAttempts,
			"sticky": route.HasPrompt, "resumable": route.IsResumable, "gap-aim-ms": 400,
		})
	}
	engine := map[string]any{"slots": 8, "kv-capacity-tokens": 100000, "kv-token-bytes": 1000, "link-mbps": 100000}
	s.Put("op/config", map[string]any{
		"version": version, "routes": rows,
		"services": []any{map[string]any{"name": service, "max-conns": 100, "engine": engine}},
		"limits":   map[string]any{"max-body-bytes": 100000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": workspace, "api-keys": keys}},
	})
}

// PutEngine writes the entry of an engine that is reached at an address.
func (s *Store) PutEngine(e *Engine, service, address string, isLeaving bool) {
	state := "ready"
	if isLeaving {
		state = "draining"
	}
	entry := e.Entry(service, "a", state)
	entry["address"] = address
	s.Put("servers/"+e.ID, entry)
}

// RemoveEngine removes the entry of an engine.
func (s *Store) RemoveEngine(e *Engine) { s.Remove("servers/" + e.ID) }

// NameWeights names the weights that engines should load.
func (s *Store) PutTargetVersion(version int) {
	s.Put("op/version/"+ModelName, map[string]any{"model": ModelName, "version": version})
}

// Workspace returns the workspace that a run was made for.
func (r Run) Workspace() string { return r.Header.Get(headWorkspace) }

// HasKey reports whether the caller's key reached the engine.
func (r Run) HasKey() bool { return r.Header.Get("Authorization") != "" }

// MixesWeights reports whether a run uses cached parts of other weights than it expects.
func (r Run) MixesWeights() bool {
	isPrompt := r.Header.Get(headModel) != ""
	return isPrompt && !strings.HasSuffix(r.Header.Get(headGroup), "@"+r.Header.Get(headExpect))
}
