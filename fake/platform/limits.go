package platform

import "magnoliaspoke.example/spoke"

const (
	// HeaderRequestID is the header that names a request.
	HeaderRequestID = "Magnoliaspoke-Request-Id"
	// HeaderParts is the header that lists the parts of a prompt.
	HeaderParts = "Magnoliaspoke-Prefix-Hash"
)

// PutLimitedConfig writes a routing table with one route of repeatable calls and limits for callers.
func (s *Store) PutLimitedConfig(version int, hostName, service, workspace, key string, route Route, limits spoke.CallerLimits) {
	s.Put("op/config", map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": route.Name, "host": hostName, "prefix": "/" + route.Name + "/", "route-type": route.Kind, "timeout-ms": route.Timeout.Milliseconds(),
			"target-latency-ms": 300, "priority": 1, "service": service, "max-attempts": route.MaxAttempts,
		}},
		"services": []any{map[string]any{"name": service, "max-conns": 100, "engine": map[string]any{"slots": 8, "kv-capacity-tokens": 100000, "kv-token-bytes": 1000, "link-mbps": 100000}}},
		"limits": map[string]any{
			"max-header-bytes": limits.Header, "max-body-bytes": limits.Body,
			"header-timeout-ms": limits.HeaderTimeout.Milliseconds(), "idle-timeout-ms": limits.IdleTimeout.Milliseconds(),
		},
		"tenants": []any{map[string]any{"name": workspace, "api-keys": []string{key}}},
	})
}
