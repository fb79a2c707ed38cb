package soak_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/cmd/trial/soak"
)

const (
	// processTime is the time for which hosts are stopped and engines end.
	processTime = 15 * time.Second
	// timeVariable is the environment variable for the time that replaces it, such as 120s; the logs are kept then.
	// programVariable is that for the program of the hosts.
	timeVariable    = "SOAK_TIME"
	programVariable = "SOAK_EDGE"
)

// TestMain makes the test program an engine or a host if it is started as one.
func TestMain(m *testing.M) {
	for variable, serve := range map[string]func(string) error{soak.EngineVariable: soak.ServeEngine, soak.HostVariable: soak.ServeHost} {
		if text := os.Getenv(variable); text != "" {
			if err := serve(text); err != nil {
				fmt.Fprintln(os.Stderr, err)
				os.Exit(1)
			}
			return
		}
	}
	os.Exit(m.Run())
}

// Guards against answers that look complete and are not, or whose pieces are out of order, and against answers that are
// lost around a planned stop, while engines that are processes are killed, leave, fall silent and load weights.
func TestSoakWithEngineProcesses(t *testing.T) { runProcesses(t, soak.RunProcesses) }

// Guards against streams with a piece missing, a piece twice, pieces of two runs or of two software versions or an end that
// looks complete before the last piece, in one answer and over a caller's tries, and against streams that do not go on.
// Engines that are processes repeat events, cut answers and send bytes behind them.
func TestStreamsKeepTheirOrderWithEngineProcesses(t *testing.T) { runProcesses(t, soak.RunTroubles) }

// runProcesses runs all seeds and fails the test if a guarantee is violated.
func runProcesses(t *testing.T, run func(program, directory string, seed uint64, duration time.Duration) (soak.Report, error)) {
	t.Helper()
	program := os.Getenv(programVariable)
	if program == "" {
		program = build(t)
	}
	duration := processTime
	if text := os.Getenv(timeVariable); text != "" {
		var err error
		duration, err = time.ParseDuration(text)
		assert.NilError(t, err)
	}
	for _, seed := range seeds(t)[:limitSeeds(t)] {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			report, err := run(program, t.TempDir(), seed, duration)
			assert.NilError(t, err)
			logs := "not kept"
			if len(report.Violations) > 0 || os.Getenv(timeVariable) != "" {
				logs = copyLogs(t, report.LogDirectory)
			}
			t.Logf("seed %d, %v, logs %s\n%s", seed, report.Statuses, logs, strings.Join(report.FaultLog, "\n"))
			assert.Equal(t, len(report.Violations), 0, strings.Join(report.Violations, "\n"))
		})
	}
}
