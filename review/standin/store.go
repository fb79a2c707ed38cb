package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// storePage is the number of items in one answer of /kv-range.
	storePage = 500
	// storeAnswer is the time that the platform's store takes for an answer.
	storeAnswer = 4 * time.Millisecond
	// leaseCheck is the interval at which the ends of leases are looked for.
	leaseCheck = 20 * time.Millisecond
	// minTTL is the shortest lease, in milliseconds.
	minTTL = 1000
)

type (
	// item is an item of the store as PROTOCOL.md gives it.
	item struct {
		Key     string `json:"key"`
		Value   []byte `json:"value"`
		Rev     uint64 `json:"revision"`
		Created uint64 `json:"create-revision"`
		Lease   uint64 `json:"lease"`
	}

	// event is a change of the store.
	event struct {
		item
		deleted bool
	}

	lease struct {
		until time.Time
		ttl   time.Duration
	}

	txnBody struct {
		Expected []struct {
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

	// path is the way of one host to the store, which can be cut.
	path struct {
		address string
		mu      sync.Mutex
		isCut   bool
		open    map[net.Conn]bool
		// watchedAt is when the host last began to watch the store itself, in nanoseconds since 1970.
		watchedAt atomic.Int64
	}

	// store is a stand-in for the platform's metadata store.
	store struct {
		handler http.Handler
		log     *record

		mu      sync.Mutex
		rev     uint64
		items   map[string]item
		history []event
		leases  map[uint64]*lease
		next    uint64
		changed chan struct{}
	}
)

// startStore starts an empty store on loopback.
func startStore(log *record) *store {
	s := &store{log: log, rev: 1, items: map[string]item{}, leases: map[uint64]*lease{}, next: 77000, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.key)
	mux.HandleFunc("GET /kv-range", s.rangeOf)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	s.handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeAnswer)
		mux.ServeHTTP(w, r)
	})
	go s.endLeases()
	return s
}

// newPath opens a way to the store for one host.
func (s *store) newPath() *path {
	p := &path{open: map[net.Conn]bool{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	p.address = listener.Addr().String()
	server := &http.Server{ConnState: p.observe, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/kv-watch" {
			p.watchedAt.Store(time.Now().UnixNano())
		}
		s.handler.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	return p
}

// observe keeps the open connections, and resets new ones while the path is cut.
func (p *path) observe(conn net.Conn, state http.ConnState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state == http.StateClosed {
		delete(p.open, conn)
		return
	}
	p.open[conn] = true
	if p.isCut {
		reset(conn)
	}
}

// cut resets the connections on the path, and all new ones until it is healed.
func (p *path) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = true
	for conn := range p.open {
		reset(conn)
	}
}

func (p *path) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = false
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (s *store) endLeases() {
	for {
		time.Sleep(leaseCheck)
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.until) {
				s.dropLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) dropLease(id uint64) {
	delete(s.leases, id)
	for key, held := range s.items {
		if held.Lease == id {
			s.removeKey(key)
		}
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) writeKey(key string, value []byte, leaseID uint64) {
	s.rev++
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	written := item{Key: key, Value: value, Rev: s.rev, Created: created, Lease: leaseID}
	s.items[key] = written
	s.history = append(s.history, event{item: written})
	s.wake()
}

func (s *store) removeKey(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.history = append(s.history, event{item: item{Key: key, Rev: s.rev}, deleted: true})
	s.wake()
}

// put writes an item as the operator or an engine does, and returns when it was confirmed.
func (s *store) put(key string, value any) time.Time {
	raw, err := json.Marshal(value)
	if err != nil {
		cannotRun("encode %s: %v", key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeKey(key, raw, 0)
	return time.Now()
}

// remove removes an item and returns when that was confirmed.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeKey(key)
	return time.Now()
}

// keys returns the keys with a prefix.
func (s *store) keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			found = append(found, key)
		}
	}
	sort.Strings(found)
	return found
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"current-rev": s.rev})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		Current uint64 `json:"current-rev"`
	}{found, s.rev})
}

func (s *store) rangeOf(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	found := []item{}
	for key, held := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, held)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	hasMore := len(found) > storePage
	answer(w, http.StatusOK, map[string]any{"items": found[:min(len(found), storePage)], "has-more": hasMore, "current-rev": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, current, changed := s.eventsAfter(query.Get("prefix"), after), s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "current-rev": current})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": []any{}, "current-rev": current})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) eventsAfter(prefix string, after uint64) []any {
	var found []any
	for _, e := range s.history {
		switch {
		case e.Rev <= after || !strings.HasPrefix(e.Key, prefix):
		case e.deleted:
			found = append(found, map[string]any{"key": e.Key, "revision": e.Rev, "deleted": true})
		default:
			found = append(found, e.item)
		}
	}
	return found
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body txnBody
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range body.Expected {
		if s.items[e.Key].Rev != e.Rev {
			answer(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[e.Key]}})
			return
		}
	}
	for _, write := range body.Writes {
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if s.leases[write.Lease] == nil && write.Lease != 0 {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, write := range body.Writes {
		s.writeKey(write.Key, write.Value, write.Lease)
	}
	for _, key := range body.Remove {
		s.removeKey(key)
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl-ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTL < minTTL {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.next] = &lease{time.Now().Add(ttl), ttl}
	answer(w, http.StatusOK, map[string]any{"lease": s.next, "ttl-ms": body.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.until = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropLease(id)
	answer(w, http.StatusOK, map[string]any{})
}
