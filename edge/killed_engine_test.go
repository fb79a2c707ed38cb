package edge_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

const (
	// engineProcess is the variable that makes the test program an engine process; its value is the body of its answers.
	engineProcess = "SPOKE_TEST_ENGINE"
	// engineRest is the variable with what follows the body once the engine process is told to go on. Behind it, the
	// process ends its answer and exits a moment later, or keeps both if engineStays is set.
	engineRest  = "SPOKE_TEST_ENGINE_REST"
	engineStays = "SPOKE_TEST_ENGINE_STAYS"
	// exitDelay is the time between the end of the last answer of an engine process and its exit.
	exitDelay = time.Millisecond
	killedID  = "i-killed"
	// listenerFile is the descriptor of the listener that an engine process inherits.
	listenerFile = 3
)

func TestMain(m *testing.M) {
	if body := os.Getenv(engineProcess); body != "" {
		runEngineProcess(body)
		return
	}
	if os.Getenv(hostProcess) != "" {
		runHostProcess()
		return
	}
	os.Exit(m.Run())
}

// runEngineProcess runs an engine whose answers have neither a length nor chunks and stay open after the body, until the
// end of standard input. It writes its entry and then a line for each answer. A line of standard input makes it send the
// rest of its answers.
func runEngineProcess(body string) {
	listener, err := net.FileListener(os.NewFile(listenerFile, "listener"))
	if err != nil {
		panic(err)
	}
	engine := fake.NewEngineAt(listener, killedID, 4)
	head := []string{"HTTP/1.1 200 OK", "Connection: close"}
	proceed := make(chan struct{})
	sent := func() { fmt.Println("sent") }
	answer := fake.UnframedAnswer{Head: head, Body: body, StaysOpen: true, OnSent: sent}
	if rest, hasRest := os.LookupEnv(engineRest); hasRest {
		answer.Rest, answer.Continue, answer.AfterRest = rest, proceed, sent
		if os.Getenv(engineStays) == "" {
			answer.StaysOpen, answer.AfterRest = false, exitAfterDelay
		}
	}
	engine.SetUnframedAnswer(answer)
	entry, err := json.Marshal(engine.Entry("models", "a", "ready"))
	if err != nil {
		panic(err)
	}
	fmt.Println(string(entry))
	if bufio.NewScanner(os.Stdin).Scan() {
		close(proceed)
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
}

func exitAfterDelay() {
	time.Sleep(exitDelay)
	os.Exit(0)
}

// killedEngine is an engine process that is killed while it sends an answer.
type killedEngine struct {
	d        *deployment
	entry    map[string]any
	listener net.Listener
	process  *exec.Cmd
	input    io.Writer
	output   *bufio.Reader
}

// startEngineProcess starts an engine as a process and lists it. Its listener also belongs to the test, so that the
// address accepts connections after the end of the process until the test closes it.
func (d *deployment) startEngineProcess(body string, environment ...string) *killedEngine {
	d.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(d.t, err)
	d.t.Cleanup(func() { _ = listener.Close() })
	inherited, err := listener.(*net.TCPListener).File()
	assert.NilError(d.t, err)
	defer inherited.Close()
	process := exec.Command(os.Args[0])
	process.Env = append(append(os.Environ(), engineProcess+"="+body), environment...)
	process.ExtraFiles = []*os.File{inherited}
	input, err := process.StdinPipe()
	assert.NilError(d.t, err)
	output, err := process.StdoutPipe()
	assert.NilError(d.t, err)
	assert.NilError(d.t, process.Start())
	d.t.Cleanup(func() {
		_ = input.Close()
		_ = process.Wait()
	})
	k := &killedEngine{d: d, listener: listener, process: process, input: input, output: bufio.NewReader(output)}
	line, err := k.output.ReadBytes('\n')
	assert.NilError(d.t, err)
	assert.NilError(d.t, json.Unmarshal(line, &k.entry))
	d.store.Put("servers/"+killedID, k.entry)
	return k
}

// awaitSent waits until the process has sent the body of an answer.
func (k *killedEngine) awaitSent() {
	k.d.t.Helper()
	_, err := k.output.ReadBytes('\n')
	assert.NilError(k.d.t, err)
}

func (k *killedEngine) kill() { assert.NilError(k.d.t, k.process.Process.Kill()) }

// goOn makes the process send the rest of its answers.
func (k *killedEngine) goOn() {
	k.d.t.Helper()
	_, err := io.WriteString(k.input, "\n")
	assert.NilError(k.d.t, err)
}

// leave announces that the engine leaves.
func (k *killedEngine) leave() {
	k.entry["state"], k.entry["sequence"] = "draining", 2
	k.d.store.Put("servers/"+killedID, k.entry)
	k.d.awaitApplied()
}

// deaths are the ways in which an engine process ends, by name.
var deaths = map[string]func(k *killedEngine){
	"gone": func(k *killedEngine) {
		_ = k.listener.Close()
		k.kill()
	},
	"leaving": func(k *killedEngine) {
		_ = k.listener.Close()
		k.leave()
		k.kill()
	},
	"unlisted": func(k *killedEngine) {
		_ = k.listener.Close()
		k.d.store.Remove("servers/" + killedID)
		k.d.awaitApplied()
		k.kill()
	},
	"replaced": func(k *killedEngine) {
		k.kill()
		k.d.t.Cleanup(fake.NewEngineAt(k.listener, "i-other", 4).Close)
	},
	"restarted": func(k *killedEngine) {
		k.kill()
		engine := fake.NewEngineAt(k.listener, killedID, 4)
		engine.Restart(1)
		k.d.t.Cleanup(engine.Close)
	},
	"slow": func(k *killedEngine) {
		// Connections are established, but nobody accepts them until they are reset.
		k.kill()
		time.AfterFunc(300*time.Millisecond, func() { _ = k.listener.Close() })
	},
}

// awaitApplied waits until the host has applied what the store holds: the key of a route that it adds is missing. No call
// of its table is late within two seconds, so that hosts do not turn to another engine before.
func (d *deployment) awaitApplied() {
	d.t.Helper()
	d.applied++
	name := fmt.Sprint("added-", d.applied)
	next := table(1+d.applied, callerKey)
	for _, route := range next["routes"].([]any) {
		route.(map[string]any)["target-latency-ms"] = 2000
	}
	added := maps.Clone(next["routes"].([]any)[0].(map[string]any))
	added["name"], added["prefix"] = name, "/"+name+"/"
	next["routes"] = append(next["routes"].([]any), added)
	d.store.Put("op/config", next)
	awaitTrue(d.t, "table not in force", func() bool {
		got, err := d.send(call{method: http.MethodGet, path: "/" + name + "/1", id: "probe"})
		return err == nil && got.status == http.StatusUnauthorized
	})
}

// sendUntilPlaced sends a call until an engine gets it, and returns its result.
func (d *deployment) sendUntilPlaced(c call) <-chan result {
	d.t.Helper()
	received := make(chan result, 1)
	go func() {
		awaitTrue(d.t, "no call placed", func() bool {
			got, err := d.send(c)
			isPlaced := got.status != http.StatusServiceUnavailable && got.status != 0
			if isPlaced {
				received <- result{got, err}
			}
			return isPlaced
		})
	}()
	return received
}

// callKilled makes a call at an engine that dies in the given way after it has sent the body, while another one runs.
func callKilled(t *testing.T, c call, body, death string) result {
	t.Helper()
	d := start(t, 0)
	d.awaitApplied()
	killed := d.startEngineProcess(body)
	received := d.sendUntilPlaced(c)
	killed.awaitSent()
	if body != cutBody {
		awaitTrue(t, "stream not begun", func() bool { return d.hasLogged("stream began") })
	}
	next := fake.NewEngine("i-next", 4)
	t.Cleanup(next.Close)
	d.store.PutEngine(next, "models", next.Address(), false)
	d.awaitApplied()
	deaths[death](killed)
	got := <-received
	// Lines are written a moment after the answer.
	awaitTrue(t, "failed attempt is not logged", func() bool { return d.hasLogged("nothing confirms that an answer") })
	isCrash := func() bool { return d.hasLogged("upstream crashed during an attempt") }
	if death == "leaving" || death == "unlisted" {
		assert.Check(t, !isCrash())
		return got
	}
	awaitTrue(t, "crash is not logged", isCrash)
	return got
}

// cutBody is the beginning of an answer that is not a stream.
const cutBody = "who"

// Guards against answers that look whole although their engine was killed while it sent them: the kernel ends the
// connections of a killed process in the regular way, which is also the end of an answer with neither a length nor chunks.
// The death counts as a crash unless the engine was leaving.
func TestAnswersOfKilledEngineDoNotLookWhole(t *testing.T) {
	for death := range deaths {
		t.Run(death+" in resumable stream", func(t *testing.T) {
			got := callKilled(t, chatCall("chat"), twoEvents, death)
			assert.NilError(t, got.err)
			assert.Equal(t, got.answer.body, wholeStream)
		})
		t.Run(death+" in other stream", func(t *testing.T) {
			got := callKilled(t, quoteCall("quote"), twoEvents, death)
			assert.Assert(t, errors.Is(got.err, io.ErrUnexpectedEOF), "error %v, body %q", got.err, got.answer.body)
		})
		t.Run(death+" in repeatable call", func(t *testing.T) {
			got := callKilled(t, lookCall("look"), cutBody, death)
			assert.NilError(t, got.err)
			assert.Equal(t, got.answer.body, fake.WholeAnswer("i-next"))
		})
		t.Run(death+" in other call", func(t *testing.T) {
			got := callKilled(t, bookCall("book"), cutBody, death)
			assert.NilError(t, got.err)
			assert.Equal(t, got.answer.status, http.StatusBadGateway)
		})
	}
}
