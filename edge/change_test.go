package edge_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

type (
	// changeHost is a host with a service for each state of a call.
	changeHost struct {
		*deployment
		// engines are two engines of each service, which run one call at a time.
		engines map[callState][]*fake.Engine
	}

	// callState is the state of a call when the configuration changes.
	callState int

	// finish lets a call in progress go on and returns its answer.
	finish func() (answer, error)

	configChange struct {
		name  string
		apply func(table map[string]any)
		// statuses are the expected statuses of calls that are not served.
		statuses map[callState]int
	}
)

const (
	bodyArrives callState = iota
	waits
	runsBuffered
	betweenAttempts
	beforeFirstEvent
	streamBegun
	keptConnection
	stateCount
)

var stateNames = []string{"body arrives", "waits", "runs buffered", "between attempts", "before first event", "stream begun", "kept connection"}

// eachRow returns a change of all rows of a list of the table that calls in progress use.
func eachRow(list string, change func(row map[string]any)) func(map[string]any) {
	return func(table map[string]any) {
		for _, row := range table[list].([]any) {
			change(row.(map[string]any))
		}
	}
}

func setRoutes(name string, value any) func(map[string]any) {
	return eachRow("routes", func(route map[string]any) { route[name] = value })
}

func setLimit(name string, value int) func(map[string]any) {
	return func(table map[string]any) { table["limits"].(map[string]any)[name] = value }
}

func setWorkspace(name string, value any) func(map[string]any) {
	return eachRow("tenants", func(workspace map[string]any) { workspace[name] = value })
}

// leaveServices drops the services of the calls and moves their routes.
func leaveServices(table map[string]any) {
	setRoutes("service", "models")(table)
	table["services"] = table["services"].([]any)[:1]
}

func configChanges() []configChange {
	return []configChange{
		{name: "routes moved", apply: setRoutes("service", "models")},
		{name: "routes removed", apply: func(table map[string]any) { table["routes"] = table["routes"].([]any)[:4] }, statuses: map[callState]int{keptConnection: 404}},
		{name: "weights changed", apply: setRoutes("backends", []any{map[string]any{"service": "models", "weight": 1}})},
		{name: "timeout shorter", apply: setRoutes("timeout-ms", 100)},
		{name: "timeout longer", apply: setRoutes("timeout-ms", 60000)},
		{name: "key removed", apply: setWorkspace("api-keys", []string{"other-key"}), statuses: map[callState]int{keptConnection: 401}},
		{name: "priority changed", apply: setWorkspace("priority", 9)},
		{name: "isolation changed", apply: setWorkspace("isolated", true)},
		{name: "body limit smaller", apply: setLimit("max-body-bytes", 5), statuses: map[callState]int{keptConnection: 413}},
		{name: "header limit smaller", apply: setLimit("max-header-bytes", 10)},
		{name: "idle timeout shorter", apply: setLimit("idle-timeout-ms", 10)},
		{name: "services removed", apply: leaveServices, statuses: map[callState]int{waits: 503}},
		{name: "unknown fields", apply: func(table map[string]any) {
			table["quota"] = map[string]any{"calls": 1}
			setRoutes("quota", 1)(table)
		}},
	}
}

func startForChange(t *testing.T) *changeHost {
	t.Helper()
	h := &changeHost{deployment: start(t, 1), engines: make(map[callState][]*fake.Engine)}
	for state := range stateCount {
		for j := range 2 {
			engine := fake.NewEngine(fmt.Sprintf("i-%d-%d", state, j), 4)
			t.Cleanup(engine.Close)
			h.engines[state] = append(h.engines[state], engine)
			entry := engine.Entry(fmt.Sprint("service-", state), "a", "ready")
			entry["slots"] = 1
			h.store.Put("servers/"+engine.ID, entry)
		}
	}
	h.store.Put("op/config", tableOfServices(2, int(stateCount)))
	awaitTrue(t, "table is not in force", func() bool { return h.hasLogged(`"table":2`) })
	return h
}

// runsOf returns the number of runs at the engines of a state.
func (h *changeHost) runsOf(state callState) int {
	return len(h.engines[state][0].Runs()) + len(h.engines[state][1].Runs())
}

// inBackground makes a call and returns how to await its answer.
func (h *changeHost) inBackground(c call) finish {
	return background(func() (answer, error) { return h.send(c) })
}

