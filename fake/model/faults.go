package model

import (
	"context"
	"net/http"

	"magnoliaspoke.example/spoke"
)

// maxRunLog bounds the runs that the counters list.
const maxRunLog = 4096

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var body cancelBody
	if !decodeBody(w, r, &body) {
		return
	}
	e.mu.Lock()
	own, ok := e.runs[body.Attempt]
	e.mu.Unlock()
	if ok {
		own.end(errCancelled)
	}
	answerJSON(w, http.StatusOK, struct{}{})
}

// faults sets faults; silent, close-streams and reset-streams hit the runs in progress only.
func (e *Engine) faults(w http.ResponseWriter, r *http.Request) {
	var body faultsBody
	if !decodeBody(w, r, &body) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if body.SlowFactor != nil {
		e.slow = *body.SlowFactor
	}
	if body.CrossStreams != nil {
		e.crossed = *body.CrossStreams
	}
	for _, own := range e.runs {
		switch {
		case body.Silent:
			own.hush.Do(func() { close(own.silent) })
		case body.CloseStreams:
			own.end(errClosed)
		case body.ResetStreams:
			own.end(errReset)
		}
	}
	answerJSON(w, http.StatusOK, struct{}{})
}

// fail ends the engine as the crash of its process would.
func (e *Engine) fail() {
	e.crash.Do(func() {
		e.stop(errStopped)
		if e.set.onCrash != nil {
			e.set.onCrash()
		}
	})
}

func (e *Engine) slowFactor() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.slow
}

// cross mixes a piece of another attempt into a stream while the fault is set.
func (e *Engine) cross(out *stream, offset spoke.TokenCount) {
	e.mu.Lock()
	crossed := e.crossed
	e.mu.Unlock()
	if crossed {
		out.foreign(offset)
	}
}

func (e *Engine) count(change func(*countersBody)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.counters)
}

// note records what a run computed and which cached blocks it used.
func (e *Engine) note(own *run, found []block, work spoke.TokenCount, usage usageBody) {
	entry := runBody{
		Request: own.body.Request,
		Attempt: own.body.Attempt,
		Version: own.body.Version,
		Salt:    own.body.Salt,
	}
	for _, used := range found {
		entry.BlockVersions = append(entry.BlockVersions, used.version)
		entry.BlockSalts = append(entry.BlockSalts, used.salt)
	}
	e.count(func(c *countersBody) {
		c.TokensPrefilled += work
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
	answerJSON(w, http.StatusOK, report)
}

// Wait blocks until the engine has stopped by Close or by a crash, or the context ends.
func (e *Engine) Wait(ctx context.Context) error {
	select {
	case <-e.base.Done():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
