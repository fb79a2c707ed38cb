package edge_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/config"
	fake "magnoliaspoke.example/spoke/fake/platform"
)

// Guards against logs that do not show whether a timer, the deadline or the upstream ended an attempt, and for how long
// the upstream had been silent.
func TestFailedAttemptLogsWhatEndedIt(t *testing.T) {
	for _, c := range []struct {
		name      string
		engines   int
		behaviour fake.Behaviour
		call      call
		endedBy   string
	}{
		{"idle timer", 2, fake.Hang, lookCall("a"), "idle-timer"},
		{"deadline", 1, fake.Hang, bookCall("b"), "deadline"},
		{"upstream", 1, fake.ResetAtOnce, bookCall("c"), "upstream"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := start(t, c.engines)
			d.setBehaviour(c.behaviour)
			_, err := d.send(c.call)
			assert.NilError(t, err)
			awaitTrue(t, "no line names "+c.endedBy, func() bool { return d.hasLogged(`"ended-by":"` + c.endedBy + `"`) })
			assert.Assert(t, d.hasLogged(`"silent":"`))
		})
	}
}

const (
	// longStall is longer than the idle period of a stream, shortStall than that of a repeatable call.
	longStall  = 2500 * time.Millisecond
	shortStall = 800 * time.Millisecond
)

// stalledCall is a call whose engine falls silent for longer than the idle period and goes on.
type stalledCall struct {
	name  string
	call  call
	stall fake.Stall
}

func stalledCalls() []stalledCall {
	return []stalledCall{
		{"stream before its first event", chatCall("first"), fake.Stall{For: longStall}},
		{"stream", chatCall("middle"), fake.Stall{After: 2, For: longStall}},
		{"answer before its head", lookCall("head"), fake.Stall{For: shortStall}},
		{"answer in its body", lookCall("body"), fake.Stall{After: 1, For: shortStall}},
	}
}

// wholeAnswerOf returns the body of the complete answer to a call.
func wholeAnswerOf(c call, engine *fake.Engine) string {
	if c.path == lookCall("").path {
		return fake.WholeAnswer(engine.ID)
	}
	return wholeStream
}

type result struct {
	answer answer
	err    error
}

// sendAsync makes the call and returns a channel for its answer.
func (d *deployment) sendAsync(c call) <-chan result {
	results := make(chan result, 1)
	go func() {
		got, err := d.send(c)
		results <- result{got, err}
	}()
	return results
}

// fill sends slow calls until the only engine runs as many as it may, with and without prompts.
func (d *deployment) fill(t *testing.T, interval time.Duration) {
	t.Helper()
	d.engines[0].SetEventInterval(interval)
	for range 8 {
		d.sendAsync(quoteCall("slow"))
	}
	awaitTrue(t, "engine is not full of streams", func() bool { return d.runs() == 8 })
	d.engines[0].SetBehaviour(fake.Hang)
	for range 2 {
		d.sendAsync(bookCall("slow"))
	}
	awaitTrue(t, "engine is not full", func() bool { return d.runs() == 10 })
}

// addEngine adds an engine and waits until it serves calls.
func (d *deployment) addEngine(t *testing.T, id string) *fake.Engine {
	t.Helper()
	engine := fake.NewEngine(id, 4)
	t.Cleanup(engine.Close)
	d.putEntry(engine, "ready")
	awaitTrue(t, "engine gets no calls", func() bool {
		got, err := d.send(lookCall("added"))
		return err == nil && got.body == fake.WholeAnswer(id)
	})
	return engine
}

// Guards against answers that are cut or replaced by an error because their engine was silent for a moment, while no
// other engine exists, the retry budget is used up or the other engine is full.
func TestSilentEngineKeepsCallThatNoOtherTakes(t *testing.T) {
	for _, c := range stalledCalls() {
		t.Run(c.name+", no other", func(t *testing.T) {
			t.Parallel()
			d := start(t, 1)
			d.checkStalled(t, c, d.engines[0])
		})
		t.Run(c.name+", no budget", func(t *testing.T) {
			t.Parallel()
			d := startWithSettings(t, 2, func(settings *config.Relay) { settings.RetryShare, settings.RetryReserve = 0, 0 })
			d.checkStalled(t, c, d.engines...)
		})
		t.Run(c.name+", other full", func(t *testing.T) {
			t.Parallel()
			d := start(t, 1)
			d.fill(t, 3*time.Second)
			d.checkStalled(t, c, d.addEngine(t, "i-1"))
		})
	}
}

// checkStalled makes the call at engines that fall silent, and checks that the caller gets the whole answer of one run.
func (d *deployment) checkStalled(t *testing.T, c stalledCall, engines ...*fake.Engine) {
	t.Helper()
	for _, engine := range engines {
		engine.SetStall(c.stall)
	}
	got, err := d.send(c.call)
	assert.NilError(t, err)
	ran := runsOf(c.call, engines)
	assert.Equal(t, len(ran), 1)
	assert.Equal(t, got.body, wholeAnswerOf(c.call, ran[0]))
}

// runsOf returns the engine of each run of the call.
func runsOf(c call, engines []*fake.Engine) []*fake.Engine {
	var ran []*fake.Engine
	for _, engine := range engines {
		for _, run := range engine.Runs() {
			if run.ID == c.id {
				ran = append(ran, engine)
			}
		}
	}
	return ran
}

// Guards against answers that are cut or replaced by an error because the call left an engine that was silent for a
// moment, and the next one cannot be reached or does not take the call.
func TestCallOfSilentEngineSurvivesFailureOfNext(t *testing.T) {
	for _, c := range stalledCalls() {
		for name, fail := range map[string]func(*fake.Engine){
			"refuses":     func(e *fake.Engine) { e.SetBehaviour(fake.Shed) },
			"resets":      func(e *fake.Engine) { e.SetBehaviour(fake.ResetAtOnce) },
			"unreachable": func(e *fake.Engine) { e.Close() },
		} {
			t.Run(c.name+", next "+name, func(t *testing.T) {
				t.Parallel()
				d := start(t, 2)
				for _, engine := range d.engines {
					engine.SetStall(c.stall)
				}
				results := d.sendAsync(c.call)
				awaitTrue(t, "call does not run", func() bool { return d.runs() == 1 })
				first := runsOf(c.call, d.engines)[0]
				for _, engine := range d.engines {
					if engine != first {
						fail(engine)
					}
				}
				got := <-results
				assert.NilError(t, got.err)
				assert.Equal(t, got.answer.body, wholeAnswerOf(c.call, first))
			})
		}
	}
}

// Guards against a call that runs at two engines at once because the first one was silent.
func TestSilentEngineIsLeftBeforeNextRuns(t *testing.T) {
	d := start(t, 2)
	for _, engine := range d.engines {
		engine.SetStall(fake.Stall{After: 2, For: time.Minute})
	}
	results := d.sendAsync(chatCall("moved"))
	awaitTrue(t, "call does not run", func() bool { return d.runs() == 1 })
	for _, engine := range d.engines {
		if len(engine.Runs()) == 0 {
			engine.SetStall(fake.Stall{})
		}
	}
	got := <-results
	assert.NilError(t, got.err)
	assert.Equal(t, got.answer.body, wholeStream)
	assert.Equal(t, d.runs(), 2)
	awaitTrue(t, "silent engine still works", func() bool { return d.engines[0].Cancelled()+d.engines[1].Cancelled() == 1 })
}
