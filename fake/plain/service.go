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

// bodyLimit is the body limit of the caller API, which no forwarded body exceeds.
const bodyLimit spoke.ByteSize = 8 << 20

type (
	// Service is a stand-in of a plain service; it is safe for concurrent use.
	Service struct {
		timer  spoke.Timer
		mux    *http.ServeMux
		mu     sync.Mutex
		faults Faults
		runs   Runs
	}

	// Option changes a Service.
	Option func(*Service)

	// Faults are what goes wrong with the next calls; a count below zero means all calls.
	Faults struct {
		// Delay is the time that each run takes.
		Delay time.Duration
		// Refuse counts calls that are refused before they run.
		Refuse int
		// Cut counts calls whose connection is cut after they ran.
		Cut int
		// Silent counts calls that run and never answer.
		Silent int
	}

	// Runs counts the calls that ran.
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
	s.mux.HandleFunc("GET /runs", s.giveRuns)
	s.mux.HandleFunc("POST /faults", s.takeFaults)
	s.mux.HandleFunc("/", s.call)
	return s
}

// WithTimer sets the timer service that delays runs.
func WithTimer(timer spoke.Timer) Option {
	return func(s *Service) { s.timer = timer }
}

// WithFaults sets the faults at the start.
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

// ServeHTTP serves one call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(bodyLimit)))
	if err != nil {
		// A body that did not arrive whole is not run.
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.take(func(f *Faults) *int { return &f.Refuse }) {
		w.Header().Set("X-Not-Run", "true")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.run(r)
	switch {
	case s.take(func(f *Faults) *int { return &f.Silent }):
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case s.take(func(f *Faults) *int { return &f.Cut }):
		panic(http.ErrAbortHandler)
	}
	writeAnswer(w, r, body)
}

// run counts the call and takes the time of its run; a caller that leaves does not undo it.
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
	wait := s.timer.After(delay)
	defer wait.Stop()
	select {
	case <-wait.C():
	case <-r.Context().Done():
	}
}

// take uses up one of the counted faults.
func (s *Service) take(fault func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := fault(&s.faults)
	if *count > 0 {
		*count--
		return true
	}
	return *count < 0
}
