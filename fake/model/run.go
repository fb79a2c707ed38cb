package model

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cache"
)

// maxBacklog is the lag beyond which a run reschedules its next token to the current time.
// Without it, a process that was suspended would send all missed tokens in one burst.
const maxBacklog = time.Second

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var body completionBody
	if !decodeBody(w, r, &body) {
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	defer context.AfterFunc(e.lifetime, func() { cancel(errStopped) })()
	current := &run{body: body, cancel: cancel, silenced: make(chan struct{})}
	if err := e.admit(ctx, current); err != nil {
		writeRunError(w, body.Attempt, err)
		return
	}
	err := e.serve(ctx, w, current)
	e.unregister(current)
	e.finish(r.Context(), current, err)
}

// admit waits for a slot in the batch and checks version and drain state before and after the wait.
func (e *Engine) admit(ctx context.Context, current *run) error {
	for recheck := true; recheck; {
		if err := e.check(current, false); err != nil {
			return err
		}
		err := e.batch.acquire(ctx, current.body.Priority, e.settings.maxWaiting)
		recheck = errors.Is(err, errRecheck)
		if err != nil && !recheck {
			return err
		}
	}
	if err := e.check(current, true); err != nil {
		e.batch.release()
		return err
	}
	e.sample()
	return nil
}

// check returns an error if the run cannot start; otherwise, if register is set, it registers the run.
func (e *Engine) check(current *run, register bool) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	loaded, ok := e.versions[current.body.Model]
	if !ok || (current.body.Version != "" && current.body.Version != loaded) {
		return eris.Wrapf(errWrongVersion, "model %q has %q, not %q", current.body.Model, loaded, current.body.Version)
	}
	if e.draining {
		return errDraining
	}
	if _, ok := e.runs[current.body.Attempt]; ok {
		return eris.Wrapf(errBusy, "attempt %q is running", current.body.Attempt)
	}
	if !register {
		return nil
	}
	current.body.Version = loaded
	current.blockKeys = cache.Chain(cache.Salt(current.body.Salt), current.body.Model, loaded, current.body.Prompt)
	e.runs[current.body.Attempt] = current
	e.counters.RunsStarted++
	return nil
}

func (e *Engine) unregister(current *run) {
	e.batch.release()
	e.mu.Lock()
	delete(e.runs, current.body.Attempt)
	e.mu.Unlock()
	e.sample()
}

// finish counts a completed run, or aborts the connection if the run was reset, stopped or silenced.
func (e *Engine) finish(client context.Context, current *run, err error) {
	select {
	case <-current.silenced:
		// A silenced connection stays open until the client closes it.
		select {
		case <-client.Done():
		case <-e.lifetime.Done():
		}
		panic(http.ErrAbortHandler)
	default:
	}
	switch {
	case err == nil:
		e.count(func(c *countersBody) { c.RunsFinished++ })
	case errors.Is(err, errReset), errors.Is(err, errStopped):
		panic(http.ErrAbortHandler)
	}
}

// serve prefills the prompt and streams the response.
func (e *Engine) serve(ctx context.Context, w http.ResponseWriter, current *run) error {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	out := newStream(w, current)
	out.flush()
	if e.settings.crashMarker != "" && strings.Contains(current.body.Prompt, e.settings.crashMarker) {
		e.simulateCrash()
		return errStopped
	}
	usage, err := e.prefillPrompt(ctx, current)
	if err != nil {
		return err
	}
	return e.decode(ctx, out, current, usage)
}

// prefillPrompt waits for the prefill time of the uncached tokens and adds the prompt's blocks to the cache.
func (e *Engine) prefillPrompt(ctx context.Context, current *run) (usageBody, error) {
	usage := usageBody{Prompt: spoke.EstimateTokens(current.body.Prompt)}
	if err := e.prefill.acquire(ctx, current.body.Priority, e.settings.maxBatch); err != nil {
		return usage, err
	}
	defer e.prefill.release()
	found := e.cache.lookup(current.blockKeys)
	usage.Cached = spoke.TokenCount(len(found)) * spoke.PieceTokens
	prefillTokens := usage.Prompt + current.body.ResumeFrom - usage.Cached
	if err := e.sleepUntil(ctx, e.settings.clock.Now().Add(e.prefillTime(prefillTokens))); err != nil {
		return usage, err
	}
	e.cache.add(current.blockKeys, block{model: current.body.Model, version: current.body.Version, salt: current.body.Salt})
	e.recordRun(current, found, prefillTokens, usage)
	return usage, nil
}

func (e *Engine) prefillTime(prefillTokens spoke.TokenCount) time.Duration {
	if e.settings.prefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(prefillTokens) / float64(e.settings.prefillRate) * e.slowFactor() * float64(time.Second))
}

// tokenTime returns the time between two tokens of a run at the current batch size.
func (e *Engine) tokenTime() time.Duration {
	if e.settings.decodeRate <= 0 {
		return 0
	}
	running, _ := e.batch.counts()
	factor := (1 + e.settings.slowdown*float64(max(0, running-1))) * e.slowFactor()
	return time.Duration(factor / float64(e.settings.decodeRate) * float64(time.Second))
}

func (e *Engine) decode(ctx context.Context, out *stream, current *run, usage usageBody) error {
	source := newTokenSource(current.body.Prompt, current.body.Version)
	total := Length(current.body.Prompt, current.body.MaxTokens)
	usage.Completion = max(0, total-current.body.ResumeFrom)
	due := e.settings.clock.Now()
	for i := current.body.ResumeFrom; i < total; i++ {
		due = due.Add(e.tokenTime())
		if now := e.settings.clock.Now(); now.Sub(due) > maxBacklog {
			due = now
		}
		if err := e.sleepUntil(ctx, due); err != nil {
			return err
		}
		e.injectForeignChunk(out, i)
		if i < total-1 {
			out.sendText(i, source.token(i))
			continue
		}
		out.sendFinal(i, source.token(i), finishOf(current.body), usage)
	}
	if current.body.ResumeFrom >= total {
		out.sendFinal(current.body.ResumeFrom, "", finishOf(current.body), usage)
	}
	e.count(func(c *countersBody) { c.TokensDecoded += usage.Completion })
	out.sendDone()
	return nil
}

func finishOf(body completionBody) spoke.FinishReason {
	if body.MaxTokens > 0 {
		return spoke.FinishLength
	}
	return spoke.FinishStop
}

func writeRunError(w http.ResponseWriter, attempt spoke.AttemptID, err error) {
	code := codeBusy
	switch {
	case errors.Is(err, errWrongVersion):
		code = codeWrongVersion
	case errors.Is(err, errDraining):
		code = codeDraining
	case errors.Is(err, errBusy):
	default:
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusConflict, errorBody{Error: errorDetail{Code: code, Message: err.Error(), Attempt: attempt}})
}
