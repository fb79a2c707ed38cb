package model

import (
	"crypto/subtle"
	"net/http"

	"magnoliaspoke.example/spoke"
)

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var body orderBody
	if !decodeBody(w, r, &body) {
		return
	}
	if !e.authorized(body.Authorization) {
		writeError(w, http.StatusForbidden, codeNotAuthorized, "authorization of the order is not valid")
		return
	}
	if !body.Deadline.IsZero() && e.settings.clock.Now().After(body.Deadline) {
		writeError(w, http.StatusConflict, codeDeadline, "deadline "+body.Deadline.String()+" has passed")
		return
	}
	if !e.acceptToken(body.Fence) {
		writeError(w, http.StatusConflict, codeStaleFence, "a later fencing token was seen")
		return
	}
	if !e.execute(body) {
		writeError(w, http.StatusBadRequest, codeBadRequest, "unknown order kind "+string(body.Kind))
		return
	}
	e.sample()
	writeJSON(w, http.StatusOK, struct{}{})
}

func (e *Engine) authorized(credential string) bool {
	if e.settings.authorization == "" {
		return true
	}
	return subtle.ConstantTimeCompare([]byte(credential), []byte(e.settings.authorization)) == 1
}

// acceptToken reports whether an order with the fencing token may be executed, and stores the highest token.
func (e *Engine) acceptToken(token spoke.FencingToken) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.settings.ignoreFencing && token < e.highestToken {
		return false
	}
	e.highestToken = max(e.highestToken, token)
	return true
}

func (e *Engine) execute(body orderBody) bool {
	switch body.Kind {
	case spoke.OrderLoadVersion:
		e.swap(body.Model, body.Version)
	case spoke.OrderSetRole:
		e.mu.Lock()
		e.role = body.Role
		e.mu.Unlock()
	case spoke.OrderLoadAdapter:
	default:
		return false
	}
	return true
}

// swap starts to load a version. Until it is loaded, the model starts no new runs. Runs in
// progress keep their version; runs that wait for the model are refused.
func (e *Engine) swap(name spoke.ModelName, version spoke.ModelVersion) {
	e.mu.Lock()
	if e.versions[name] == version {
		e.mu.Unlock()
		return
	}
	delete(e.versions, name)
	e.swaps[name]++
	swapNumber := e.swaps[name]
	e.mu.Unlock()
	e.batch.interruptWaiters(errRecheck)
	loadedAt := e.settings.clock.Now().Add(e.settings.swapTime)
	e.tasks.Go(func() {
		if e.sleepUntil(e.lifetime, loadedAt) != nil {
			return
		}
		e.mu.Lock()
		if e.swaps[name] == swapNumber {
			e.versions[name] = version
		}
		e.mu.Unlock()
		e.sample()
	})
}

func (e *Engine) drain(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.batch.interruptWaiters(errRecheck)
	e.sample()
	writeJSON(w, http.StatusOK, struct{}{})
}
