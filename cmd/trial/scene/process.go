package scene

import (
	"context"
	"math"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/fleet"
)

// start launches the set-up or, with names, restarts ended processes.
func (s *scenario) start(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) == 0 {
		checkOutcome(ts, neg, s.launch(ts))
		return
	}
	s.requireSetup(ts)
	for _, name := range args {
		name, err := s.resolve(name)
		ts.Check(err)
		checkOutcome(ts, neg, s.setup.Start(s.ctx, name))
	}
}

// terminate stops processes gracefully; each must end with exit code 0.
func (s *scenario) terminate(ts *testscript.TestScript, neg bool, args []string) {
	s.eachProcess(ts, args, "terminate NAME...", func(process *fleet.Process) {
		ctx, cancel := context.WithTimeout(s.ctx, stepTimeout)
		defer cancel()
		code, err := process.Stop(ctx)
		if err == nil && code != 0 {
			err = eris.Errorf("process %q ended with exit code %d", process.Name(), code)
		}
		checkOutcome(ts, neg, err)
	})
}

// crash kills processes.
func (s *scenario) crash(ts *testscript.TestScript, _ bool, args []string) {
	s.eachProcess(ts, args, "crash NAME...", (*fleet.Process).Kill)
}

func (s *scenario) freeze(ts *testscript.TestScript, neg bool, args []string) {
	s.eachProcess(ts, args, "freeze NAME...", func(process *fleet.Process) { checkOutcome(ts, neg, process.Freeze()) })
}

func (s *scenario) thaw(ts *testscript.TestScript, neg bool, args []string) {
	s.eachProcess(ts, args, "thaw NAME...", func(process *fleet.Process) { checkOutcome(ts, neg, process.Thaw()) })
}

func (s *scenario) cut(ts *testscript.TestScript, _ bool, args []string) {
	s.link(ts, args, "cut A [B]").Cut()
}

func (s *scenario) restore(ts *testscript.TestScript, _ bool, args []string) {
	s.link(ts, args, "restore A [B]").Restore()
}

func (s *scenario) silence(ts *testscript.TestScript, _ bool, args []string) {
	s.link(ts, args, "silence A [B]").Silence()
}

func (s *scenario) reset(ts *testscript.TestScript, _ bool, args []string) {
	s.link(ts, args, "reset A [B]").Reset()
}

// delay sets the one-way delay of a link, such as 50ms.
func (s *scenario) delay(ts *testscript.TestScript, _ bool, args []string) {
	const usage = "delay DURATION A [B]"
	checkArgs(ts, args, 2, 3, usage)
	delay, err := time.ParseDuration(args[0])
	ts.Check(eris.Wrap(err, usage))
	s.link(ts, args[1:], usage).Delay(delay)
}

// limit sets the rate of a link in bytes per second; 0 removes the limit.
func (s *scenario) limit(ts *testscript.TestScript, _ bool, args []string) {
	const usage = "limit BYTES-PER-SECOND A [B]"
	checkArgs(ts, args, 2, 3, usage)
	rate, err := strconv.ParseFloat(args[0], 64)
	ts.Check(eris.Wrap(err, usage))
	s.link(ts, args[1:], usage).Limit(spoke.ByteRate(rate))
}

func (s *scenario) eachProcess(ts *testscript.TestScript, names []string, usage string, apply func(*fleet.Process)) {
	checkArgs(ts, names, 1, math.MaxInt, usage)
	s.requireSetup(ts)
	for _, name := range names {
		name, err := s.resolve(name)
		ts.Check(err)
		process, err := s.setup.Process(name)
		ts.Check(err)
		apply(process)
	}
}

// link returns the link between two data centres or between a data centre and the platform, or,
// with one name, the link to a relayed upstream or store host.
func (s *scenario) link(ts *testscript.TestScript, sides []string, usage string) fleet.Link {
	checkArgs(ts, sides, 1, 2, usage)
	s.requireSetup(ts)
	far := ""
	if len(sides) > 1 {
		far = sides[1]
	}
	near, err := s.resolve(sides[0])
	ts.Check(err)
	link, err := s.setup.Link(near, far)
	ts.Check(err)
	return link
}

func (s *scenario) requireSetup(ts *testscript.TestScript) {
	if s.setup == nil {
		ts.Fatalf("no set-up; run the command start first")
	}
}
