package model

import (
	"maps"
	"net/http"
	"strconv"

	"magnoliaspoke.example/spoke"
)

// sample records the present load for later reports and drops what no report needs.
func (e *Engine) sample() {
	running, waiting := e.batch.counts()
	used := spoke.ByteSize(e.cache.size()) * e.set.blockSize
	now := e.set.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.samples = append(e.samples, loadBody{
		Running:   running,
		Waiting:   waiting,
		Versions:  maps.Clone(e.versions),
		Role:      e.role,
		Draining:  e.draining,
		CacheUsed: used,
		CacheSize: e.set.cacheSize,
		AsOf:      now,
	})
	visible := now.Add(-e.set.loadLag)
	for len(e.samples) > 1 && !e.samples[1].AsOf.After(visible) {
		e.samples = e.samples[1:]
	}
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.sample()
	e.mu.Lock()
	report := e.samples[0]
	e.mu.Unlock()
	answerJSON(w, http.StatusOK, report)
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	position, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, codeBadRequest, err.Error())
		return
	}
	answerJSON(w, http.StatusOK, e.cache.after(spoke.Sequence(position)))
}

func (e *Engine) cacheSnapshot(w http.ResponseWriter, _ *http.Request) {
	answerJSON(w, http.StatusOK, e.cache.snapshot())
}
