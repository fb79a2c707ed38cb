package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// engine is one start of a server of the deployment. It gets its listening socket as file 3, so that connections wait
// while its supervisor starts it again.
type engine struct {
	id, service, zone, store string
	isModel                  bool
	slots                    int
	born                     int64
	running                  atomic.Int64

	mu       sync.Mutex
	sequence int
	version  int64
	busy     bool
	orders   string

	beatMu sync.Mutex
	beats  int
	state  string
}

func runEngine(args []string) {
	e := &engine{state: "ready"}
	f := flag.NewFlagSet("engine", flag.ExitOnError)
	f.StringVar(&e.id, "id", "", "")
	f.StringVar(&e.service, "service", "", "")
	f.StringVar(&e.zone, "zone", "z-a", "")
	f.StringVar(&e.store, "store", "", "")
	f.BoolVar(&e.isModel, "model", false, "")
	f.IntVar(&e.slots, "slots", 6, "")
	f.Int64Var(&e.version, "version", 1, "")
	f.StringVar(&e.orders, "orders", "", "silent: orders are left unanswered and not carried out")
	startMs := f.Int("start-ms", 0, "time from the start of the process until it serves")
	check(f.Parse(args))
	time.Sleep(time.Duration(*startMs) * time.Millisecond)
	e.born = time.Now().UnixMilli()
	l, err := net.FileListener(os.NewFile(3, "listener"))
	check(err)
	addr := l.Addr().String()
	e.beat(addr)
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			e.beat(addr)
		}
	}()
	go e.awaitLeave(addr)
	say("start", "engine", e.id, "born", e.born, "pid", os.Getpid())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", e.serveHealth)
	if e.isModel {
		mux.HandleFunc("GET /report", e.serveReport)
		mux.HandleFunc("POST /order", e.serveOrder)
	}
	mux.HandleFunc("/", e.serveRun)
	check(http.Serve(l, mux))
}

func (e *engine) models() []any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return []any{map[string]any{"name": "m0", "version": e.version, "adapters": []any{}}}
}

// beat writes the entry of the engine.
func (e *engine) beat(addr string) {
	models := e.models()
	e.beatMu.Lock()
	defer e.beatMu.Unlock()
	e.beats++
	entry := map[string]any{
		"service": e.service, "address": addr, "zone": e.zone, "version": "v1", "slots": e.slots, "state": e.state,
		"cold-left-ms": 0, "sequence": e.beats, "born": e.born,
	}
	if e.isModel {
		entry["stage"], entry["models"] = "both", models
	}
	raw, _ := json.Marshal(entry)
	r, err := http.NewRequest(http.MethodPut, "http://"+e.store+"/outside/servers/"+e.id, strings.NewReader(string(raw)))
	check(err)
	if resp, err := http.DefaultClient.Do(r); err == nil {
		_ = resp.Body.Close()
	}
}

// awaitLeave reports at a SIGTERM that the engine leaves, and exits when drain-ms has passed and its last run has ended.
func (e *engine) awaitLeave(addr string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	<-signals
	e.beatMu.Lock()
	e.state = "draining"
	e.beatMu.Unlock()
	e.beat(addr)
	time.Sleep(2200 * time.Millisecond)
	for e.running.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	say("exit", "engine", e.id)
	os.Exit(0)
}

func (e *engine) load() string { return fmt.Sprintf("%d,0,%d", e.running.Load(), e.slots) }

func (e *engine) serveHealth(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Magnoliaspoke-Instance-Id", e.id)
	w.Header().Set("Magnoliaspoke-Instance-Load", e.load())
}

