package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is the interval at which an engine writes its entry.
	heartbeat = 1200 * time.Millisecond
	// loadTime is the time in which an engine takes new weights.
	loadTime  = 290 * time.Millisecond
	prefixHdr = "Magnoliaspoke-"
)

type (
	// engine is a stand-in for an engine. It serves plain requests, and streams where a request names a model.
	engine struct {
		id, service, zone string
		address           string
		slots             int
		work              time.Duration
		// events is the number of events of a stream.
		events int
		store  *store
		log    *record

		mu       sync.Mutex
		server   *http.Server
		conns    map[net.Conn]bool
		isUp     bool
		isListed bool
		sequence int
		running  int
		waiting  int
		queue    int
		turn     chan struct{}
		version  int
		model    string
		crashes  int
		// poison is the path that crashes the engine, downFor how long it is down then.
		poison  string
		downFor time.Duration
		// made names the tenant whose request made a part, by cache salt and part.
		made map[string]string
		// onRun is called when a request begins to run.
		onRun func(e *engine, r *http.Request)
		// onPart is called for each part that is found in the cache.
		onPart func(e *engine, r *http.Request, part, salt, maker string)
		// tokensPerMs is the rate at which prompts are read, one after the other; zero reads them at once.
		tokensPerMs int
		reading     chan struct{}
		orders      int
		isLoading   bool
		// onEnd is called when a stream has sent its last event.
		onEnd func(e *engine, r *http.Request)
	}
)

func newEngine(log *record, st *store, id, service, zone string, slots int, work time.Duration) *engine {
	return &engine{
		id: id, service: service, zone: zone, slots: slots, work: work, store: st, log: log, queue: 24, events: 5,
		turn: make(chan struct{}, slots), conns: map[net.Conn]bool{}, made: map[string]string{}, version: 1, reading: make(chan struct{}, 1),
	}
}

// start opens the engine's port, the same one after a crash, and begins its heartbeats.
func (e *engine) start() {
	at := e.address
	if at == "" {
		at = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", at)
	if err != nil {
		cannotRun("engine %s: %v", e.id, err)
	}
	e.mu.Lock()
	e.address, e.isUp, e.isListed = listener.Addr().String(), true, true
	e.sequence++
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), ConnState: e.observe}
	server := e.server
	e.mu.Unlock()
	e.beat()
	go func() { _ = server.Serve(listener) }()
	go func() {
		for {
			time.Sleep(heartbeat)
			e.mu.Lock()
			isSame := e.server == server && e.isUp
			e.mu.Unlock()
			if !isSame {
				return
			}
			e.beat()
		}
	}()
}

func (e *engine) observe(conn net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(e.conns, conn)
		return
	}
	e.conns[conn] = true
}

// beat writes the engine's entry.
func (e *engine) beat() {
	e.mu.Lock()
	if !e.isListed {
		e.mu.Unlock()
		return
	}
	models := []any{}
	if e.model != "" {
		models = append(models, map[string]any{"name": e.model, "version": e.version, "adapters": []string{}})
	}
	e.sequence++
	entry := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready",
		"cold-left-ms": 0, "stage": "both", "models": models, "sequence": e.sequence,
	}
	e.mu.Unlock()
	e.store.put("servers/"+e.id, entry)
}

// crash ends the engine as a killed process does, and starts it again after downFor.
func (e *engine) crash() {
	e.mu.Lock()
	if !e.isUp {
		e.mu.Unlock()
		return
	}
	e.isUp = false
	e.crashes++
	server := e.server
	var open []net.Conn
	for conn := range e.conns {
		open = append(open, conn)
	}
	e.conns = map[net.Conn]bool{}
	e.mu.Unlock()
	for _, conn := range open {
		reset(conn)
	}
	_ = server.Close()
	go func() {
		time.Sleep(e.downFor)
		e.start()
	}()
}

// unlist removes the engine's entry, as an engine does that leaves without a report. It goes on serving.
func (e *engine) unlist() time.Time {
	e.mu.Lock()
	e.isListed = false
	e.mu.Unlock()
	return e.store.remove("servers/" + e.id)
}

// leave ends the process of an engine that has left.
func (e *engine) leave() {
	e.mu.Lock()
	e.isUp = false
	server := e.server
	e.mu.Unlock()
	_ = server.Close()
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set(prefixHdr+"Instance-Id", e.id)
		w.WriteHeader(http.StatusOK)
		return
	case r.URL.Path == "/report":
		e.report(w)
		return
	case r.URL.Path == "/order":
		e.order(w, r)
		return
	case r.URL.Path == "/kv-events" || r.URL.Path == "/kv-list":
		answer(w, http.StatusOK, map[string]any{"boot-epoch": 1, "next": 0, "lost": false, "events": []any{}, "held": []any{}})
		return
	}
	e.request(w, r)
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": e.model, "version": e.version, "adapters": []string{}}},
		"busy": e.isLoading, "sequence": e.orders, "waiting": e.waiting, "running": e.running, "kv-used": 0, "kv-total": 138177, "handles": 0,
	})
}

// refuse states that a request was not run.
func (e *engine) refuse(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set(prefixHdr+"Request-Id", r.Header.Get(prefixHdr+"Request-Id"))
	w.Header().Set(prefixHdr+"Instance-Id", e.id)
	w.Header().Set(prefixHdr+"Not-Executed", "1")
	w.WriteHeader(status)
}

