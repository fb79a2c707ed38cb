package steps

import (
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// Stride is the number of tokens of an event.
	Stride = 8
	// PrefillRate is the number of prompt tokens that are prefilled in a millisecond.
	PrefillRate = 56.6
	// chunk is the largest number of prompt tokens that one step prefills.
	chunk = 2048
	// idleStep and batchStep are the times of a step, in milliseconds: without calls, and in addition with all slots in
	// use.
	idleStep, batchStep = 4.0, 6.0
	// keptSessions is the number of shared prompt parts that an engine keeps, those used last.
	keptSessions = 5
)

type (
	// Prompt is the prompt of a call: a part shared by the calls of its session and one of its own.
	Prompt struct {
		Session     spoke.PartID
		Shared, Own spoke.TokenCount
	}

	// Engine runs calls in steps on a timeline.
	Engine struct {
		timeline   *Timeline
		slots      int
		generated  func(spoke.CallNumber, int)
		isStepping bool
		prefilling []pendingPrefill
		batch      []spoke.CallNumber
		sessions   []spoke.PartID
	}

	pendingPrefill struct {
		call spoke.CallNumber
		left spoke.TokenCount
	}
)

// NewEngine returns an engine whose steps take longest with a number of calls. It calls generated with the number of
// tokens that a call has got at the end of a step; the first event comes with the step that ends the prefill.
func NewEngine(timeline *Timeline, slots int, generated func(spoke.CallNumber, int)) *Engine {
	return &Engine{timeline: timeline, slots: max(slots, 1), generated: generated}
}

// Add adds a call behind the prompts that are to be prefilled.
func (e *Engine) Add(call spoke.CallNumber, prompt Prompt) {
	left := prompt.Shared + prompt.Own
	if at := slices.Index(e.sessions, prompt.Session); at >= 0 {
		left = prompt.Own
		e.sessions = slices.Delete(e.sessions, at, at+1)
	}
	e.sessions = append(e.sessions, prompt.Session)
	e.sessions = e.sessions[max(len(e.sessions)-keptSessions, 0):]
	e.prefilling = append(e.prefilling, pendingPrefill{call, left})
	if !e.isStepping {
		e.step()
	}
}

// Drop removes a call.
func (e *Engine) Drop(call spoke.CallNumber) {
	e.prefilling = slices.DeleteFunc(e.prefilling, func(u pendingPrefill) bool { return u.call == call })
	e.batch = slices.DeleteFunc(e.batch, func(running spoke.CallNumber) bool { return running == call })
}

func (e *Engine) step() {
	if e.isStepping = len(e.prefilling)+len(e.batch) > 0; !e.isStepping {
		return
	}
	ms := idleStep + batchStep*float64(len(e.batch))/float64(e.slots)
	running := slices.Clone(e.batch)
	var begun spoke.CallNumber
	if len(e.prefilling) > 0 {
		first := &e.prefilling[0]
		prefilled := min(first.left, chunk)
		ms += float64(prefilled) / PrefillRate
		if first.left -= prefilled; first.left == 0 {
			begun = first.call
			e.batch = append(e.batch, begun)
			e.prefilling = e.prefilling[1:]
		}
	}
	e.timeline.After(time.Duration(ms*float64(time.Millisecond)), func() { e.endStep(running, begun) })
}

// endStep passes the tokens of a step on to the calls that still run.
func (e *Engine) endStep(running []spoke.CallNumber, begun spoke.CallNumber) {
	for _, call := range running {
		if slices.Contains(e.batch, call) {
			e.generated(call, 1)
		}
	}
	if slices.Contains(e.batch, begun) {
		e.generated(begun, Stride)
	}
	e.step()
}
