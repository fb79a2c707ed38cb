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
	// maxValueBytes is the platform's limit for a value.
	maxValueBytes = 1 << 20
	// maxBodyBytes leaves room for the base64 encoding of the largest value.
	maxBodyBytes = 2 << 20
)

type (
	// Service is a stand-in for the key-value service; it serves the platform's protocol.
	Service struct {
		mux       *http.ServeMux
		timer     spoke.Timer
		heldCalls atomic.Int64

		mu            sync.Mutex
		random        *rand.Rand
		faults        Faults
		faultsChanged chan struct{}
		calls         Calls
		store         store
		leases        map[string]lease
		lastToken     uint64
		hosts         hostList
	}

	// Option changes a setting of a Service.
	Option func(*Service)
)

// WithTimer sets the clock; the default is the system clock.
func WithTimer(t spoke.Timer) Option { return func(s *Service) { s.timer = t } }

// WithSeed sets the seed for faults that occur with a probability.
func WithSeed(seed uint64) Option {
	return func(s *Service) { s.random = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns an empty key-value service.
func New(opts ...Option) *Service {
	s := &Service{
		mux:           http.NewServeMux(),
		timer:         timer.NewSystem(),
		faultsChanged: make(chan struct{}),
		store:         newStore(),
		leases:        make(map[string]lease),
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
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// Calls returns the counters, as GET /calls does.
func (s *Service) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Service) routes() {
	s.mux.HandleFunc("GET /kv/{key...}", s.readHandler(s.get))
	s.mux.HandleFunc("GET /kv", s.readHandler(s.list))
	s.mux.HandleFunc("PUT /kv/{key...}", s.writeHandler(s.put))
	s.mux.HandleFunc("GET /watch", s.withFaults(s.watch))
	s.mux.HandleFunc("POST /leases/{name}", s.leaseHandler(s.acquire))
	s.mux.HandleFunc("PUT /leases/{name}", s.leaseHandler(s.renew))
	s.mux.HandleFunc("DELETE /leases/{name}", s.leaseHandler(s.release))
	s.mux.HandleFunc("GET /hosts", s.readHandler(s.listHosts))
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
