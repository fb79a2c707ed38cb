package platform

import (
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// Store is a stand-in for the platform's key-value store.
	Store struct {
		server *httptest.Server

		mu                sync.Mutex
		changed           chan struct{}
		revision          uint64
		compactedRevision uint64
		items             map[string]item
		history           []item
		leases            map[uint64]lease
		nextID            uint64
		refuse            bool
		compactOnPut      bool
		// coldSeconds and coldPerSecond are those of the services of PutConfig.
		coldSeconds, coldPerSecond float64
		loseAnswers                bool
		delay                      time.Duration
		watches                    int
		// cutAfter is the time after which waiting watches are cut, zero for never.
		cutAfter time.Duration
		// era counts the times that the store has returned to a copy.
		era atomic.Uint64
	}

	// lease is the time for which a lease is granted and renewed, and its end.
	lease struct {
		ttl   time.Duration
		until time.Time
	}

	// StoreCopy is a state of the store to which it can return.
	StoreCopy struct {
		revision, compactedRevision, nextID uint64
		items                               map[string]item
		history                             []item
		leases                              map[uint64]lease
	}

	// eraWriter adds the store's era to each response.
	eraWriter struct {
		http.ResponseWriter
		store *Store
	}
)

// WriteHeader writes the head with the era.
func (w eraWriter) WriteHeader(status int) {
	w.Header().Set("Store-Era", strconv.FormatUint(w.store.era.Load(), 10))
	w.ResponseWriter.WriteHeader(status)
}

// NewStore starts an empty store on loopback.
func NewStore() *Store {
	s := &Store{changed: make(chan struct{}), revision: 1, items: make(map[string]item), leases: make(map[uint64]lease)}
	s.era.Store(1)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	mux.HandleFunc("POST /kv-txn", s.serveTxn)
	mux.HandleFunc("POST /kv-lease", s.serveLease)
	mux.HandleFunc("POST /kv-keep/{id}", s.serveKeepAlive)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.serveRevoke)
	s.server = httptest.NewServer(s.withFaults(mux))
	return s
}

// Address returns the store's IP number and port.
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// Close stops the store.
func (s *Store) Close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// Refuse sets whether all calls fail with 503.
func (s *Store) Refuse(refuse bool) {
	s.mu.Lock()
	s.refuse = refuse
	s.notifyWatches()
	s.mu.Unlock()
}

// LoseAnswers sets whether all calls take effect but their connections close without a response.
func (s *Store) LoseAnswers(loseAnswers bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswers = loseAnswers
}

// Delay sets a delay that is added to each call.
func (s *Store) Delay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// CutWatches sets the time after which waiting watches are cut, zero for never.
func (s *Store) CutWatches(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutAfter = after
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
	if s.compactOnPut {
		s.compact()
	}
}

// CompactOnPut makes the store compact its history after every later Put, so that no watch sees the item.
func (s *Store) CompactOnPut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactOnPut = true
}

// Remove deletes an item.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Compact drops the history, so that watches have to restart with a new read.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compact()
}

func (s *Store) compact() {
	s.history = nil
	s.compactedRevision = s.revision
}

// Copy returns a copy of the store.
func (s *Store) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreCopy{
		revision: s.revision, compactedRevision: s.compactedRevision, nextID: s.nextID,
		items: maps.Clone(s.items), history: slices.Clone(s.history), leases: maps.Clone(s.leases),
	}
}

// Restore returns the store to a copy, so that it gives out revisions and leases again.
func (s *Store) Restore(from StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era.Add(1)
	s.revision, s.compactedRevision, s.nextID = from.revision, from.compactedRevision, from.nextID
	s.items, s.history, s.leases = maps.Clone(from.items), slices.Clone(from.history), maps.Clone(from.leases)
	s.notifyWatches()
}

// Keys returns the sorted keys with a prefix.
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

func (s *Store) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		refuse, loseAnswers, delay := s.refuse, s.loseAnswers, s.delay
		s.mu.Unlock()
		w = eraWriter{w, s}
		time.Sleep(delay)
		if refuse {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if loseAnswers {
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Store) notifyWatches() {
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
	s.notifyWatches()
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	s.notifyWatches()
}

// expire removes the items of leases that have ended.
func (s *Store) expire() {
	for key, stored := range s.items {
		if granted, ok := s.leases[stored.Lease]; stored.Lease != 0 && (!ok || time.Now().After(granted.until)) {
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
	for key, stored := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, stored)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has-more": false, "current-rev": s.revision})
}

// Watches returns the number of watch calls so far.
func (s *Store) Watches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.watches++
	cutAfter := s.cutAfter
	s.mu.Unlock()
	var cut <-chan time.Time
	if cutAfter > 0 {
		cut = time.After(cutAfter)
	}
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		s.expire()
		events, current, isCompacted, changed := s.eventsAfter(query.Get("prefix"), after), s.revision, after < s.compactedRevision || after > s.revision, s.changed
		s.mu.Unlock()
		if isCompacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "current-rev": current})
			return
		}
		select {
		case <-changed:
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-timeout.C:
			writeJSON(w, http.StatusOK, map[string]any{"events": []item{}, "current-rev": after})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) eventsAfter(prefix string, after uint64) []item {
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
	for _, condition := range call.Conditions {
		if s.items[condition.Key].Revision != condition.Revision {
			writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[condition.Key]}})
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
	writeJSON(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	var call leaseBody
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	ttl := time.Duration(call.TTLMs) * time.Millisecond
	s.leases[s.nextID] = lease{ttl: ttl, until: time.Now().Add(ttl)}
	writeJSON(w, http.StatusOK, map[string]any{"lease": s.nextID, "ttl-ms": call.TTLMs})
}

func (s *Store) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	granted, ok := s.leases[id]
	if !ok || time.Now().After(granted.until) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	granted.until = time.Now().Add(granted.ttl)
	s.leases[id] = granted
	writeJSON(w, http.StatusOK, map[string]any{"ttl-ms": granted.ttl.Milliseconds()})
}

func (s *Store) serveRevoke(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	s.expire()
	writeJSON(w, http.StatusOK, struct{}{})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // The client may have disconnected.
}