// background awaits an answer in the background and returns how to get it.
func background(await finish) finish {
	type result struct {
		answer answer
		err    error
	}
	done := make(chan result, 1)
	go func() {
		got, err := await()
		done <- result{got, err}
	}()
	return func() (answer, error) {
		got := <-done
		return got.answer, got.err
	}
}

// begin makes a call that is in the given state when begin returns.
func (h *changeHost) begin(state callState) finish {
	made := func(make func(string) call, name string) call {
		return callOfService(make(fmt.Sprintf("%s-%d", name, state)), int(state))
	}
	switch state {
	case bodyArrives:
		return h.beginBody(made(bookCall, "call"))
	case waits:
		return h.beginWaiting(state, made(bookCall, "call"), made(bookCall, "first"), made(bookCall, "second"))
	case betweenAttempts:
		return h.beginRetry(state, made(lookCall, "call"), made(bookCall, "first"))
	case keptConnection:
		return h.beginKept(made(bookCall, "call"))
	}
	events, running := 0, made(quoteCall, "call")
	if state == runsBuffered {
		running = made(bookCall, "call")
	}
	if state == streamBegun {
		events = 1
	}
	release := h.hold(state, events)
	await := h.inBackground(running)
	awaitTrue(h.t, "call does not run", func() bool { return h.runsOf(state) == 1 })
	return func() (answer, error) { release(); return await() }
}

func (h *changeHost) hold(state callState, events int) func() {
	first, second := h.engines[state][0].Hold(events), h.engines[state][1].Hold(events)
	return func() { first(); second() }
}

// beginWaiting makes a call that waits while others occupy all engines; these must be served.
func (h *changeHost) beginWaiting(state callState, c, first, second call) finish {
	release := h.hold(state, 0)
	ahead := []finish{h.inBackground(first), h.inBackground(second)}
	awaitTrue(h.t, "engines are not occupied", func() bool { return h.runsOf(state) == 2 })
	await := h.inBackground(c)
	_, err := h.send(lookCall("later"))
	assert.NilError(h.t, err)
	return func() (answer, error) {
		release()
		for _, other := range ahead {
			got, err := other()
			assert.Check(h.t, err == nil && got.status == http.StatusOK, "call that ran: %d %v", got.status, err)
		}
		return await()
	}
}

// beginRetry makes a call whose first attempt has failed and that waits for the other engine, which is occupied.
func (h *changeHost) beginRetry(state callState, c, first call) finish {
	release := h.hold(state, 0)
	ahead := h.inBackground(first)
	awaitTrue(h.t, "engine is not occupied", func() bool { return h.runsOf(state) == 1 })
	free := h.engines[state][0]
	if len(free.Runs()) > 0 {
		free = h.engines[state][1]
	}
	free.SetBehaviour(fake.ResetAtOnce)
	free.Hold(-1)
	await := h.inBackground(c)
	awaitTrue(h.t, "first attempt has not failed", func() bool { return h.hasLogged("attempt failed") })
	return func() (answer, error) {
		release()
		got, err := ahead()
		assert.Check(h.t, err == nil && got.status == http.StatusOK, "call that ran: %d %v", got.status, err)
		return await()
	}
}

// beginBody makes a call of whose body only a part has arrived.
func (h *changeHost) beginBody(c call) finish {
	conn, err := net.Dial("tcp", string(h.settings.Caller))
	assert.NilError(h.t, err)
	h.t.Cleanup(func() { _ = conn.Close() })
	var message bytes.Buffer
	c.header = http.Header{"Expect": {"100-continue"}}
	assert.NilError(h.t, h.request(c).Write(&message))
	_, err = conn.Write(message.Next(message.Len() - 3))
	assert.NilError(h.t, err)
	reader := bufio.NewReader(conn)
	// The host asks for the body once it has accepted the head.
	asked, err := http.ReadResponse(reader, nil)
	assert.NilError(h.t, err)
	assert.NilError(h.t, asked.Body.Close())
	assert.Equal(h.t, asked.StatusCode, http.StatusContinue)
	return func() (answer, error) {
		if _, err := message.WriteTo(conn); err != nil {
			return answer{}, err
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return answer{}, err
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		return answer{response.StatusCode, response.Header, response.Close, string(body)}, err
	}
}

// beginKept makes a call whose connection is then used for two others.
func (h *changeHost) beginKept(c call) finish {
	client := &http.Client{Transport: &http.Transport{}}
	h.t.Cleanup(client.CloseIdleConnections)
	send := func(isReused bool) (answer, error) {
		request := h.request(c)
		trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
			assert.Check(h.t, info.Reused == isReused, "connection is reused: %t", info.Reused)
		}}
		response, err := client.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
		if err != nil {
			return answer{}, err
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		return answer{response.StatusCode, response.Header, response.Close, string(body)}, err
	}
	_, err := send(false)
	assert.NilError(h.t, err)
	return func() (answer, error) {
		if got, err := send(true); err != nil {
			return got, err
		}
		return send(true)
	}
}

