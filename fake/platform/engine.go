package platform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"
)

const (
	// firstBorn is when the engines started first, in milliseconds since 1970.
	firstBorn int64 = 1700000000000
	// tricklePause is the time between two bytes of a stalled stream.
	tricklePause = 100 * time.Millisecond

	// Serve answers in full.
	Serve Behaviour = "serve"
	// Shed states that the request was not run.
	Shed Behaviour = "shed"
	// Fail answers with the engine's own 500.
	Fail Behaviour = "fail"
	// Busy answers 503 without stating that the request was not run.
	Busy Behaviour = "busy"
	// ResetAtOnce closes the connection without an answer.
	ResetAtOnce Behaviour = "reset-at-once"
	// ResetMidway closes the connection inside an event of a new stream; one that goes on is served.
	ResetMidway Behaviour = "reset-midway"
	// Hang accepts the request and says nothing.
	Hang Behaviour = "hang"
	// OtherFirst sends the answer of another request before the own one.
	OtherFirst Behaviour = "other-first"
	// ShedCopyFirst sends a copy of the statement that another request was not run before the own answer.
	ShedCopyFirst Behaviour = "shed-copy-first"
	// Trickle sends the beginning of an event and then a byte now and then.
	Trickle Behaviour = "trickle"
	// OwnAnswer is the body of the own answer after that of another request.
	OwnAnswer = "own answer"

	// Unproved answers without the header that proves the answer's origin.
	Unproved Behaviour = "unproved"
)

type (
	// Behaviour says how an engine answers.
	Behaviour string

	// Run is a request that an engine began to work on.
	Run struct {
		ID     string
		Method string
		Target string
		Host   string
		Header http.Header
		Body   string
	}

	// Engine is an engine or a plain upstream.
	Engine struct {
		ID     string
		server *httptest.Server

		mu        sync.Mutex
		behaviour Behaviour
		runs      []Run
		cancelled int
		version   int
		orders    int
		restarts  int64
		events    int
		pause     time.Duration
		isLeaving bool
		// askedPause goes with each 503, if it is set.
		askedPause string
		// shed counts the requests that were turned away.
		shed        int
		longestPour time.Duration
	}
)

// NewEngine starts an engine on loopback that answers streams with a number of events.
func NewEngine(id string, events int) *Engine {
	e := &Engine{ID: id, behaviour: Serve, version: 1, events: events}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.serveReport)
	mux.HandleFunc("POST /order", e.serveOrder)
	mux.HandleFunc("/", e.serveRun)
	e.server = httptest.NewServer(mux)
	return e
}

// WholeAnswer returns the body of an engine's answers that are no streams.
func WholeAnswer(engine string) string { return "whole answer of " + engine }

// Address returns the engine's IP number and port.
func (e *Engine) Address() string { return e.server.Listener.Addr().String() }

// Close stops the engine.
func (e *Engine) Close() {
	e.server.CloseClientConnections()
	e.server.Close()
}

// Behave sets how the engine answers from now on.
func (e *Engine) SetBehaviour(behaviour Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behaviour = behaviour
}

// Pause sets the time between two events.
func (e *Engine) SetEventInterval(pause time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pause = pause
}

// Leave lets the engine say in its answers that it leaves.
func (e *Engine) SetLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isLeaving = true
}

// AskForPause sets the pause that the engine asks for when it turns requests away.
func (e *Engine) SetRetryAfter(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.askedPause = text
}

// Shed returns the number of requests that the engine turned away.
func (e *Engine) ShedCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.shed
}

// Runs returns the requests that the engine began to work on.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// Cancelled returns the number of runs whose caller closed its connection.
func (e *Engine) Cancelled() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancelled
}

// Load sets the weights with which the engine starts.
func (e *Engine) SetVersion(version int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version = version
}

// Restart lets the engine begin anew under its id with given weights.
func (e *Engine) Restart(version int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version, e.orders = version, 0
	e.restarts++
}

// Version returns the loaded weights and the number of accepted orders.
func (e *Engine) Version() (version, orders int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version, e.orders
}

// Entry returns what the engine writes to the store about itself.
func (e *Engine) Entry(service, zone, state string) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{
		"service": service, "address": e.Address(), "zone": zone, "version": "v1", "slots": 8, "state": state,
		"cold-left-ms": 0, "sequence": e.orders, "born": firstBorn + e.restarts,
		"models": []map[string]any{{"name": ModelName, "version": e.version, "adapters": []string{}}},
	}
}

