package model

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

var (
	errBusy         = eris.New("too many runs wait")
	errDraining     = eris.New("engine is draining")
	errWrongVersion = eris.New("engine serves another version")
	// errRecheck ends a wait whose conditions have changed.
	errRecheck   = eris.New("conditions of the wait have changed")
	errCancelled = eris.New("run cancelled by order")
	errClosed    = eris.New("stream closed by fault")
	errReset     = eris.New("stream reset by fault")
	errStopped   = eris.New("engine stopped")
)

type (
	// Engine is the stand-in of one model engine; it serves the engine protocol.
	Engine struct {
		set     settings
		mux     *http.ServeMux
		batch   *gate
		prefill *gate
		cache   *prefixCache
		base    context.Context
		stop    context.CancelCauseFunc
		tasks   sync.WaitGroup

		mu       sync.Mutex
		versions map[spoke.ModelName]spoke.ModelVersion
		swaps    map[spoke.ModelName]uint64
		role     string
		draining bool
		fence    spoke.FencingToken
		slow     float64
		crossed  bool
		runs     map[spoke.AttemptID]*run
		counters countersBody
		samples  []loadBody
		crash    sync.Once
	}

	// run is one attempt from its arrival to its end.
	run struct {
		body   completionBody
		salted []spoke.BlockKey
		end    context.CancelCauseFunc
		silent chan struct{}
		// hush closes silent once.
		hush sync.Once
	}
)

// New returns an engine that serves the models of its options.
func New(opts ...Option) *Engine {
	set := newSettings(opts)
	base, stop := context.WithCancelCause(context.Background())
	engine := &Engine{
		set:      set,
		mux:      http.NewServeMux(),
		batch:    newGate(set.maxBatch),
		prefill:  newGate(1),
		cache:    newPrefixCache(set),
		base:     base,
		stop:     stop,
		versions: set.versions,
		swaps:    make(map[spoke.ModelName]uint64),
		slow:     1,
		runs:     make(map[spoke.AttemptID]*run),
	}
	engine.sample()
	engine.routes()
	return engine
}

func (e *Engine) routes() {
	e.mux.HandleFunc("POST /v1/completions", e.complete)
	e.mux.HandleFunc("POST /cancel", e.cancel)
	e.mux.HandleFunc("GET /load", e.load)
	e.mux.HandleFunc("GET /cache-events", e.cacheEvents)
	e.mux.HandleFunc("GET /cache-snapshot", e.cacheSnapshot)
	e.mux.HandleFunc("POST /cache-import", e.importBlocks)
	e.mux.HandleFunc("POST /cache-export", e.exportBlocks)
	e.mux.HandleFunc("POST /orders", e.order)
	e.mux.HandleFunc("POST /drain", e.drain)
	e.mux.HandleFunc("POST /faults", e.faults)
	e.mux.HandleFunc("GET /counters", e.countersReport)
}

// ServeHTTP serves the engine protocol; a stopped engine ends each connection.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.base.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// Close ends all runs without end mark and waits for the engine's own tasks.
func (e *Engine) Close() {
	e.stop(errStopped)
	e.tasks.Wait()
}

// pause waits until a time or returns the cause of the context's end.
func (e *Engine) pause(ctx context.Context, until time.Time) error {
	delay := until.Sub(e.set.clock.Now())
	if delay <= 0 {
		return context.Cause(ctx)
	}
	tick := e.set.clock.After(delay)
	defer tick.Stop()
	select {
	case <-tick.C():
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
