package prove_test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"magnoliaspoke.example/spoke/cmd/trial/scene"
)

// buildLimit bounds the compilation of all programs without a build cache.
const buildLimit = 5 * time.Minute

var programs scene.Programs

// TestMain builds the programs once for all scenarios.
func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	directory, err := os.MkdirTemp("", "spoke-programs")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	ctx, cancel := context.WithTimeout(context.Background(), buildLimit)
	defer cancel()
	if programs, err = scene.Build(ctx, "../../..", directory); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// Guards against programs that fail as a whole although their packages pass their tests.
func TestScenarios(t *testing.T) {
	testscript.Run(t, scene.NewRunner(programs, nil).Params("testdata"))
}