// checkAnswer checks that an answer is whole, or a refusal or failure that says what happened.
func checkAnswer(t *testing.T, state callState, got answer, wanted int) {
	t.Helper()
	assert.Check(t, got.status == wanted, "%s: %d %q", stateNames[state], got.status, got.body)
	if got.status == http.StatusOK {
		isWhole := got.body == wholeStream || strings.HasPrefix(got.body, "whole answer of i-")
		assert.Check(t, isWhole, "%s: %q", stateNames[state], got.body)
		return
	}
	var body struct {
		Error struct{ Outcome string } `json:"error"`
	}
	assert.Check(t, json.Unmarshal([]byte(got.body), &body) == nil, "%s: %q", stateNames[state], got.body)
	isNotRun := got.status < http.StatusInternalServerError || got.status == http.StatusServiceUnavailable
	assert.Check(t, (body.Error.Outcome == "not-run") == isNotRun, "%s: %q", stateNames[state], got.body)
	assert.Check(t, (got.header.Get("Retry-After") != "") == (got.status == http.StatusServiceUnavailable), "%s: %v", stateNames[state], got.header)
}

// Guards against a whole call that gets no answer, or another one than its own, since the configuration changes while
// it is in progress, and against kept connections that a change makes unusable.
func TestCallsInProgressOutliveChangesOfConfiguration(t *testing.T) {
	for _, change := range configChanges() {
		t.Run(change.name, func(t *testing.T) {
			h := startForChange(t)
			var calls []finish
			for state := range stateCount {
				calls = append(calls, h.begin(state))
			}
			next := tableOfServices(3, int(stateCount))
			change.apply(next)
			h.store.Put("op/config", next)
			awaitTrue(t, "table is not in force", func() bool { return h.hasLogged(`"table":3`) })
			for state, await := range calls {
				got, err := await()
				assert.Check(t, err == nil, "%s: %v", stateNames[state], err)
				wanted := http.StatusOK
				if status, ok := change.statuses[callState(state)]; ok {
					wanted = status
				}
				checkAnswer(t, callState(state), got, wanted)
			}
		})
	}
}

// Guards against a call that ends before its own deadline, or is held beyond it, since a newer table has another
// timeout for its route.
func TestCallsInProgressKeepTheirDeadline(t *testing.T) {
	const timeout = 1500 * time.Millisecond
	for _, newer := range []int{100, 60000} {
		h := startForChange(t)
		older := tableOfServices(3, int(stateCount))
		setRoutes("timeout-ms", int(timeout.Milliseconds()))(older)
		h.store.Put("op/config", older)
		awaitTrue(t, "table is not in force", func() bool { return h.hasLogged(`"table":3`) })
		h.hold(waits, 0)
		begun := time.Now()
		calls := []finish{h.inBackground(callOfService(bookCall("runs-1"), int(waits))), h.inBackground(callOfService(quoteCall("runs-2"), int(waits)))}
		awaitTrue(t, "engines are not occupied", func() bool { return h.runsOf(waits) == 2 })
		// The host has accepted the head under the older table, however late this goroutine goes on.
		calls = append(calls, background(h.beginBody(callOfService(bookCall("waits"), int(waits)))))
		next := tableOfServices(4, int(stateCount))
		setRoutes("timeout-ms", newer)(next)
		h.store.Put("op/config", next)
		awaitTrue(t, "table is not in force", func() bool { return h.hasLogged(`"table":4`) })
		for _, await := range calls {
			got, err := await()
			assert.NilError(t, err)
			took := time.Since(begun)
			isTruthful := got.status == http.StatusGatewayTimeout || (got.status == http.StatusServiceUnavailable && strings.Contains(got.body, "not-run"))
			assert.Check(t, isTruthful, "%d %q", got.status, got.body)
			assert.Check(t, took > timeout-100*time.Millisecond && took < timeout+500*time.Millisecond, "%s", took)
		}
	}
}
