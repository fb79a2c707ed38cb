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
	// errRecheck makes a waiting run check again whether the engine still accepts it.
	errRecheck   = eris.New("loaded version or drain state changed during the wait")
	errCancelled = eris.New("run cancelled by request")
	errClosed    = eris.New("stream closed by fault")
	errReset     = eris.New("stream reset by fault")
	errStopped   = eris.New("engine stopped")
)

type (
	// Engine is a stand-in for one model engine; it serves the engine protocol.
	Engine struct {
		settings settings
		mux      *http.ServeMux
		batch    *prioritySemaphore
		prefill  *prioritySemaphore
		cache    *prefixCache
		lifetime context.Context
		stop     context.CancelCauseFunc
		tasks    sync.WaitGroup

		mu           sync.Mutex
		versions     map[spoke.ModelName]spoke.ModelVersion
		swaps        map[spoke.ModelName]uint64
		role         string
		draining     bool
		highestToken spoke.FencingToken
		slowFault    float64
		crossStreams bool
		runs         map[spoke.AttemptID]*run
		counters     countersBody
		samples      []loadBody
		crashOnce    sync.Once
	}

	// run is one attempt from its arrival to its end; silenced is closed by the silent fault.
	run struct {
		body      completionBody
		blockKeys []spoke.BlockKey
		cancel    context.CancelCauseFunc
		silenced  chan struct{}
		// silenceOnce guards the close of silenced.
		silenceOnce sync.Once
	}
)

// New returns an engine that serves the models given by WithModel.
func New(opts ...Option) *Engine {
	set := newSettings(opts)
	lifetime, stop := context.WithCancelCause(context.Background())
	engine := &Engine{
		settings:  set,
		mux:       http.NewServeMux(),
		batch:     newPrioritySemaphore(set.maxBatch),
		prefill:   newPrioritySemaphore(1),
		cache:     newPrefixCache(set),
		lifetime:  lifetime,
		stop:      stop,
		versions:  set.versions,
		swaps:     make(map[spoke.ModelName]uint64),
		slowFault: 1,
		runs:      make(map[spoke.AttemptID]*run),
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

// ServeHTTP serves the engine protocol; a stopped engine aborts each connection.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.lifetime.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// Close aborts all runs without the final [DONE] event and waits for the engine's background tasks.
func (e *Engine) Close() {
	e.stop(errStopped)
	e.tasks.Wait()
}

// sleepUntil blocks until the given time; if ctx ends first, it returns the cause.
func (e *Engine) sleepUntil(ctx context.Context, until time.Time) error {
	delay := until.Sub(e.settings.clock.Now())
	if delay <= 0 {
		return context.Cause(ctx)
	}
	tick := e.settings.clock.After(delay)
	defer tick.Stop()
	select {
	case <-tick.C():
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
