package kvsvc

import (
	"net/http"
	"strconv"
	"time"
)

type lease struct {
	holder  string
	token   uint64
	expires time.Time
}

// acquire grants a free or expired lease. The current holder gets it again with a new token, so
// that a restarted process replaces its predecessor.
func (s *Service) acquire(w http.ResponseWriter, r *http.Request) {
	var body leaseBody
	if !readJSON(w, r, &body) {
		return
	}
	name := r.PathValue("name")
	s.mu.Lock()
	now := s.timer.Now()
	held := s.leases[name]
	available := held.holder == "" || held.holder == body.Holder || !now.Before(held.expires)
	if available {
		s.lastToken++
		held = lease{holder: body.Holder, token: s.lastToken, expires: now.Add(time.Duration(body.TTLMs) * time.Millisecond)}
		s.leases[name] = held
	}
	s.mu.Unlock()
	if !available {
		writeError(w, http.StatusConflict, "held by another holder")
		return
	}
	writeJSON(w, http.StatusOK, leaseBody{Token: held.token, TTLMs: body.TTLMs})
}

func (s *Service) renew(w http.ResponseWriter, r *http.Request) {
	var body leaseBody
	if !readJSON(w, r, &body) {
		return
	}
	name := r.PathValue("name")
	s.mu.Lock()
	now := s.timer.Now()
	held := s.leases[name]
	current := held.holder == body.Holder && held.token == body.Token && now.Before(held.expires)
	if current {
		held.expires = now.Add(time.Duration(body.TTLMs) * time.Millisecond)
		s.leases[name] = held
	}
	s.mu.Unlock()
	if !current {
		writeError(w, http.StatusConflict, "lease lost")
		return
	}
	writeJSON(w, http.StatusOK, leaseBody{Token: body.Token, TTLMs: body.TTLMs})
}

func (s *Service) release(w http.ResponseWriter, r *http.Request) {
	token, err := strconv.ParseUint(r.URL.Query().Get("token"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "token: "+err.Error())
		return
	}
	name := r.PathValue("name")
	s.mu.Lock()
	held := s.leases[name]
	current := held.holder == r.URL.Query().Get("holder") && held.token == token
	if current {
		delete(s.leases, name)
	}
	s.mu.Unlock()
	if !current {
		writeError(w, http.StatusConflict, "lease lost")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
