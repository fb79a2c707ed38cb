package model

import (
	"maps"
	"net/http"
	"strconv"

	"magnoliaspoke.example/spoke"
)

// sample records the current load and drops samples that are too old for any later report.
func (e *Engine) sample() {
	running, waiting := e.batch.counts()
	used := spoke.ByteSize(e.cache.size()) * e.settings.blockSize
	now := e.settings.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.samples = append(e.samples, loadBody{
		Running:   running,
		Waiting:   waiting,
		Versions:  maps.Clone(e.versions),
		Role:      e.role,
		Draining:  e.draining,
		CacheUsed: used,
		CacheSize: e.settings.cacheSize,
		AsOf:      now,
	})
	cutoff := now.Add(-e.settings.loadLag)
	for len(e.samples) > 1 && !e.samples[1].AsOf.After(cutoff) {
		e.samples = e.samples[1:]
	}
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.sample()
	e.mu.Lock()
	report := e.samples[0]
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, codeBadRequest, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, e.cache.eventsAfter(spoke.Sequence(after)))
}

func (e *Engine) cacheSnapshot(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.cache.snapshot())
}
