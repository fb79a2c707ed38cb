package platform

import (
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"time"
)

// reopenInterval is the time between two attempts to open the port of an engine again.
const reopenInterval = 10 * time.Millisecond

// Crashing is the way in which an engine crashes on requests whose prompt has a certain part.
type Crashing struct {
	// Part is the ID of the part. It has no effect as the last part of a prompt.
	Part string
	// After is the time from the arrival of the request to the crash, Down the time from the crash to the
	// next start.
	After, Down time.Duration
	// HeadFirst makes the engine send the head of its response before it crashes.
	HeadFirst bool
	// OnStart is called after each start.
	OnStart func(*Engine)
	// keepsStart says that the engine returns with its start time.
	keepsStart bool
}

// SetCrashing makes the engine crash when it begins to respond to a request with the part: it closes its
// port and all connections before the first event. It returns with a new start time.
func (e *Engine) SetCrashing(crashing Crashing) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashing = crashing
}

// Crashes returns the times of the engine's crashes.
func (e *Engine) Crashes() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.crashes)
}

// HasPart reports whether a prompt has a part at any place but the last; prefixHashes is the header that
// lists its parts.
func HasPart(prefixHashes, part string) bool {
	entries := strings.Split(prefixHashes, ",")
	return slices.ContainsFunc(entries[:len(entries)-1], func(entry string) bool {
		id, _, _ := strings.Cut(entry, ":")
		return id == part
	})
}

// crashOn ends the engine if the request has the part on which it crashes; it does not return then.
func (e *Engine) crashOn(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	crashing := e.crashing
	e.mu.Unlock()
	if crashing.Part == "" || !HasPart(r.Header.Get(headerPrefixHash), crashing.Part) || !e.wait(r, crashing.After) {
		return
	}
	if crashing.HeadFirst {
		_ = http.NewResponseController(w).Flush()
	}
	e.crash(crashing)
	panic(http.ErrAbortHandler)
}

// crash closes the port and all connections and starts the engine again later.
func (e *Engine) crash(crashing Crashing) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDown {
		return
	}
	e.isDown, e.crashes = true, append(e.crashes, time.Now())
	crashed := e.server
	_ = crashed.Listener.Close()
	// Close waits for the handlers, of which the caller of this function is one.
	go func() {
		crashed.CloseClientConnections()
		crashed.Close()
	}()
	time.AfterFunc(crashing.Down, func() { e.startAgain(crashing) })
}

// startAgain opens the port of a crashed engine, or tries again later if it is not free.
func (e *Engine) startAgain(crashing Crashing) {
	e.mu.Lock()
	if e.isClosed {
		e.mu.Unlock()
		return
	}
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		time.AfterFunc(reopenInterval, func() { e.startAgain(crashing) })
		e.mu.Unlock()
		return
	}
	e.server = newServer(listener, e.handler)
	e.isDown = false
	if !crashing.keepsStart {
		e.restarts++
		e.startedAt = time.Now()
	}
	e.turnCold()
	e.mu.Unlock()
	if crashing.OnStart != nil {
		crashing.OnStart(e)
	}
}

// newServer starts a server on a listener.
func newServer(listener net.Listener, handler http.Handler) *httptest.Server {
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: handler}}
	server.Start()
	return server
}