func (e *engine) serveReport(w http.ResponseWriter, r *http.Request) {
	models := e.models()
	e.mu.Lock()
	body := map[string]any{
		"stage": "both", "models": models, "busy": e.busy, "sequence": e.sequence, "waiting": 0, "running": e.running.Load(),
		"kv-used": 0, "kv-total": 90000, "handles": 0, "born": e.born, "clock_ms": float64(time.Now().UnixMilli()),
	}
	e.mu.Unlock()
	answer(w, 200, body)
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Holder  string `json:"holder"`
		Fence   uint64 `json:"fence"`
		Version int64  `json:"version"`
		After   *int   `json:"expected-rev"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(400)
		return
	}
	say("order", "engine", e.id, "holder", o.Holder, "fence", o.Fence, "version", o.Version)
	if e.orders == "silent" {
		<-r.Context().Done()
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.busy || o.After != nil && *o.After != e.sequence:
		w.WriteHeader(409)
	case o.Version == e.version:
		w.WriteHeader(200)
	default:
		e.busy = true
		e.sequence++
		w.WriteHeader(202)
		go func() {
			time.Sleep(290 * time.Millisecond)
			e.mu.Lock()
			e.busy, e.version = false, o.Version
			e.mu.Unlock()
		}()
	}
}

// work is what a request asks of its engine: pieces with pauses between them.
type work struct {
	pieces  int
	gap     time.Duration
	framing string
}

func workOf(r *http.Request) work {
	fields := strings.Split(r.Header.Get("X-Work"), ",")
	x := work{1, 0, "length"}
	if len(fields) == 3 {
		x.pieces, _ = strconv.Atoi(fields[0])
		ms, _ := strconv.Atoi(fields[1])
		x.gap, x.framing = time.Duration(ms)*time.Millisecond, fields[2]
	}
	return x
}

func piece(id string, i, of int) string {
	return fmt.Sprintf("piece %d of %d of request %s %s\n", i, of, id, strings.Repeat("x", 40))
}

func wholeBody(id string, pieces int) string {
	var b strings.Builder
	for i := 1; i <= pieces; i++ {
		b.WriteString(piece(id, i, pieces))
	}
	return b.String()
}

func (e *engine) serveRun(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Magnoliaspoke-Request-Id")
	if want := r.Header.Get("Magnoliaspoke-Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("Magnoliaspoke-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("Magnoliaspoke-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Magnoliaspoke-Request-Id", id)
	w.Header().Set("Magnoliaspoke-Instance-Load", e.load())
	if e.running.Add(1) > int64(e.slots) {
		e.running.Add(-1)
		w.Header().Set("Magnoliaspoke-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.running.Add(-1)
	say("begin", "request", id, "engine", e.id, "born", e.born)
	w.Header().Set("Magnoliaspoke-Server-Stamp", fmt.Sprintf("stamp.%s.%d.%s", e.id, e.born, id))
	w.Header().Set("Content-Type", "text/plain")
	x := workOf(r)
	switch x.framing {
	case "close", "events":
		if !e.writeUnframed(w, id, x) {
			return
		}
	case "length":
		body := wholeBody(id, x.pieces)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		fallthrough
	default:
		w.WriteHeader(200)
		for i := 1; i <= x.pieces; i++ {
			time.Sleep(x.gap)
			_, _ = w.Write([]byte(piece(id, i, x.pieces)))
			_ = http.NewResponseController(w).Flush()
		}
	}
	say("end", "request", id, "engine", e.id, "born", e.born)
}

// wholeEvents is the body of a stream with so many events.
func wholeEvents(events int) string {
	var b strings.Builder
	for i := 1; i <= events; i++ {
		b.WriteString(oneEvent(i))
	}
	return b.String()
}

func oneEvent(i int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", i, i) }

// writeUnframed sends an answer with neither a length nor chunks, which ends with its connection. It reports whether all
// has been written.
func (e *engine) writeUnframed(w http.ResponseWriter, id string, x work) bool {
	header := w.Header()
	if x.framing == "events" {
		header.Set("Content-Type", "text/event-stream")
		header.Set("Magnoliaspoke-Weight-Versions", "1")
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	check(err)
	defer conn.Close()
	_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n")
	_ = header.Write(conn)
	_, _ = fmt.Fprint(conn, "\r\n")
	for i := 1; i <= x.pieces; i++ {
		time.Sleep(x.gap)
		text := piece(id, i, x.pieces)
		if x.framing == "events" {
			text = oneEvent(i)
		}
		if _, err := fmt.Fprint(conn, text); err != nil {
			return false
		}
	}
	return true
}
