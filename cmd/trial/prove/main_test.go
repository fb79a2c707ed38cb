package prove_test

import (
	"context"
	_ "embed"
	"fmt"
	"os"
	"testing"
	"time"

	"magnoliaspoke.example/spoke/cmd/trial/plans"
	"magnoliaspoke.example/spoke/cmd/trial/prove"
	"magnoliaspoke.example/spoke/cmd/trial/scene"
)

// buildLimit bounds the compilation of all programs without a build cache.
const buildLimit = 5 * time.Minute

//go:embed plan.toml
var defaultPlan string

var (
	programs scene.Programs
	report   *prove.Report
)

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
	if report, err = prove.NewReport("testdata", "../../../KNOWN-RED.txt"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	code := m.Run()
	report.Write(os.Stdout)
	return code
}

// Guards against faults of the programs as a whole that the tests of their packages do not find.
func TestScenarios(t *testing.T) {
	runner := scene.NewRunner(programs, scene.TicketCodec{}, scene.WithDefaults(defaultPlan, plans.Objects(2)))
	report.Run(t, runner.Params("testdata"))
}
