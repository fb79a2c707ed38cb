package host

import (
	"expvar"
	"net/http"
	"net/http/pprof"
	"runtime"
	"strconv"
	"sync/atomic"

	"magnoliaspoke.example/spoke"
)

type (
	// metrics publishes the state of a host.
	metrics struct {
		mux *http.ServeMux
		// openRequests is the number of requests in progress.
		openRequests     atomic.Int64
		requestsByStatus *expvar.Map
	}
)

// newMetrics returns the handler of the metrics listener. The variables are
// not registered globally, so that a process can hold several hosts.
func newMetrics(h *Host) *metrics {
	m := &metrics{mux: http.NewServeMux(), requestsByStatus: new(expvar.Map).Init()}
	vars := new(expvar.Map).Init()
	vars.Set("configuration-number", expvar.Func(func() any { return h.manifestView.Number() }))
	vars.Set("peers", expvar.Func(func() any { return peerStates(h.members.View()) }))
	vars.Set("owned-upstreams", expvar.Func(func() any { return len(h.pollers.Owned()) }))
	vars.Set("draining", expvar.Func(func() any { return h.drainer.draining.Load() }))
	vars.Set("events-recorded", expvar.Func(func() any { return h.events.Recorded() }))
	vars.Set("goroutines", expvar.Func(func() any { return runtime.NumGoroutine() }))
	vars.Set("requests-open", expvar.Func(func() any { return m.openRequests.Load() }))
	vars.Set("requests-by-status", m.requestsByStatus)
	m.mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	m.mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	m.mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = w.Write([]byte(`{"memory": ` + memStats() + `, "host": ` + vars.String() + "}\n"))
	})
	return m
}

// ServeHTTP serves the metrics.
func (m *metrics) ServeHTTP(w http.ResponseWriter, req *http.Request) { m.mux.ServeHTTP(w, req) }

func memStats() string {
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

// countRequests counts the requests in progress and the responses by status.
func (m *metrics) countRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		m.openRequests.Add(1)
		defer m.openRequests.Add(-1)
		recorder := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
		defer func() { m.requestsByStatus.Add(strconv.Itoa(recorder.status), 1) }()
		next.ServeHTTP(recorder, req)
	})
}

// statusRecorder records the status of a response.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader sends the status.
func (w *statusRecorder) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController access to the connection.
func (w *statusRecorder) Unwrap() http.ResponseWriter { return w.ResponseWriter }
