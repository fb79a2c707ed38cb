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
		refuse(w, http.StatusForbidden, codeNotAuthorized, "authorization of the order is not valid")
		return
	}
	if !body.Deadline.IsZero() && e.set.clock.Now().After(body.Deadline) {
		refuse(w, http.StatusConflict, codeDeadline, "deadline "+body.Deadline.String()+" has passed")
		return
	}
	if !e.raiseFence(body.Fence) {
		refuse(w, http.StatusConflict, codeStaleFence, "a later fencing token was seen")
		return
	}
	if !e.obey(body) {
		refuse(w, http.StatusBadRequest, codeBadRequest, "unknown order kind "+string(body.Kind))
		return
	}
	e.sample()
	answerJSON(w, http.StatusOK, struct{}{})
}

func (e *Engine) authorized(credential string) bool {
	if e.set.authorization == "" {
		return true
	}
	return subtle.ConstantTimeCompare([]byte(credential), []byte(e.set.authorization)) == 1
}

// raiseFence reports whether an order with the token is to be obeyed.
func (e *Engine) raiseFence(token spoke.FencingToken) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.set.ignoreFencing && token < e.fence {
		return false
	}
	e.fence = max(e.fence, token)
	return true
}

func (e *Engine) obey(body orderBody) bool {
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

// swap starts to load a version. The model serves no new run until it is loaded; runs in
// progress keep their version, and runs that wait are refused.
func (e *Engine) swap(name spoke.ModelName, version spoke.ModelVersion) {
	e.mu.Lock()
	if e.versions[name] == version {
		e.mu.Unlock()
		return
	}
	delete(e.versions, name)
	e.swaps[name]++
	order := e.swaps[name]
	e.mu.Unlock()
	e.batch.dismiss(errRecheck)
	done := e.set.clock.Now().Add(e.set.swapTime)
	e.tasks.Go(func() {
		if e.pause(e.base, done) != nil {
			return
		}
		e.mu.Lock()
		if e.swaps[name] == order {
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
	e.batch.dismiss(errRecheck)
	e.sample()
	answerJSON(w, http.StatusOK, struct{}{})
}
