package scene_test

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"magnoliaspoke.example/spoke/cmd/trial/scene"
)

// recorder is a testscript.T that records the outcome and the log of a scenario.
type recorder struct {
	failed bool
	output strings.Builder
}

func (r *recorder) Skip(...any)   { runtime.Goexit() }
func (r *recorder) Parallel()     {}
func (r *recorder) Verbose() bool { return false }
func (r *recorder) Failed() bool  { return r.failed }

func (r *recorder) Log(args ...any) { fmt.Fprintln(&r.output, args...) }

func (r *recorder) Fatal(args ...any) {
	r.Log(args...)
	r.FailNow()
}

func (r *recorder) FailNow() {
	r.failed = true
	runtime.Goexit()
}

func (r *recorder) Run(_ string, scenario func(testscript.T)) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		scenario(r)
	}()
	<-ended
}

// Guards against commands that pass although their condition does not hold, and against failures
// without the logs of the processes.
func TestFailingScenariosFail(t *testing.T) {
	const head = "start\nsend r1 one-a POST /echo body.txt\n"
	const files = "\n-- plan.toml --\n[[data-centres]]\nid = \"one\"\nregion = \"r\"\nhosts = [\"one-a\"]\n-- body.txt --\nhello\n"
	cases := map[string]string{
		"expect status r1 500":                    "status 200",
		"! expect status r1 200":                  "must not be",
		"expect body r1 bye":                      "hello",
		"expect broken r1":                        "error <nil>",
		"crash one-a\nexpect running one-a":       "process has ended",
		"crash one-a\nexpect exit one-a 0":        "exit code -1",
		"! terminate one-a":                       "unexpected success",
		"ticket one-a bad.json":                   "bad.json",
		"ticket one-a first\n! expect ticket 1":   "must not be",
		"! ticket one-a body.txt conflict":        "want code conflict",
		"cut one three":                           "unknown link",
		"expect weather one-a":                    "unknown condition",
		"platform rain=true":                      "usage: platform",
		"freeze one-a\nfreeze no-such":            "unknown process",
		"expect header r1 X-Request-Id '^other$'": "status 200",
		"start one-a":                             "process already runs",
		"crash one-a\n! expect exit one-a -1":     "must not be",
		"expect status r2 200":                    "no request \"r2\" was sent",
	}
	for script, message := range cases {
		path := filepath.Join(t.TempDir(), "case.txtar")
		writeFile(t, path, head+script+files)
		params := scene.NewRunner(programs(t), codec{}).Params("")
		params.Dir, params.Files = "", []string{path}
		record := &recorder{}
		testscript.RunT(record, params)
		assert.Assert(t, record.failed, script)
		assert.Assert(t, is.Contains(record.output.String(), message), script)
		assert.Assert(t, is.Contains(record.output.String(), "log of one-a ends with"), script)
	}
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
}
