package plain

import (
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/timer"
)

// maxBodyBytes is the body limit of the caller API, which no forwarded body exceeds.
const maxBodyBytes spoke.ByteSize = 8 << 20

type (
	// Service is a stand-in for a plain HTTP service; it is safe for concurrent use.
	Service struct {
		timer  spoke.Timer
		mux    *http.ServeMux
		mu     sync.Mutex
		faults Faults
		runs   Runs
	}

	// Option changes a setting of a Service.
	Option func(*Service)

	// Faults are injected into the next calls; a count below zero applies to all calls.
	Faults struct {
		// Delay is the duration of each run.
		Delay time.Duration
		// Refuse is the number of calls that are refused before they run.
		Refuse int
		// Cut is the number of calls whose connection is closed after they ran.
		Cut int
		// Silent is the number of calls that run and never get a response.
		Silent int
	}

	// Runs counts the calls that ran, also by idempotency key and attempt ID.
	Runs struct {
		Total     int
		ByKey     map[spoke.IdempotencyKey]int
		ByAttempt map[spoke.AttemptID]int
	}
)

// New returns a service without faults.
func New(opts ...Option) *Service {
	s := &Service{timer: timer.NewSystem(), mux: http.NewServeMux()}
	s.runs.ByKey = make(map[spoke.IdempotencyKey]int)
	s.runs.ByAttempt = make(map[spoke.AttemptID]int)
	for _, opt := range opts {
		opt(s)
	}
	s.mux.HandleFunc("GET /runs", s.serveRuns)
	s.mux.HandleFunc("POST /faults", s.serveFaults)
	s.mux.HandleFunc("/", s.call)
	return s
}

// WithTimer sets the clock that delays runs; the default is the system clock.
func WithTimer(timer spoke.Timer) Option {
	return func(s *Service) { s.timer = timer }
}

// WithFaults sets the initial faults.
func WithFaults(faults Faults) Option {
	return func(s *Service) { s.faults = faults }
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Runs returns a copy of the counts.
func (s *Service) Runs() Runs {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Runs{Total: s.runs.Total, ByKey: maps.Clone(s.runs.ByKey), ByAttempt: maps.Clone(s.runs.ByAttempt)}
}

// ServeHTTP serves calls and the endpoints for runs and faults.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(maxBodyBytes)))
	if err != nil {
		// A call with a truncated or oversized body is not run.
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if attempt := r.Header.Get("X-Attempt-Id"); attempt != "" {
		w.Header().Set("X-Attempt-Id", attempt)
	}
	if s.consumeFault(func(f *Faults) *int { return &f.Refuse }) {
		w.Header().Set("X-Not-Run", "true")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.run(r)
	switch {
	case s.consumeFault(func(f *Faults) *int { return &f.Silent }):
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case s.consumeFault(func(f *Faults) *int { return &f.Cut }):
		panic(http.ErrAbortHandler)
	}
	writeResponse(w, r, body)
}

// run counts the call and waits for the configured delay; the count stays if the caller disconnects.
func (s *Service) run(r *http.Request) {
	s.mu.Lock()
	s.runs.Total++
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		s.runs.ByKey[spoke.IdempotencyKey(key)]++
	}
	if attempt := r.Header.Get("X-Attempt-Id"); attempt != "" {
		s.runs.ByAttempt[spoke.AttemptID(attempt)]++
	}
	delay := s.faults.Delay
	s.mu.Unlock()
	if delay <= 0 {
		return
	}
	tick := s.timer.After(delay)
	defer tick.Stop()
	select {
	case <-tick.C():
	case <-r.Context().Done():
	}
}

// consumeFault decrements the count of a fault and reports whether the fault applies to this call.
func (s *Service) consumeFault(fault func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := fault(&s.faults)
	if *count > 0 {
		*count--
		return true
	}
	return *count < 0
}
