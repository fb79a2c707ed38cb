package platform

import (
	"bufio"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// firstStartMs is the time of an engine's first start, in milliseconds since 1970.
	firstStartMs int64 = 1700000000000
	// defaultSlots is the number of slots of an engine.
	defaultSlots = 8
	// trickleInterval is the time between two bytes of a stalled stream.
	trickleInterval = 100 * time.Millisecond

	// Serve sends a complete response.
	Serve Behaviour = "serve"
	// Shed states that the request was not run.
	Shed Behaviour = "shed"
	// Fail responds with a 500 from the engine itself.
	Fail Behaviour = "fail"
	// Busy responds with 503 without stating that the request was not run.
	Busy Behaviour = "busy"
	// ResetAtOnce closes the connection without a response.
	ResetAtOnce Behaviour = "reset-at-once"
	// ResetMidway closes the connection within an event of a new stream; resumed streams are served.
	ResetMidway Behaviour = "reset-midway"
	// FailResumed closes the connection within an event of a new stream and responds to resumed ones as Fail.
	FailResumed Behaviour = "fail-resumed"
	// RawResumed closes the connection within an event of a new stream and responds to resumed ones with the bytes
	// that were set with SetResumedAnswer.
	RawResumed Behaviour = "raw-resumed"
	// Hang accepts the request and sends no response.
	Hang Behaviour = "hang"
	// OtherFirst sends the response to another request before the correct one.
	OtherFirst Behaviour = "other-first"
	// ShedCopyFirst first sends a 503 that states that another request was not run, then the correct response.
	ShedCopyFirst Behaviour = "shed-copy-first"
	// AnonymousShedFirst first sends a 503 without a request id that states that a request was not run, then the
	// correct response.
	AnonymousShedFirst Behaviour = "anonymous-shed-first"
	// Trickle sends the beginning of an event and then one byte per interval.
	Trickle Behaviour = "trickle"
	// OwnAnswer is the body of the correct response, which OtherFirst and ShedCopyFirst send second.
	OwnAnswer = "own answer"

	// Unframed sends the response that was set with SetUnframedAnswer.
	Unframed Behaviour = "unframed"
	// Unproved responds without the server stamp that proves the origin of a response.
	Unproved Behaviour = "unproved"
)

type (
	// Behaviour is the way in which an engine responds to requests.
	Behaviour string

	// Engine is a stand-in for an engine or a plain upstream.
	Engine struct {
		ID      string
		address string
		handler http.Handler
		// Zone is the data centre in the entries of PutEngine, a if it is empty. It must not change after the first one.
		Zone string

		mu        sync.Mutex
		server    *httptest.Server
		behaviour Behaviour
		runs      []Run
		cancelled int
		version   int
		// software is the version of the engine's software.
		software string
		orders   int
		// highestFence is the highest fencing token of an accepted order.
		highestFence int
		// entries counts the entries that the engine has written since its start.
		entries       int
		restarts      int64
		startedAt     time.Time
		events        int
		eventInterval time.Duration
		answerDelay   time.Duration
		isLeaving     bool
		// limits are the Server-Limit headers of each response.
		limits   []string
		arrivals []Arrival
		// retryAfter is the Retry-After header of each shed request, if it is set.
		retryAfter string
		// shedCount is the number of requests that were shed.
		shedCount           int
		longestEndlessWrite time.Duration
		unframed            UnframedAnswer
		reports             reportTrouble
		held                *hold
		queue               *Queue
		// queued is the number of requests that have entered a queue.
		queued int
		// stalls are the next stalls, in their order.
		stalls []Stall
		// resumed is the response to resumed streams.
		resumed  string
		crashing Crashing
		// troubles gives the answers if the behaviour is Troubled.
		troubles *troubles
		crashes  []time.Time
		// slots is the number of slots in the engine's entries.
		slots     int
		occupancy occupancy
		cold      coldState
		// isDown is set from a crash to the next start.
		isDown   bool
		isClosed bool
	}
)

// NewEngine starts an engine on loopback; each of its streams has the given number of events.
func NewEngine(id string, events int) *Engine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return NewEngineAt(listener, id, events)
}

// NewEngineAt starts an engine that accepts connections from the listener.
func NewEngineAt(listener net.Listener, id string, events int) *Engine {
	e := &Engine{ID: id, behaviour: Serve, version: 1, software: "v1", slots: defaultSlots, events: events, address: listener.Addr().String(), startedAt: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.serveReport)
	mux.HandleFunc("POST /order", e.serveOrder)
	mux.HandleFunc("GET "+HealthPath, e.serveHealth)
	mux.HandleFunc("/", e.serveRun)
	e.server, e.handler = newServer(listener, mux), mux
	return e
}

// WholeAnswer returns the body of an engine's responses that are not streams.
func WholeAnswer(engine string) string { return "whole answer of " + engine }

// Address returns the engine's IP number and port.
func (e *Engine) Address() string { return e.address }

// Close stops the engine.
func (e *Engine) Close() {
	e.mu.Lock()
	server := e.server
	e.isClosed = true
	e.mu.Unlock()
	server.CloseClientConnections()
	server.Close()
}

// SetBehaviour sets how the engine responds to the following requests.
func (e *Engine) SetBehaviour(behaviour Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behaviour = behaviour
}

