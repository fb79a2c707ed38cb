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

// maxBacklog is the lag after which a run gives up its schedule; a process that was stopped
// for longer than this does not send the missed tokens in one burst.
const maxBacklog = time.Second

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var body completionBody
	if !decodeBody(w, r, &body) {
		return
	}
	ctx, end := context.WithCancelCause(r.Context())
	defer end(nil)
	defer context.AfterFunc(e.base, func() { end(errStopped) })()
	own := &run{body: body, end: end, silent: make(chan struct{})}
	if err := e.admit(ctx, own); err != nil {
		refuseRun(w, err)
		return
	}
	err := e.serve(ctx, w, own)
	e.leave(own)
	e.finish(r.Context(), own, err)
}

// admit waits for a place in the batch and checks the version before and after the wait.
func (e *Engine) admit(ctx context.Context, own *run) error {
	for waits := true; waits; {
		if err := e.check(own, false); err != nil {
			return err
		}
		err := e.batch.enter(ctx, own.body.Priority, e.set.maxWaiting)
		waits = errors.Is(err, errRecheck)
		if err != nil && !waits {
			return err
		}
	}
	if err := e.check(own, true); err != nil {
		e.batch.leave()
		return err
	}
	e.sample()
	return nil
}

// check returns why a run cannot start, and registers it if it can and is to start now.
func (e *Engine) check(own *run, start bool) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	loaded, ok := e.versions[own.body.Model]
	if !ok || (own.body.Version != "" && own.body.Version != loaded) {
		return eris.Wrapf(errWrongVersion, "model %q has %q, not %q", own.body.Model, loaded, own.body.Version)
	}
	if e.draining {
		return errDraining
	}
	if _, ok := e.runs[own.body.Attempt]; ok {
		return eris.Wrapf(errBusy, "attempt %q is running", own.body.Attempt)
	}
	if !start {
		return nil
	}
	own.body.Version = loaded
	own.salted = cache.Chain(cache.Salt(own.body.Salt), own.body.Model, loaded, own.body.Prompt)
	e.runs[own.body.Attempt] = own
	e.counters.RunsStarted++
	return nil
}

func (e *Engine) leave(own *run) {
	e.batch.leave()
	e.mu.Lock()
	delete(e.runs, own.body.Attempt)
	e.mu.Unlock()
	e.sample()
}

// finish decides how the connection of a run ends.
func (e *Engine) finish(client context.Context, own *run, err error) {
	select {
	case <-own.silent:
		// A silent connection stays open until the client gives it up.
		select {
		case <-client.Done():
		case <-e.base.Done():
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

// serve computes the prompt and streams the answer.
func (e *Engine) serve(ctx context.Context, w http.ResponseWriter, own *run) error {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	out := newStream(w, own)
	out.flush()
	if e.set.crashMarker != "" && strings.Contains(own.body.Prompt, e.set.crashMarker) {
		e.fail()
		return errStopped
	}
	usage, err := e.compute(ctx, own)
	if err != nil {
		return err
	}
	return e.decode(ctx, out, own, usage)
}

// compute spends the time of the uncached part of the prompt and stores its blocks.
func (e *Engine) compute(ctx context.Context, own *run) (usageBody, error) {
	usage := usageBody{Prompt: spoke.EstimateTokens(own.body.Prompt)}
	if err := e.prefill.enter(ctx, own.body.Priority, e.set.maxBatch); err != nil {
		return usage, err
	}
	defer e.prefill.leave()
	found := e.cache.lookup(own.salted)
	usage.Cached = spoke.TokenCount(len(found)) * spoke.PieceTokens
	work := usage.Prompt + own.body.ResumeFrom - usage.Cached
	if err := e.pause(ctx, e.set.clock.Now().Add(e.prefillTime(work))); err != nil {
		return usage, err
	}
	e.cache.add(own.salted, block{model: own.body.Model, version: own.body.Version, salt: own.body.Salt})
	e.note(own, found, work, usage)
	return usage, nil
}

func (e *Engine) prefillTime(work spoke.TokenCount) time.Duration {
	if e.set.prefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(work) / float64(e.set.prefillRate) * e.slowFactor() * float64(time.Second))
}

// tokenTime is the time between two tokens of a run at the present size of the batch.
func (e *Engine) tokenTime() time.Duration {
	if e.set.decodeRate <= 0 {
		return 0
	}
	running, _ := e.batch.counts()
	factor := (1 + e.set.slowdown*float64(max(0, running-1))) * e.slowFactor()
	return time.Duration(factor / float64(e.set.decodeRate) * float64(time.Second))
}

func (e *Engine) decode(ctx context.Context, out *stream, own *run, usage usageBody) error {
	source := newAnswer(own.body.Prompt, own.body.Version)
	total := Length(own.body.Prompt, own.body.MaxTokens)
	usage.Completion = max(0, total-own.body.ResumeFrom)
	due := e.set.clock.Now()
	for i := own.body.ResumeFrom; i < total; i++ {
		due = due.Add(e.tokenTime())
		if now := e.set.clock.Now(); now.Sub(due) > maxBacklog {
			due = now
		}
		if err := e.pause(ctx, due); err != nil {
			return err
		}
		e.cross(out, i)
		if i < total-1 {
			out.piece(i, source.token(i))
			continue
		}
		out.last(i, source.token(i), finishOf(own.body), usage)
	}
	if own.body.ResumeFrom >= total {
		out.last(own.body.ResumeFrom, "", finishOf(own.body), usage)
	}
	e.count(func(c *countersBody) { c.TokensDecoded += usage.Completion })
	out.done()
	return nil
}

func finishOf(body completionBody) spoke.FinishReason {
	if body.MaxTokens > 0 {
		return spoke.FinishLength
	}
	return spoke.FinishStop
}

func refuseRun(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errWrongVersion):
		refuse(w, http.StatusConflict, codeWrongVersion, err.Error())
	case errors.Is(err, errDraining):
		refuse(w, http.StatusConflict, codeDraining, err.Error())
	case errors.Is(err, errBusy):
		refuse(w, http.StatusConflict, codeBusy, err.Error())
	default:
		panic(http.ErrAbortHandler)
	}
}
