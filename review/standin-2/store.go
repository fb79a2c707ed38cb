package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: items, watches, conditional writes and leases.
type store struct {
	addr    string
	mux     *http.ServeMux
	mu      sync.Mutex
	changed chan struct{}
	rev     uint64
	nextID  uint64
	items   map[string]item
	history []event
	leases  map[uint64]*leaseState
}

type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     uint64 `json:"revision"`
	Created uint64 `json:"create-revision"`
	Lease   uint64 `json:"lease"`
}

type event struct {
	item
	Deleted bool `json:"deleted,omitempty"`
}

type leaseState struct {
	ttl   time.Duration
	until time.Time
}

func newStore() *store {
	s := &store{changed: make(chan struct{}), rev: 1, items: map[string]item{}, leases: map[uint64]*leaseState{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	mux.HandleFunc("POST /kv-txn", s.serveTxn)
	mux.HandleFunc("POST /kv-lease", s.serveLease)
	mux.HandleFunc("POST /kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.serveEnd)
	// Engines and the operator write here; the system may not.
	mux.HandleFunc("PUT /outside/{key...}", s.serveOutside)
	s.mux = mux
	go func() { check(http.Serve(l, mux)) }()
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) write(key string, value []byte, lease uint64) {
	s.rev++
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{key, value, s.rev, created, lease}
	s.items[key] = it
	s.history = append(s.history, event{item: it})
	s.notify()
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.history = append(s.history, event{item{Key: key, Rev: s.rev}, true})
	s.notify()
}

func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, raw, 0)
}

func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// dropIf removes the entry of an engine that has left.
func (s *store) dropIf(e *supervised) {
	e.mu.Lock()
	hasLeft := e.stops
	e.mu.Unlock()
	if hasLeft {
		s.drop("servers/" + e.id)
	}
}

func (s *store) get(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.items[key].Value)
}

func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, 200, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Rev, "create-revision": it.Created, "lease": it.Lease, "current-rev": rev})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	answer(w, 200, map[string]any{"items": found, "has-more": false, "current-rev": rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.Rev > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, 200, map[string]any{"events": events, "current-rev": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			answer(w, 200, map[string]any{"events": events, "current-rev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

type txn struct {
	Conditions []struct {
		Key string `json:"key"`
		Rev uint64 `json:"revision"`
	} `json:"expected-rev"`
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"writes"`
	Remove []string `json:"remove"`
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, c := range t.Conditions {
		if s.items[c.Key].Rev != c.Rev {
			found := []item{}
			for _, c := range t.Conditions {
				if it, ok := s.items[c.Key]; ok {
					found = append(found, it)
				}
			}
			answer(w, http.StatusPreconditionFailed, map[string]any{"items": found})
			return
		}
	}
	for _, x := range t.Writes {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, x := range t.Writes {
		s.write(x.Key, x.Value, x.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	answer(w, 200, map[string]any{"revision": s.rev})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl-ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(max(body.TTL, 1000)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	id := 77000 + s.nextID
	s.leases[id] = &leaseState{ttl, time.Now().Add(ttl)}
	answer(w, 200, map[string]any{"lease": id, "ttl-ms": ttl.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.until = time.Now().Add(l.ttl)
	answer(w, 200, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
}

func (s *store) serveEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	answer(w, 200, map[string]any{})
}

func (s *store) serveOutside(w http.ResponseWriter, r *http.Request) {
	var value json.RawMessage
	if json.NewDecoder(r.Body).Decode(&value) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.put(r.PathValue("key"), value)
}

// door is an address of the store for one machine, at which the store can leave that machine's calls unanswered.
type door struct {
	addr   string
	mu     sync.Mutex
	silent chan struct{}
	// calls holds the times of the last calls by path.
	calls map[string]time.Time
}

func (s *store) addDoor() *door {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	d := &door{addr: l.Addr().String(), silent: make(chan struct{}), calls: map[string]time.Time{}}
	go func() {
		check(http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(s, w, r) })))
	}()
	return d
}

// serve answers a call, or never if the store is silent to the machine at any time from its arrival to its answer. A call that
// arrives in a silence has no effect.
func (d *door) serve(s *store, w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	silent := d.silent
	kind, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	d.calls[kind] = time.Now()
	d.mu.Unlock()
	select {
	case <-silent:
		<-r.Context().Done()
		return
	default:
	}
	answered := &held{header: http.Header{}, status: 200}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.mux.ServeHTTP(answered, r)
	}()
	select {
	case <-done:
	case <-silent:
		<-r.Context().Done()
		return
	}
	for name, values := range answered.header {
		w.Header()[name] = values
	}
	w.WriteHeader(answered.status)
	_, _ = w.Write(answered.body)
}

// held is an answer that is not sent yet.
type held struct {
	header http.Header
	status int
	body   []byte
}

func (h *held) Header() http.Header { return h.header }

func (h *held) WriteHeader(status int) { h.status = status }

func (h *held) Write(p []byte) (int, error) {
	h.body = append(h.body, p...)
	return len(p), nil
}

// fallSilent leaves all calls of the machine unanswered that wait now or come within the given time.
func (d *door) fallSilent(length time.Duration) {
	d.mu.Lock()
	close(d.silent)
	d.mu.Unlock()
	time.AfterFunc(length, func() {
		d.mu.Lock()
		d.silent = make(chan struct{})
		d.mu.Unlock()
	})
}

func (d *door) lastCall(kind string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls[kind]
}
