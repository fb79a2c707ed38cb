package kvsvc

import (
	"net/http"
	"strconv"
	"time"
)

func (s *Service) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	s.mu.Lock()
	found, live := s.store.get(s.timer.Now(), key, s.drawStaleRead())
	s.mu.Unlock()
	if !live {
		writeError(w, http.StatusNotFound, "no such key")
		return
	}
	writeJSON(w, http.StatusOK, pairBody{Key: key, Value: found.value, Revision: found.revision})
}

func (s *Service) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	pairs := s.store.list(s.timer.Now(), r.URL.Query().Get("prefix"), 0, s.drawStaleRead())
	revision := s.store.revision
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, pairsBody{Pairs: pairs, Revision: revision})
}

func (s *Service) put(w http.ResponseWriter, r *http.Request) {
	var body putBody
	if !readJSON(w, r, &body) {
		return
	}
	if len(body.Value) > maxValueBytes {
		writeError(w, http.StatusRequestEntityTooLarge, "value above 1 MB")
		return
	}
	ttl := time.Duration(body.TTLMs) * time.Millisecond
	s.mu.Lock()
	s.calls.ValueBytes += int64(len(body.Value))
	revision, done := s.store.put(s.timer.Now(), r.PathValue("key"), body.Value, body.Expected, ttl)
	s.mu.Unlock()
	status := http.StatusOK
	if !done {
		status = http.StatusConflict
	}
	writeJSON(w, status, revisionBody{revision})
}

// watch responds as soon as a key with the prefix has a revision above the given one, or at the timeout.
func (s *Service) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "after: "+err.Error())
		return
	}
	timeout, err := strconv.ParseInt(query.Get("timeout-ms"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "timeout-ms: "+err.Error())
		return
	}
	s.count(func(c *Calls) { c.Watches++; c.WaitingWatches++ })
	defer s.count(func(c *Calls) { c.WaitingWatches-- })
	s.awaitChange(w, r, query.Get("prefix"), after, time.Duration(timeout)*time.Millisecond)
}

func (s *Service) awaitChange(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timeout := s.timer.After(wait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		pairs := s.store.list(s.timer.Now(), prefix, after, false)
		revision, changed := s.store.revision, s.store.changed
		s.mu.Unlock()
		if len(pairs) > 0 {
			writeJSON(w, http.StatusOK, pairsBody{Pairs: pairs, Revision: revision})
			return
		}
		select {
		case <-changed:
		case <-timeout.C():
			writeJSON(w, http.StatusOK, pairsBody{Pairs: pairs, Revision: revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}
