package platform

import (
	"net"
	"net/http"
	"time"
)

// reportTrouble is the way in which an engine responds to requests for its report.
type reportTrouble struct {
	// count is the number of requests that arrived.
	count int
	// resets is the number of further requests whose connection is reset.
	resets int
	// silentUntil is the end of the time in which no request is answered.
	silentUntil time.Time
}

// ResetReports makes the engine reset the connections of the next requests for its report.
func (e *Engine) ResetReports(count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports.resets = count
}

// SilenceReports makes the engine answer no request for its report within a time that begins now.
func (e *Engine) SilenceReports(silence time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports.silentUntil = time.Now().Add(silence)
}

// Reports returns the number of requests for the engine's report.
func (e *Engine) Reports() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reports.count
}

func (e *Engine) serveReport(w http.ResponseWriter, r *http.Request) {
	if e.troubleReport(w, r) {
		return
	}
	if expected := r.Header.Get(headerExpectInstance); expected != "" && expected != e.ID {
		w.Header().Set("Magnoliaspoke-Instance-Id", e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	born := firstStartMs + e.restarts
	writeJSON(w, http.StatusOK, map[string]any{
		"stage": "both", "busy": false, "sequence": e.orders, "waiting": 0, "running": 0, "clock_ms": born + time.Since(e.startedAt).Milliseconds(), "born": born,
		"models": []map[string]any{{"name": ModelName, "version": e.version}},
	})
}

// troubleReport counts a request for the report, resets its connection or waits, and reports whether it is over.
func (e *Engine) troubleReport(w http.ResponseWriter, r *http.Request) bool {
	e.mu.Lock()
	trouble := &e.reports
	trouble.count++
	isReset, silence := trouble.resets > 0, time.Until(trouble.silentUntil)
	if isReset {
		trouble.resets--
	}
	e.mu.Unlock()
	if isReset {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
		return true
	}
	select {
	case <-time.After(silence):
		return false
	case <-r.Context().Done():
		return true
	}
}
