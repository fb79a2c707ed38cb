package model

import (
	"context"
	"net/http"

	"magnoliaspoke.example/spoke"
)

// maxRunLog is the maximum number of runs that the counters list.
const maxRunLog = 4096

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var body cancelBody
	if !decodeBody(w, r, &body) {
		return
	}
	e.mu.Lock()
	active, ok := e.runs[body.Attempt]
	e.mu.Unlock()
	if ok {
		active.cancel(errCancelled)
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// faults serves POST /faults; silent, close-streams and reset-streams affect only the runs in progress.
func (e *Engine) faults(w http.ResponseWriter, r *http.Request) {
	var body faultsBody
	if !decodeBody(w, r, &body) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if body.SlowFactor != nil {
		e.slowFault = *body.SlowFactor
	}
	if body.CrossStreams != nil {
		e.crossStreams = *body.CrossStreams
	}
	for _, active := range e.runs {
		switch {
		case body.Silent:
			active.silenceOnce.Do(func() { close(active.silenced) })
		case body.CloseStreams:
			active.cancel(errClosed)
		case body.ResetStreams:
			active.cancel(errReset)
		}
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// simulateCrash stops the engine as a crash of its process would.
func (e *Engine) simulateCrash() {
	e.crashOnce.Do(func() {
		e.stop(errStopped)
		if e.settings.onCrash != nil {
			e.settings.onCrash()
		}
	})
}

func (e *Engine) slowFactor() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.slowFault
}

// injectForeignChunk writes a chunk of another attempt to a stream while the cross-streams fault is set.
func (e *Engine) injectForeignChunk(out *stream, offset spoke.TokenCount) {
	e.mu.Lock()
	crossStreams := e.crossStreams
	e.mu.Unlock()
	if crossStreams {
		out.sendForeign(offset)
	}
}

func (e *Engine) count(change func(*countersBody)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.counters)
}

// recordRun adds a run to the counters with its token counts and the cached blocks that it used.
func (e *Engine) recordRun(current *run, found []block, prefillTokens spoke.TokenCount, usage usageBody) {
	entry := runBody{
		Request: current.body.Request,
		Attempt: current.body.Attempt,
		Version: current.body.Version,
		Salt:    current.body.Salt,
	}
	for _, used := range found {
		entry.BlockVersions = append(entry.BlockVersions, used.version)
		entry.BlockSalts = append(entry.BlockSalts, used.salt)
	}
	e.count(func(c *countersBody) {
		c.TokensPrefilled += prefillTokens
		c.TokensCached += usage.Cached
		if len(c.Runs) == maxRunLog {
			c.Runs = c.Runs[1:]
		}
		c.Runs = append(c.Runs, entry)
	})
}

func (e *Engine) countersReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := e.counters
	report.Runs = append([]runBody{}, e.counters.Runs...)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

// Wait blocks until the engine has stopped by Close or by a crash, or returns the error of ctx if that ends first.
func (e *Engine) Wait(ctx context.Context) error {
	select {
	case <-e.lifetime.Done():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
