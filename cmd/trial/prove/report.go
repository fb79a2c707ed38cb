package prove

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rotisserie/eris"
)

const (
	promiseCount = 9
	// parallelScenarios limits concurrent scenarios, so that there are fewer than 100 processes and
	// waits stay short on machines with few cores.
	parallelScenarios = 3
)

const (
	passed       Outcome = "passed"
	failed       Outcome = "failed"
	knownFailure Outcome = "known red"
)

var (
	promiseLine     = regexp.MustCompile(`(?m)^# Promises: ([0-9 ]+)$`)
	measurementLine = regexp.MustCompile(`(?m)^measured: .*$`)
)

type (
	// Outcome is the result of a scenario.
	Outcome string

	// Report collects the outcomes of scenarios and their measurements, and assigns them to the
	// numbered promises of the product that the scenarios prove.
	Report struct {
		knownFailures []string
		promises      map[string][]int
		slots         chan struct{}

		mu           sync.Mutex
		outcomes     map[string]Outcome
		measurements map[string][]string
	}

	// scenario is the testscript.T of one scenario.
	scenario struct {
		*testing.T
		report *Report
		name   string
	}
)

// NewReport reads the promises that each scenario of a directory proves, and the scenarios that the
// file knownFailures lists as known to fail.
func NewReport(directory, knownFailures string) (*Report, error) {
	r := &Report{
		promises: make(map[string][]int), slots: make(chan struct{}, parallelScenarios),
		outcomes: make(map[string]Outcome), measurements: make(map[string][]string),
	}
	files, err := filepath.Glob(filepath.Join(directory, "*.txtar"))
	if err != nil {
		return nil, eris.Wrap(err, directory)
	}
	for _, file := range files {
		if err := r.readPromises(file); err != nil {
			return nil, err
		}
	}
	r.knownFailures, err = readKnownFailures(knownFailures)
	return r, err
}

func (r *Report) readPromises(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(err, "scenario")
	}
	name := strings.TrimSuffix(filepath.Base(file), ".txtar")
	r.promises[name] = nil
	found := promiseLine.FindSubmatch(text)
	if found == nil {
		return nil
	}
	for _, field := range strings.Fields(string(found[1])) {
		number, err := strconv.Atoi(field)
		if err != nil || number < 1 || number > promiseCount {
			return eris.Errorf("%s: no promise %q", file, field)
		}
		r.promises[name] = append(r.promises[name], number)
	}
	return nil
}

// readKnownFailures returns the scenarios that KNOWN-RED.txt lists as TestScenarios/NAME.
func readKnownFailures(file string) ([]string, error) {
	text, err := os.Open(file)
	if err != nil {
		return nil, eris.Wrap(err, "known failures")
	}
	defer text.Close()
	var known []string
	lines := bufio.NewScanner(text)
	for lines.Scan() {
		for _, field := range strings.Fields(lines.Text()) {
			if name, ok := strings.CutPrefix(strings.Trim(field, ",;"), "TestScenarios/"); ok {
				known = append(known, name)
			}
		}
	}
	return known, eris.Wrap(lines.Err(), "known failures")
}

// Run runs the scenarios of the parameters as subtests of t.
func (r *Report) Run(t *testing.T, params testscript.Params) {
	testscript.RunT(&scenario{T: t, report: r}, params)
}

// Run runs one scenario as a subtest and records its outcome.
func (s *scenario) Run(name string, body func(testscript.T)) {
	s.T.Run(name, func(t *testing.T) {
		current := &scenario{T: t, report: s.report, name: name}
		defer current.finish()
		body(current)
	})
}

// Parallel runs the scenario in parallel with others, at most parallelScenarios at a time.
func (s *scenario) Parallel() {
	s.T.Parallel()
	s.report.slots <- struct{}{}
	s.Cleanup(func() { <-s.report.slots })
}

// Verbose returns true, so that the log of passing scenarios with their measurements is kept.
func (s *scenario) Verbose() bool { return true }

// Failed reports whether the scenario has failed, including known failures.
func (s *scenario) Failed() bool { return s.T.Failed() || s.Skipped() }

// Log prints the text and records its lines with measurements.
func (s *scenario) Log(args ...any) {
	s.Helper()
	text := fmt.Sprint(args...)
	s.report.mu.Lock()
	s.report.measurements[s.name] = append(s.report.measurements[s.name], measurementLine.FindAllString(text, -1)...)
	s.report.mu.Unlock()
	s.T.Log(text)
}

// Fatal fails the scenario.
func (s *scenario) Fatal(args ...any) {
	s.Helper()
	s.Log(args...)
	s.FailNow()
}

// FailNow fails the scenario, or skips it if its failure is known.
func (s *scenario) FailNow() {
	s.Helper()
	if slices.Contains(s.report.knownFailures, s.name) {
		s.Skip("this failure is listed in KNOWN-RED.txt")
	}
	s.T.FailNow()
}

func (s *scenario) finish() {
	outcome := passed
	switch {
	case s.T.Failed():
		outcome = failed
	case s.Skipped():
		outcome = knownFailure
	}
	s.report.mu.Lock()
	defer s.report.mu.Unlock()
	// A scenario that runs several times keeps the outcome of a run that did not pass.
	if s.report.outcomes[s.name] == "" || outcome != passed {
		s.report.outcomes[s.name] = outcome
	}
}

// Write prints one line for each promise with the scenarios that prove it, then the known failures
// that ran and the measurements.
func (r *Report) Write(output io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for number := 1; number <= promiseCount; number++ {
		var proofs []string
		verdict := "not covered"
		for _, name := range r.scenarioNames() {
			if outcome, ran := r.outcomes[name]; ran && slices.Contains(r.promises[name], number) {
				proofs = append(proofs, fmt.Sprintf("%s (%s)", name, outcome))
				verdict = combine(verdict, outcome)
			}
		}
		_, _ = fmt.Fprintf(output, "promise %d: %s: %s\n", number, verdict, strings.Join(proofs, ", "))
	}
	for _, name := range r.scenarioNames() {
		if slices.Contains(r.knownFailures, name) && r.outcomes[name] != "" {
			_, _ = fmt.Fprintf(output, "listed in KNOWN-RED.txt: %s (%s)\n", name, r.outcomes[name])
		}
		for _, line := range r.measurements[name] {
			_, _ = fmt.Fprintf(output, "%s: %s\n", name, line)
		}
	}
}

func combine(verdict string, outcome Outcome) string {
	switch {
	case outcome != passed:
		return "failed"
	case verdict == "not covered":
		return "proved"
	}
	return verdict
}

func (r *Report) scenarioNames() []string {
	names := make([]string, 0, len(r.promises))
	for name := range r.promises {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
