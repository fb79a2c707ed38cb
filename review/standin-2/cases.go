package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// cases holds the cases by name. Each returns 1 if the rule was broken, 0 if it held, and 2 if it could not run.
var cases = map[string]func(*bed, bool) int{}

const (
	hostName = "calls.example"
	key      = "key-of-tenant-1"
)

func route(name, prefix, kind, service string, attempts int, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": hostName, "prefix": prefix, "route-type": kind, "timeout-ms": 8000, "target-latency-ms": 300, "priority": 2,
		"service": service, "max-attempts": attempts, "no-auth": false, "sticky": false, "resumable": false,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

func manifest(version int, routes, services []any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1 << 20, "header-timeout-ms": 5000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "tenant-1", "api-keys": []string{key}}},
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health-path": "/healthz", "max-conns": 100, "protocol": "h1", "tls": false}
}

// got is what a client received.
type got struct {
	id, body, stamp string
	status          int
	err             error
	took            time.Duration
}

// send sends one request on a new channel.
func send(ctx context.Context, at, method, path, id string, deadline time.Duration, header map[string]string) got {
	began := time.Now()
	g := got{id: id}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+at+path, nil)
	check(err)
	r.Host = hostName
	r.Header.Set("Magnoliaspoke-Request-Id", id)
	r.Header.Set("Magnoliaspoke-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+key)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	resp, err := transport.RoundTrip(r)
	if err == nil {
		g.status, g.stamp = resp.StatusCode, resp.Header.Get("Magnoliaspoke-Server-Stamp")
		var raw []byte
		raw, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		g.body = string(raw)
	}
	g.err, g.took = err, time.Since(began)
	say("answer", "request", id, "status", g.status, "bytes", len(g.body), "stamp", g.stamp, "error", fmt.Sprint(err), "took_ms", g.took.Milliseconds())
	return g
}
