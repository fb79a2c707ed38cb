package edge

import (
	"sync"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// stageReading is the stage of a call whose body is still arriving.
	stageReading callStage = "reading"
	// stageWaiting is the stage of a call that was not sent to an upstream.
	stageWaiting callStage = "waiting"
	// stageSent is the stage of a call that was sent to an upstream.
	stageSent callStage = "sent"
	// stageBegun is the stage of a stream whose caller has received an event.
	stageBegun callStage = "begun"
)

type (
	// callStage is how far a call has got.
	callStage string

	// callState is a call without its final answer.
	callState struct {
		request spoke.RequestID
		route   spoke.RouteName
		// size is the size class of the expected output.
		size    int
		arrived time.Time
		// received is when the body had been read, zero before.
		received time.Time
		stage    callStage
	}

	// callsUnderWay are the calls without their final answers.
	callsUnderWay struct {
		mu    sync.Mutex
		calls map[*callState]struct{}
	}
)

func newCallsUnderWay() *callsUnderWay {
	return &callsUnderWay{calls: make(map[*callState]struct{})}
}

// add adds a call whose body has not been read.
func (c *callsUnderWay) add(request spoke.RequestID, route spoke.RouteName, size int, arrived time.Time) *callState {
	state := &callState{request: request, route: route, size: size, arrived: arrived, stage: stageReading}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[state] = struct{}{}
	return state
}

// remove removes a call and returns its last state.
func (c *callsUnderWay) remove(state *callState) callState {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, state)
	return *state
}

// recordReceipt records that the body of a call has been read.
func (c *callsUnderWay) recordReceipt(state *callState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state.received, state.stage = time.Now(), stageWaiting
}

// longestHeld returns the longest time since a call of the route and size was received, zero if there is none.
func (c *callsUnderWay) longestHeld(route spoke.RouteName, size int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	longest := time.Duration(0)
	for state := range c.calls {
		if state.route == route && state.size == size && !state.received.IsZero() {
			longest = max(longest, time.Since(state.received))
		}
	}
	return longest
}

// setStage sets the stage of a call; a stream that has begun stays in that stage when it is sent again.
func (c *callsUnderWay) setStage(state *callState, stage callStage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state.stage != stageBegun {
		state.stage = stage
	}
}

// list returns copies of the calls.
func (c *callsUnderWay) list() []callState {
	c.mu.Lock()
	defer c.mu.Unlock()
	states := make([]callState, 0, len(c.calls))
	for state := range c.calls {
		states = append(states, *state)
	}
	return states
}
