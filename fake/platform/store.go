package platform

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// Store is the platform's key-value store.
	Store struct {
		server *httptest.Server

		mu       sync.Mutex
		changed  chan struct{}
		revision uint64
		oldest   uint64
		items    map[string]item
		history  []item
		leases   map[uint64]time.Time
		nextID   uint64
		refuse   bool
		forgets  bool
		lose     bool
		delay    time.Duration
		watches  int
	}
)

// NewStore starts an empty store on loopback.
func NewStore() *Store {
	s := &Store{changed: make(chan struct{}), revision: 1, items: make(map[string]item), leases: make(map[uint64]time.Time)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	mux.HandleFunc("POST /kv-txn", s.serveTxn)
	mux.HandleFunc("POST /kv-lease", s.serveLease)
	mux.HandleFunc("POST /kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.serveEnd)
	s.server = httptest.NewServer(s.faults(mux))
	return s
}

// Address returns the store's IP number and port.
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// Close stops the store.
func (s *Store) Close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// Refuse makes all calls fail with 503, or ends that.
func (s *Store) Refuse(refuse bool) {
	s.mu.Lock()
	s.refuse = refuse
	s.wake()
	s.mu.Unlock()
}

// LoseAnswers makes all calls take effect and break off without an answer, or ends that.
func (s *Store) LoseAnswers(lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = lose
}

// Delay makes all calls take a time longer.
func (s *Store) Delay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// Put writes an item as an operator or engine would.
func (s *Store) Put(key string, value any) {
	raw, isRaw := value.([]byte)
	if !isRaw {
		var err error
		if raw, err = json.Marshal(value); err != nil {
			panic(err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, raw, 0)
	if s.forgets {
		s.forget()
	}
}

// ForgetAtOnce makes the store drop its history with every later item, so that no watch sees it.
func (s *Store) CompactOnPut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgets = true
}

// Remove deletes an item.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Forget drops the history, so that watches have to start again.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget()
}

func (s *Store) forget() {
	s.history = nil
	s.oldest = s.revision
}

// Keys returns the keys below a prefix.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

func (s *Store) faults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		refuse, lose, delay := s.refuse, s.lose, s.delay
		s.mu.Unlock()
		time.Sleep(delay)
		if refuse {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if lose {
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) write(key string, value []byte, lease uint64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	written := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = written
	s.history = append(s.history, written)
	s.wake()
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	s.wake()
}

// expire removes the items of leases that have ended.
func (s *Store) expire() {
	for key, held := range s.items {
		if until, ok := s.leases[held.Lease]; held.Lease != 0 && (!ok || time.Now().After(until)) {
			s.remove(key)
		}
	}
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items := []item{}
	for key, held := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, held)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	answer(w, http.StatusOK, map[string]any{"items": items, "has-more": false, "current-rev": s.revision})
}

// Watches returns the number of calls that waited for changes.
func (s *Store) Watches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.watches++
	s.mu.Unlock()
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	limit := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer limit.Stop()
	for {
		s.mu.Lock()
		s.expire()
		events, current, gone, changed := s.since(query.Get("prefix"), after), s.revision, after < s.oldest, s.changed
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "current-rev": current})
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			answer(w, http.StatusOK, map[string]any{"events": []item{}, "current-rev": after})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) since(prefix string, after uint64) []item {
	var events []item
	for _, event := range s.history {
		if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var call txn
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, on := range call.On {
		if s.items[on.Key].Revision != on.Revision {
			answer(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[on.Key]}})
			return
		}
	}
	for _, write := range call.Writes {
		if _, ok := s.leases[write.Lease]; write.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, write := range call.Writes {
		s.write(write.Key, write.Value, write.Lease)
	}
	for _, key := range call.Remove {
		s.remove(key)
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	var call leaseRow
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	s.leases[s.nextID] = time.Now().Add(time.Duration(call.TTL) * time.Millisecond)
	answer(w, http.StatusOK, map[string]any{"lease": s.nextID, "ttl-ms": call.TTL})
}

func (s *Store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.leases[id]
	if !ok || time.Now().After(until) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.leases[id] = time.Now().Add(5 * time.Second)
	answer(w, http.StatusOK, map[string]any{"ttl-ms": 5000})
}

func (s *Store) serveEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	s.expire()
	answer(w, http.StatusOK, struct{}{})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // A client that has left needs no answer.
}
