package main

import "time"

const (
	keyPacking = "jnbanfqasnmgkcuyj8pj"
	keyShops   = "bvk9m68k7b2ex5wa5xwy"
	pathSafe   = "/wuhu344/"
	pathUnsafe = "/bobo563/lo7/"
	pathStream = "/cufi501/fi50/"
	pathQuote  = "/puxa400/"
	serviceApp = "kafi81c"
	serviceLLM = "huvo11a"
	modelName  = "daka510000"
)

var zones = []string{"sector-10", "sector-21", "infocity"}

// manifest returns a manifest like that of the small deployment: a safe, an unsafe and a streaming route.
func manifest(version int, packingIsIsolated bool) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-stock-look", "host": hostName, "prefix": pathSafe, "route-type": "safe", "timeout-ms": 1500, "target-latency-ms": 300, "priority": 2, "service": serviceApp, "max-attempts": 2, "no-auth": false, "sticky": false, "resumable": false},
			map[string]any{"name": "r-dispatch-book", "host": hostName, "prefix": pathUnsafe, "route-type": "unsafe", "timeout-ms": 1500, "target-latency-ms": 300, "priority": 2, "service": serviceApp, "max-attempts": 1, "no-auth": false, "sticky": false, "resumable": false},
			map[string]any{"name": "r-buyer-chat", "host": hostName, "prefix": pathStream, "route-type": "streaming", "timeout-ms": 10000, "target-latency-ms": 250, "priority": 0, "service": serviceLLM, "max-attempts": 2, "no-auth": false, "sticky": true, "resumable": true, "gap-aim-ms": 400},
			map[string]any{"name": "r-catalogue-quote", "host": hostName, "prefix": pathQuote, "route-type": "streaming", "timeout-ms": 12000, "target-latency-ms": 1200, "priority": 2, "service": serviceLLM, "max-attempts": 1, "no-auth": false, "sticky": true, "resumable": false, "gap-aim-ms": 400},
		},
		"services": []any{
			map[string]any{"name": serviceLLM, "health-path": "/healthz", "max-conns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv-capacity-tokens": 138177, "kv-token-bytes": 327680, "link-mbps": 310000.0, "max-inflight": 12, "models": []any{map[string]any{"name": modelName}},
			}},
			map[string]any{"name": serviceApp, "health-path": "/healthz", "max-conns": 100, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{
			map[string]any{"name": "packing", "api-keys": []string{keyPacking}, "priority": 1, "isolated": packingIsIsolated},
			map[string]any{"name": "shops", "api-keys": []string{keyShops}, "priority": 1, "isolated": false},
		},
	}
}

// startHosts starts a host in each zone.
func startHosts(log *record, st *store, count int, s settings) []*host {
	for i := range count {
		zone := zones[i%len(zones)]
		hosts = append(hosts, newHost(log, st, "frontend-"+zone+"-"+string(rune('1'+i/len(zones))), zone, s))
	}
	done := make(chan bool, len(hosts))
	for _, h := range hosts {
		go func() {
			h.start()
			done <- true
		}()
	}
	for range hosts {
		<-done
	}
	// The hosts find each other.
	time.Sleep(2 * time.Second)
	return hosts
}

// startApp starts the engines of the plain service, one in each zone.
func startApp(log *record, st *store, work time.Duration, set func(*engine)) []*engine {
	var engines []*engine
	for i, zone := range zones {
		e := newEngine(log, st, "i-app"+string(rune('0'+i)), serviceApp, zone, 6, work)
		if set != nil {
			set(e)
		}
		e.start()
		engines = append(engines, e)
	}
	return engines
}

// startLLM starts language model engines, one in each zone.
func startLLM(log *record, st *store, set func(*engine)) []*engine {
	var engines []*engine
	for i, zone := range zones {
		e := newEngine(log, st, "i-llm"+string(rune('0'+i)), serviceLLM, zone, 64, 50*time.Millisecond)
		e.model = modelName
		if set != nil {
			set(e)
		}
		e.start()
		engines = append(engines, e)
	}
	return engines
}
