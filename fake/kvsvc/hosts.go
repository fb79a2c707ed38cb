package kvsvc

import (
	"net/http"
	"time"
)

// hostList publishes a new list only after a delay, as the platform does.
type hostList struct {
	shown     []hostBody
	next      []hostBody
	visibleAt time.Time
}

func (s *Service) listHosts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	shown := s.hosts.at(s.timer.Now())
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, hostsBody{Hosts: shown})
}

func (s *Service) setHosts(w http.ResponseWriter, r *http.Request) {
	var body hostsBody
	if !readJSON(w, r, &body) {
		return
	}
	s.mu.Lock()
	now := s.timer.Now()
	shown := s.hosts.at(now)
	lag := time.Duration(body.LagMs) * time.Millisecond
	s.hosts = hostList{shown: shown, next: body.Hosts, visibleAt: now.Add(lag)}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, body)
}

func (l *hostList) at(now time.Time) []hostBody {
	if l.next != nil && !now.Before(l.visibleAt) {
		return l.next
	}
	if l.shown == nil {
		return []hostBody{}
	}
	return l.shown
}