func (e *engine) request(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(prefixHdr + "Request-Id")
	if expected := r.Header.Get(prefixHdr + "Expect-Instance"); expected != "" && expected != e.id {
		e.refuse(w, r, http.StatusMisdirectedRequest)
		return
	}
	if status := e.unfit(r); status != 0 {
		e.refuse(w, r, status)
		return
	}
	if !e.takeSlot(r) {
		e.refuse(w, r, http.StatusServiceUnavailable)
		return
	}
	defer e.freeSlot()
	if e.onRun != nil {
		e.onRun(e, r)
	}
	if e.poison != "" && strings.HasPrefix(r.URL.Path, e.poison) {
		e.crash()
		return
	}
	if status := e.read(r); status != 0 {
		e.refuse(w, r, status)
		return
	}
	if r.Context().Err() != nil {
		return
	}
	header := w.Header()
	header.Set(prefixHdr+"Request-Id", id)
	header.Set(prefixHdr+"Server-Stamp", "rv."+e.id+"."+id)
	e.mu.Lock()
	header.Set(prefixHdr+"Instance-Load", fmt.Sprintf("%d,%d,%d", e.running, e.waiting, e.slots))
	e.mu.Unlock()
	if e.model != "" {
		header.Set(prefixHdr+"Weight-Versions", strconv.Itoa(e.version))
		e.stream(w, r)
		return
	}
	select {
	case <-time.After(e.work):
	case <-r.Context().Done():
		return
	}
	_, _ = fmt.Fprintf(w, "answer to %s of %d bytes\n", id, len(body))
}

// takeSlot waits for a slot in the engine's queue; it returns false if the queue is full.
func (e *engine) takeSlot(r *http.Request) bool {
	e.mu.Lock()
	if e.waiting >= e.queue {
		e.mu.Unlock()
		return false
	}
	e.waiting++
	e.mu.Unlock()
	isTaken := false
	select {
	case e.turn <- struct{}{}:
		isTaken = true
	case <-r.Context().Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
	if isTaken {
		e.running++
	}
	return isTaken
}

func (e *engine) freeSlot() {
	<-e.turn
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// unfit returns the status with which a request is refused that has not started, zero if it may start.
func (e *engine) unfit(r *http.Request) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	expected := r.Header.Get(prefixHdr + "Expect-Version")
	switch {
	case e.isLoading:
		return http.StatusServiceUnavailable
	case expected != "" && expected != strconv.Itoa(e.version):
		return http.StatusMisdirectedRequest
	}
	return 0
}

// read reads the parts of the prompt that are not cached, after those of earlier requests.
func (e *engine) read(r *http.Request) int {
	if e.tokensPerMs == 0 {
		e.useCache(r)
		return 0
	}
	select {
	case e.reading <- struct{}{}:
	case <-r.Context().Done():
		return 0
	}
	defer func() { <-e.reading }()
	if status := e.unfit(r); status != 0 {
		return status
	}
	time.Sleep(time.Duration(e.useCache(r)/e.tokensPerMs) * time.Millisecond)
	return e.unfit(r)
}

// order carries out an order to load weights; runs that have started go on.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Version  int    `json:"version"`
		Holder   string `json:"holder"`
		Fence    uint64 `json:"fence"`
		Expected *int   `json:"expected-rev"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.Holder == "" || body.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.isLoading || body.Expected != nil && *body.Expected != e.orders:
		w.WriteHeader(http.StatusConflict)
		return
	case body.Version <= e.version:
		w.WriteHeader(http.StatusOK)
		return
	}
	e.orders++
	e.isLoading = true
	e.log.add("engine %s loads version %d", e.id, body.Version)
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		e.version, e.isLoading, e.made = body.Version, false, map[string]string{}
		e.mu.Unlock()
		e.beat()
	})
	w.WriteHeader(http.StatusAccepted)
}

// useCache finds the parts of the prompt in the cache under the request's salt and adds those that are missing. It
// returns the number of tokens that are missing.
func (e *engine) useCache(r *http.Request) int {
	missing := 0
	hashes := r.Header.Get(prefixHdr + "Prefix-Hash")
	if hashes == "" {
		return missing
	}
	salt, tenant := r.Header.Get(prefixHdr+"Cache-Salt"), r.Header.Get(prefixHdr+"Tenant")
	isHit := true
	for entry := range strings.SplitSeq(hashes, ",") {
		part, size, _ := strings.Cut(strings.TrimSpace(entry), ":")
		e.mu.Lock()
		maker, isKept := e.made[salt+"/"+part]
		if !isKept {
			e.made[salt+"/"+part] = tenant
		}
		e.mu.Unlock()
		// A part is found only if all parts before it are.
		isHit = isHit && isKept
		if isHit && e.onPart != nil {
			e.onPart(e, r, part, salt, maker)
		}
		if !isHit {
			tokens, _ := strconv.Atoi(size)
			missing += tokens
		}
	}
	return missing
}

// stream sends events with increasing ids.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= e.events; i++ {
		select {
		case <-time.After(e.work / time.Duration(e.events)):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i, i)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
	if e.onEnd != nil {
		e.onEnd(e, r)
	}
}
