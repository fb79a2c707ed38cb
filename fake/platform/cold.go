package platform

import (
	"net/http"
	"strconv"
	"time"
)

const (
	// HealthPath is the target of health requests.
	HealthPath = "/health"

	headerColdMs = "Magnoliaspoke-Cold-Ms"
	// coldSpan is the span in which the requests to a cold engine are counted.
	coldSpan = time.Second
)

type (
	// Coldness makes an engine cold after each start.
	Coldness struct {
		// For is the time from a start until the engine is warm.
		For time.Duration
		// Most is the number of requests within a second from which one more makes the cold engine crash, zero for none.
		Most int
		// Down is the time from a crash to the next start.
		Down time.Duration
		// OnStart is called after each start and each outage.
		OnStart func(*Engine)
	}

	// ColdPeak is a number of requests within the second up to At, at an engine that was cold since a time.
	ColdPeak struct {
		Requests  int
		Since, At time.Time
	}

	// coldState is what a cold engine has got.
	coldState struct {
		Coldness
		since, until time.Time
		arrivals     []time.Time
		most         ColdPeak
	}
)

// SetCold makes the engine cold after each start from the next one on.
func (e *Engine) SetCold(cold Coldness) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold.Coldness = cold
}

// TurnCold makes the engine cold from now on.
func (e *Engine) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.turnCold()
}

// Outage closes the port and all connections for a time. The engine is cold afterwards, with or without a new start.
func (e *Engine) Outage(down time.Duration, isRestart bool) {
	e.mu.Lock()
	onStart := e.cold.OnStart
	e.mu.Unlock()
	e.crash(Crashing{Down: down, OnStart: onStart, keepsStart: !isRestart})
}

// MostWhileCold returns the second in which the engine got the most requests while it was cold.
func (e *Engine) MostWhileCold() ColdPeak {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cold.most
}

func (e *Engine) turnCold() {
	e.cold.since = time.Now()
	e.cold.until = e.cold.since.Add(e.cold.For)
}

// coldLeft returns the remaining cold time.
func (e *Engine) coldLeft() time.Duration { return max(time.Until(e.cold.until), 0) }

// countCold counts a request and reports whether the engine crashes on it.
func (e *Engine) countCold() bool {
	now := time.Now()
	if !now.Before(e.cold.until) {
		return false
	}
	e.cold.arrivals = append(e.cold.arrivals, now)
	recent := 0
	for _, at := range e.cold.arrivals {
		if now.Sub(at) < coldSpan && !at.Before(e.cold.since) {
			recent++
		}
	}
	if recent > e.cold.most.Requests {
		e.cold.most = ColdPeak{Requests: recent, Since: e.cold.since, At: now}
	}
	return e.cold.Most > 0 && recent > e.cold.Most
}

// crashCold counts a request and ends the engine if it gets too many while it is cold.
func (e *Engine) crashCold() {
	e.mu.Lock()
	mustCrash, cold := e.countCold(), e.cold.Coldness
	e.mu.Unlock()
	if mustCrash {
		e.crash(Crashing{Down: cold.Down, OnStart: cold.OnStart})
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) serveHealth(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(headerExpectInstance) != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.crashCold()
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set(headerColdMs, strconv.FormatInt(e.coldLeft().Milliseconds(), 10))
}