func (e *Engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{
		"stage": "both", "busy": false, "sequence": e.orders, "waiting": 0, "running": 0, "clock_ms": time.Now().UnixMilli(),
		"models": []map[string]any{{"name": ModelName, "version": e.version}},
	})
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order orderRow
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.After != e.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.orders++
	e.version = order.Version
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) serveRun(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	behaviour, version := e.behaviour, e.version
	expected := r.Header.Get(headExpect)
	isElsewhere := r.Header.Get(headInstance) != e.ID || (expected != "" && expected != strconv.Itoa(version))
	if !isElsewhere && behaviour != Shed {
		e.runs = append(e.runs, Run{
			ID: r.Header.Get(headRequest), Method: r.Method, Target: r.RequestURI, Host: r.Host,
			Header: r.Header.Clone(), Body: string(body),
		})
	}
	if behaviour == Shed {
		e.shed++
		if e.askedPause != "" {
			w.Header().Set("Retry-After", e.askedPause)
		}
	}
	if e.isLeaving {
		w.Header().Set("Server-Leaving", "1")
	}
	e.mu.Unlock()
	switch {
	case isElsewhere:
		w.Header().Set("Magnoliaspoke-Instance-Id", e.ID)
		w.Header().Set(headWeights, strconv.Itoa(version))
		w.WriteHeader(http.StatusMisdirectedRequest)
	case behaviour == Shed:
		w.Header().Set(headNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		e.answer(w, r, behaviour)
	}
}

func (e *Engine) answer(w http.ResponseWriter, r *http.Request, behaviour Behaviour) {
	if e.pour(w, r, behaviour) {
		return
	}
	header := w.Header()
	header.Set(headRequest, r.Header.Get(headRequest))
	header.Set(headLoad, "1,0,8")
	header.Set(headWeights, strconv.Itoa(e.version))
	if behaviour != Unproved {
		header.Set(headOrigin, originPrefix+e.ID)
	}
	switch behaviour {
	case Fail:
		http.Error(w, "engine failed", http.StatusInternalServerError)
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case ResetAtOnce:
		panic(http.ErrAbortHandler)
	case Hang:
		e.wait(r, time.Minute)
	case OtherFirst:
		e.answerTwice(w, r, func(buffer *bufio.ReadWriter) {
			writeAnswer(buffer, "other", originPrefix+e.ID, "answer of another request")
		})
	case ShedCopyFirst:
		e.answerTwice(w, r, func(buffer *bufio.ReadWriter) {
			_, _ = buffer.WriteString("HTTP/1.1 503 Service Unavailable\r\n" + headRequest + ": other\r\n" + headNotRun + ": 1\r\nContent-Length: 0\r\n\r\n")
		})
	case Trickle:
		e.trickle(w, r)
	default:
		if r.Header.Get(headModel) == "" {
			_, _ = io.WriteString(w, WholeAnswer(e.ID))
			return
		}
		e.stream(w, r, behaviour)
	}
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, behaviour Behaviour) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = after + 1
	}
	for id := first; id <= e.events; id++ {
		if behaviour == ResetMidway && first == 1 && id == 2 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: tor", id)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", id, id)
		_ = http.NewResponseController(w).Flush()
		if !e.wait(r, e.pause) {
			return
		}
	}
}

// wait reports whether the caller stayed for the time.
func (e *Engine) wait(r *http.Request, pause time.Duration) bool {
	select {
	case <-time.After(pause):
		return true
	case <-r.Context().Done():
		e.mu.Lock()
		e.cancelled++
		e.mu.Unlock()
		return false
	}
}

// trickle writes a byte of an event now and then until the caller closes.
func (e *Engine) trickle(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, err := io.WriteString(w, "id: 1\ndata: ")
	for err == nil && e.wait(r, tricklePause) {
		_, err = io.WriteString(w, "x")
		_ = http.NewResponseController(w).Flush()
	}
}

// answerTwice writes the answer of another request and then the own one on the same connection.
func (e *Engine) answerTwice(w http.ResponseWriter, r *http.Request, writeOther func(*bufio.ReadWriter)) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	writeOther(buffer)
	writeAnswer(buffer, r.Header.Get(headRequest), originPrefix+e.ID, OwnAnswer)
}

func writeAnswer(buffer *bufio.ReadWriter, id, stamp, body string) {
	_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nMagnoliaspoke-Request-Id: %s\r\nMagnoliaspoke-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", id, stamp, len(body), body)
	_ = buffer.Flush()
}
