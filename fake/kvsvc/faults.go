package kvsvc

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

const (
	// OutageRefuse responds to all calls with 503.
	OutageRefuse = "refuse"
	// OutageHold delays all calls until the outage ends.
	OutageHold = "hold"
)

func (s *Service) readHandler(next http.HandlerFunc) http.HandlerFunc {
	return s.withFaults(func(w http.ResponseWriter, r *http.Request) {
		s.count(func(c *Calls) { c.Reads++ })
		next(w, r)
	})
}

func (s *Service) writeHandler(next http.HandlerFunc) http.HandlerFunc {
	return s.withFaults(func(w http.ResponseWriter, r *http.Request) {
		s.count(func(c *Calls) { c.Writes++ })
		s.delay(func(f Faults) int64 { return f.DelayWritesMs })
		s.serveWithAnswerLoss(w, r, next)
	})
}

func (s *Service) leaseHandler(next http.HandlerFunc) http.HandlerFunc {
	return s.withFaults(func(w http.ResponseWriter, r *http.Request) {
		s.count(func(c *Calls) { c.LeaseCalls++ })
		s.serveWithAnswerLoss(w, r, next)
	})
}

func (s *Service) count(change func(*Calls)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.calls)
}

// withFaults applies the delay and outage faults before a call.
func (s *Service) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// The server detects a closed connection only after it has read the body.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		s.delay(func(f Faults) int64 { return f.DelayMs })
		if s.applyOutage(w, r) {
			next(w, r)
		}
	}
}

// delay waits for one of the configured delays. It does not return early when the caller disconnects,
// because a request in transit would still arrive.
func (s *Service) delay(milliseconds func(Faults) int64) {
	s.mu.Lock()
	delay := time.Duration(milliseconds(s.faults)) * time.Millisecond
	s.mu.Unlock()
	if delay > 0 {
		tick := s.timer.After(delay)
		<-tick.C()
		tick.Stop()
	}
}

// applyOutage reports whether the call may proceed; during a hold outage, it first waits until the
// outage ends. In a refuse outage it responds with 503.
func (s *Service) applyOutage(w http.ResponseWriter, r *http.Request) bool {
	for {
		s.mu.Lock()
		outage, faultsChanged := s.faults.Outage, s.faultsChanged
		s.mu.Unlock()
		switch outage {
		case OutageRefuse:
			writeError(w, http.StatusServiceUnavailable, "outage")
			return false
		case OutageHold:
			if !s.awaitOutageEnd(r, faultsChanged) {
				return false
			}
		default:
			return true
		}
	}
}

// awaitOutageEnd waits until the faults change; it reports false if the caller disconnects first.
func (s *Service) awaitOutageEnd(r *http.Request, faultsChanged <-chan struct{}) bool {
	s.heldCalls.Add(1)
	defer s.heldCalls.Add(-1)
	select {
	case <-faultsChanged:
		return true
	case <-r.Context().Done():
		return false
	}
}

// HeldCalls returns the number of calls that wait for the end of an outage. A call that
// its caller has cancelled may still take effect while it is counted.
func (s *Service) HeldCalls() int { return int(s.heldCalls.Load()) }

// serveWithAnswerLoss runs a write or lease call; if its response is to be lost, it then closes the connection.
func (s *Service) serveWithAnswerLoss(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	if !s.drawAnswerLoss() {
		next(w, r)
		return
	}
	next(discardWriter{make(http.Header)}, r)
	panic(http.ErrAbortHandler)
}

func (s *Service) drawAnswerLoss() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseNext > 0 {
		s.faults.LoseNext--
		return true
	}
	return s.faults.LoseAnswers > 0 && s.random.Float64() < s.faults.LoseAnswers
}

// drawStaleRead decides at random whether a read is stale; the caller must hold the lock.
func (s *Service) drawStaleRead() bool {
	return s.faults.StaleReads > 0 && s.random.Float64() < s.faults.StaleReads
}

type discardWriter struct{ header http.Header }

// Header returns a header that is never sent.
func (d discardWriter) Header() http.Header { return d.header }

// Write discards the data.
func (d discardWriter) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader discards the status.
func (d discardWriter) WriteHeader(int) {}
