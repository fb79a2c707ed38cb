package host

import (
	"expvar"
	"net/http"
	"runtime"

	"magnoliaspoke.example/spoke"
)

type (
	// metrics publishes the state of a host.
	metrics struct {
		mux     *http.ServeMux
		started *expvar.Map
	}
)

// newMetrics returns the handler of the metrics listener. The variables are
// not registered globally, so that a process can hold several hosts.
func newMetrics(h *Host) *metrics {
	m := &metrics{mux: http.NewServeMux(), started: new(expvar.Map).Init()}
	vars := new(expvar.Map).Init()
	vars.Set("configuration-number", expvar.Func(func() any { return h.view.Number() }))
	vars.Set("peers", expvar.Func(func() any { return peerStates(h.members.View()) }))
	vars.Set("owned-upstreams", expvar.Func(func() any { return len(h.followers.Owned()) }))
	vars.Set("draining", expvar.Func(func() any { return h.drainer.draining.Load() }))
	vars.Set("events-recorded", expvar.Func(func() any { return h.events.Recorded() }))
	vars.Set("goroutines", expvar.Func(func() any { return runtime.NumGoroutine() }))
	vars.Set("requests", m.started)
	m.mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = w.Write([]byte(`{"memory": ` + memory() + `, "host": ` + vars.String() + "}\n"))
	})
	return m
}

// ServeHTTP serves the metrics.
func (m *metrics) ServeHTTP(w http.ResponseWriter, req *http.Request) { m.mux.ServeHTTP(w, req) }

func memory() string {
	if stats := expvar.Get("memstats"); stats != nil {
		return stats.String()
	}
	return "null"
}

func peerStates(members *spoke.Membership) map[spoke.PeerState]int {
	states := make(map[spoke.PeerState]int)
	for _, peer := range members.Peers {
		states[peer.State]++
	}
	return states
}
