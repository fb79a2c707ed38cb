package kvsvc

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

const (
	// OutageRefuse answers all calls with 503.
	OutageRefuse = "refuse"
	// OutageHold answers no call until the outage ends.
	OutageHold = "hold"
)

func (s *Service) read(next http.HandlerFunc) http.HandlerFunc {
	return s.faulty(func(w http.ResponseWriter, r *http.Request) {
		s.count(func(c *Calls) { c.Reads++ })
		next(w, r)
	})
}

func (s *Service) write(next http.HandlerFunc) http.HandlerFunc {
	return s.faulty(func(w http.ResponseWriter, r *http.Request) {
		s.count(func(c *Calls) { c.Writes++ })
		s.wait(func(f Faults) int64 { return f.DelayWritesMs })
		s.losing(w, r, next)
	})
}

func (s *Service) lease(next http.HandlerFunc) http.HandlerFunc {
	return s.faulty(func(w http.ResponseWriter, r *http.Request) {
		s.count(func(c *Calls) { c.LeaseCalls++ })
		s.losing(w, r, next)
	})
}

func (s *Service) count(change func(*Calls)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.calls)
}

// faulty applies delay and outage before a call.
func (s *Service) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// The server notices a closed connection only after it has read the body.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		s.wait(func(f Faults) int64 { return f.DelayMs })
		if s.passOutage(w, r) {
			next(w, r)
		}
	}
}

// wait goes on when the caller has left, as a call that is already on its way does.
func (s *Service) wait(milliseconds func(Faults) int64) {
	s.mu.Lock()
	delay := time.Duration(milliseconds(s.faults)) * time.Millisecond
	s.mu.Unlock()
	if delay > 0 {
		wait := s.timer.After(delay)
		<-wait.C()
		wait.Stop()
	}
}

// passOutage reports whether the call may go on, after a hold outage if there is one.
func (s *Service) passOutage(w http.ResponseWriter, r *http.Request) bool {
	for {
		s.mu.Lock()
		outage, cleared := s.faults.Outage, s.cleared
		s.mu.Unlock()
		switch outage {
		case OutageRefuse:
			writeError(w, http.StatusServiceUnavailable, "outage")
			return false
		case OutageHold:
			if !s.hold(r, cleared) {
				return false
			}
		default:
			return true
		}
	}
}

// hold waits for the end of the outage and reports false if the caller leaves first.
func (s *Service) hold(r *http.Request, cleared <-chan struct{}) bool {
	s.held.Add(1)
	defer s.held.Add(-1)
	select {
	case <-cleared:
		return true
	case <-r.Context().Done():
		return false
	}
}

// Held returns the number of calls that an outage holds; a call that its caller
// has given up may still take effect while it counts.
func (s *Service) Held() int { return int(s.held.Load()) }

// losing runs a write and closes the connection without an answer if the fault says so.
func (s *Service) losing(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	if !s.losesAnswer() {
		next(w, r)
		return
	}
	next(discard{make(http.Header)}, r)
	panic(http.ErrAbortHandler)
}

func (s *Service) losesAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseNext > 0 {
		s.faults.LoseNext--
		return true
	}
	return s.faults.LoseAnswers > 0 && s.random.Float64() < s.faults.LoseAnswers
}

// readsStale must be called with the lock held.
func (s *Service) readsStale() bool {
	return s.faults.StaleReads > 0 && s.random.Float64() < s.faults.StaleReads
}

type discard struct{ header http.Header }

// Header returns a header that nobody reads.
func (d discard) Header() http.Header { return d.header }

// Write drops the data.
func (d discard) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader drops the status.
func (d discard) WriteHeader(int) {}
