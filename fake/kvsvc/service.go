package kvsvc

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/timer"
)

const (
	// maxValue is the platform's limit of a value.
	maxValue = 1 << 20
	// maxBody leaves room for the base64 form of the largest value.
	maxBody = 2 << 20
)

type (
	// Service is the stand-in; it serves the platform's protocol.
	Service struct {
		mux   *http.ServeMux
		timer spoke.Timer
		held  atomic.Int64

		mu      sync.Mutex
		random  *rand.Rand
		faults  Faults
		cleared chan struct{}
		calls   Calls
		store   store
		leases  map[string]lease
		tokens  uint64
		hosts   hostList
	}

	// Option changes a Service.
	Option func(*Service)
)

// WithTimer sets the timer service; the default is the system clock.
func WithTimer(t spoke.Timer) Option { return func(s *Service) { s.timer = t } }

// WithSeed sets the seed of the faults that happen with a probability.
func WithSeed(seed uint64) Option {
	return func(s *Service) { s.random = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns an empty key-value service.
func New(opts ...Option) *Service {
	s := &Service{
		mux:     http.NewServeMux(),
		timer:   timer.NewSystem(),
		cleared: make(chan struct{}),
		store:   newStore(),
		leases:  make(map[string]lease),
	}
	WithSeed(1)(s)
	for _, opt := range opts {
		opt(s)
	}
	s.routes()
	return s
}

// ServeHTTP serves the platform's protocol and the endpoints for faults and counters.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults, as POST /faults does.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.cleared)
	s.cleared = make(chan struct{})
}

// Calls returns the counters, as GET /calls does.
func (s *Service) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Service) routes() {
	s.mux.HandleFunc("GET /kv/{key...}", s.read(s.get))
	s.mux.HandleFunc("GET /kv", s.read(s.list))
	s.mux.HandleFunc("PUT /kv/{key...}", s.write(s.put))
	s.mux.HandleFunc("GET /watch", s.faulty(s.watch))
	s.mux.HandleFunc("POST /leases/{name}", s.lease(s.acquire))
	s.mux.HandleFunc("PUT /leases/{name}", s.lease(s.renew))
	s.mux.HandleFunc("DELETE /leases/{name}", s.lease(s.release))
	s.mux.HandleFunc("GET /hosts", s.read(s.listHosts))
	s.mux.HandleFunc("POST /hosts", s.setHosts)
	s.mux.HandleFunc("POST /faults", s.setFaults)
	s.mux.HandleFunc("GET /calls", s.showCalls)
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !readJSON(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	writeJSON(w, http.StatusOK, faults)
}

func (s *Service) showCalls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Calls())
}
