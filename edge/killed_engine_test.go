package edge_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"testing"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

const (
	// engineProcess is the variable that makes the test program an engine process.
	engineProcess = "SPOKE_TEST_ENGINE"
	killedID      = "i-killed"
	// begunEvents is the number of events that the process sends of a stream.
	begunEvents = 2
)

func TestMain(m *testing.M) {
	if os.Getenv(engineProcess) != "" {
		runEngineProcess()
		return
	}
	os.Exit(m.Run())
}

// runEngineProcess runs an engine whose streams have neither a length nor chunks and stop after some events, until the
// end of standard input.
func runEngineProcess() {
	engine := fake.NewEngine(killedID, 4)
	head := []string{"HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Connection: close"}
	whole, begun := fake.WholeStream(0, 4), fake.WholeStream(begunEvents, 4)
	engine.SetUnframedAnswer(fake.UnframedAnswer{Head: head, Body: whole[:len(whole)-len(begun)], StaysOpen: true})
	entry, err := json.Marshal(engine.Entry("models", "a", "ready"))
	if err != nil {
		panic(err)
	}
	fmt.Println(string(entry))
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// startEngineProcess starts an engine as a process, lists it and returns its entry and a function that kills it.
func (d *deployment) startEngineProcess() (entry map[string]any, kill func()) {
	d.t.Helper()
	process := exec.Command(os.Args[0])
	process.Env = append(os.Environ(), engineProcess+"=1")
	input, err := process.StdinPipe()
	assert.NilError(d.t, err)
	output, err := process.StdoutPipe()
	assert.NilError(d.t, err)
	assert.NilError(d.t, process.Start())
	d.t.Cleanup(func() {
		_ = input.Close()
		_ = process.Wait()
	})
	line, err := bufio.NewReader(output).ReadBytes('\n')
	assert.NilError(d.t, err)
	assert.NilError(d.t, json.Unmarshal(line, &entry))
	d.store.Put("servers/"+killedID, entry)
	return entry, func() { assert.NilError(d.t, process.Process.Kill()) }
}

// awaitApplied waits until the host has applied what the store holds: the key of a route that it adds is missing.
func (d *deployment) awaitApplied() {
	d.t.Helper()
	next := table(2, callerKey)
	added := maps.Clone(next["routes"].([]any)[0].(map[string]any))
	added["name"], added["prefix"] = "added", "/added/"
	next["routes"] = append(next["routes"].([]any), added)
	d.store.Put("op/config", next)
	awaitTrue(d.t, "table not in force", func() bool {
		got, err := d.send(call{method: http.MethodGet, path: "/added/1", id: "probe"})
		return err == nil && got.status == http.StatusUnauthorized
	})
}

// Guards against streams that look whole although their engine was killed between two events: the kernel ends the
// connections of a killed process in the regular way, which is also the end of an answer with neither a length nor chunks.
// An engine that leaves may end right behind its last answer, which is whole.
func TestStreamsOfKilledEngineDoNotLookWhole(t *testing.T) {
	for name, c := range map[string]call{"resumable": chatCall("chat"), "other": quoteCall("quote"), "leaving": quoteCall("quote")} {
		t.Run(name, func(t *testing.T) {
			d := start(t, 0)
			entry, kill := d.startEngineProcess()
			type result struct {
				answer
				err error
			}
			received := make(chan result, 1)
			go func() {
				awaitTrue(t, "no stream begun", func() bool {
					got, err := d.send(c)
					if got.status == http.StatusOK {
						received <- result{got, err}
					}
					return got.status == http.StatusOK
				})
			}()
			awaitTrue(t, "stream not begun", func() bool { return d.hasLogged("stream began") })
			next := fake.NewEngine("i-next", 4)
			t.Cleanup(next.Close)
			d.store.PutEngine(next, "models", next.Address(), false)
			if name == "leaving" {
				entry["state"], entry["sequence"] = "draining", 2
				d.store.Put("servers/"+killedID, entry)
			}
			d.awaitApplied()
			kill()
			got := <-received
			if name == "resumable" {
				assert.NilError(t, got.err)
				assert.Equal(t, got.body, wholeStream)
				return
			}
			if name == "leaving" {
				assert.NilError(t, got.err)
				return
			}
			assert.Assert(t, errors.Is(got.err, io.ErrUnexpectedEOF), "error %v, body %q", got.err, got.body)
		})
	}
}