// SetEventInterval sets the time between two events of a stream.
func (e *Engine) SetEventInterval(interval time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.eventInterval = interval
}

// SetLeaving makes the engine state in its responses that it is leaving.
func (e *Engine) SetLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isLeaving = true
}

// SetLimit sets the Server-Limit headers of all responses; without values the engine names no limit.
func (e *Engine) SetLimit(values ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limits = values
}

// Arrivals returns the requests that arrived, whatever the response.
func (e *Engine) Arrivals() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.arrivals)
}

// SetRetryAfter sets the Retry-After header that the engine sends when it sheds a request.
func (e *Engine) SetRetryAfter(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retryAfter = text
}

// ShedCount returns the number of requests that the engine shed.
func (e *Engine) ShedCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.shedCount
}

// Runs returns the requests that the engine started to run.
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

// SetVersion sets the version of the loaded weights.
func (e *Engine) SetVersion(version int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version = version
}

// SetSoftware sets the version of the engine's software, which its next entry names.
func (e *Engine) SetSoftware(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.software = version
}

// Software returns the version of the engine's software.
func (e *Engine) Software() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.software
}

// Restart simulates a restart of the engine with the same ID and the given version of the weights.
func (e *Engine) Restart(version int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version, e.orders, e.entries, e.highestFence = version, 0, 0, 0
	e.restarts++
	e.startedAt = time.Now()
	e.turnCold()
}

// Version returns the version of the loaded weights and the number of accepted orders.
func (e *Engine) Version() (version, orders int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version, e.orders
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order orderBody
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Fence < e.highestFence {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	if order.Expected != e.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.highestFence = order.Fence
	e.orders++
	e.version = order.Version
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) serveRun(w http.ResponseWriter, r *http.Request) {
	body := readBody(r)
	if !e.awaitBegin(r) {
		return
	}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, Arrival{ID: r.Header.Get(headerRequestID), At: time.Now(), PrefixHashes: r.Header.Get(headerPrefixHash)})
	e.mu.Unlock()
	leave, isIn := e.enter(w, r)
	if !isIn {
		return
	}
	defer leave()
	e.mu.Lock()
	w.Header()["Server-Limit"] = e.limits
	behaviour, version := e.behaviour, e.version
	expected := r.Header.Get(headerExpectVersion)
	isMisdirected := r.Header.Get(headerExpectInstance) != e.ID || (expected != "" && expected != strconv.Itoa(version))
	if !isMisdirected && behaviour != Shed {
		e.runs = append(e.runs, Run{
			ID: r.Header.Get(headerRequestID), Method: r.Method, Target: r.RequestURI, Host: r.Host,
			Header: r.Header.Clone(), Body: body,
		})
	}
	if behaviour == Shed {
		e.shedCount++
		if e.retryAfter != "" {
			w.Header().Set("Retry-After", e.retryAfter)
		}
	}
	if e.isLeaving {
		w.Header().Set("Server-Leaving", "1")
	}
	e.mu.Unlock()
	if !isMisdirected {
		e.crashCold()
	}
	switch {
	case isMisdirected:
		w.Header().Set("Magnoliaspoke-Instance-Id", e.ID)
		w.Header().Set(headerWeightVersions, strconv.Itoa(version))
		w.WriteHeader(http.StatusMisdirectedRequest)
	case behaviour == Shed:
		w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case behaviour == Echo, behaviour == EchoReset:
		e.awaitRelease(r, 0)
		echo(w, []byte(body), behaviour == EchoReset)
	default:
		e.respond(w, r, behaviour)
	}
}

func (e *Engine) respond(w http.ResponseWriter, r *http.Request, behaviour Behaviour) {
	if e.writeEndless(w, r, behaviour) {
		return
	}
	header := w.Header()
	header.Set(headerRequestID, r.Header.Get(headerRequestID))
	header.Set(headerInstanceLoad, "1,0,8")
	header.Set(headerWeightVersions, strconv.Itoa(e.version))
	if behaviour != Unproved {
		header.Set(headerServerStamp, stampPrefix+e.ID)
	}
	e.crashOn(w, r)
	e.awaitRelease(r, 0)
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
		e.respondTwice(w, r, func(buffer *bufio.ReadWriter) {
			writeRawResponse(buffer, "other", stampPrefix+e.ID, "answer of another request")
		})
	case ShedCopyFirst:
		e.respondTwice(w, r, func(buffer *bufio.ReadWriter) {
			_, _ = buffer.WriteString("HTTP/1.1 503 Service Unavailable\r\n" + headerRequestID + ": other\r\n" + headerNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n")
		})
	case AnonymousShedFirst:
		e.respondTwice(w, r, func(buffer *bufio.ReadWriter) {
			_, _ = buffer.WriteString("HTTP/1.1 503 Service Unavailable\r\n" + headerNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n")
		})
	case Trickle:
		e.trickle(w, r)
	case Unframed:
		e.writeUnframed(w, r)
	case Framed:
		e.writeFramed(w, r)
	case Troubled:
		e.troubles.serve(w, r)
	default:
		if r.Header.Get(headerModel) == "" {
			e.writeDelayed(w, r)
			return
		}
		e.stream(w, r, behaviour)
	}
}

// wait blocks for the duration and reports whether the caller stayed connected; if not, it counts a
// cancelled run.
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
