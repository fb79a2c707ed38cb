package scene_test

import (
	"os/exec"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/cmd/trial/scene"
)

// TestMain makes the test binary run as the programs when it is started under their names.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"entry":    runEntry,
		"standin":  runStandin,
		"spokectl": runSpokectl,
	})
}

func programs(t *testing.T) scene.Programs {
	t.Helper()
	find := func(name string) string {
		path, err := exec.LookPath(name)
		assert.NilError(t, err)
		return path
	}
	return scene.Programs{Entry: find("entry"), Standin: find("standin"), Spokectl: find("spokectl")}
}

// Guards against commands that have no effect on the processes and links they name.
func TestCommands(t *testing.T) {
	testscript.Run(t, scene.NewRunner(programs(t), codec{}).Params("testdata"))
}
