package scene

import (
	"context"
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/admin"
	"magnoliaspoke.example/spoke/ready"
)

type (
	// condition reports whether it holds, whether this result is final, and what was observed.
	condition func() (holds, settled bool, seen string)

	// expectation describes a kind of condition; build creates the condition from the arguments
	// after the name of the kind.
	expectation struct {
		usage   string
		minArgs int
		// neverSettles makes ! expect check the condition only once, because its result may never
		// become final.
		neverSettles bool
		build        func(s *scenario, args []string) (condition, error)
	}
)

var expectations = map[string]expectation{
	"status":  {"expect status NAME CODE", 2, false, (*scenario).expectStatus},
	"body":    {"expect body NAME PATTERN", 2, false, (*scenario).expectBody},
	"header":  {"expect header NAME HEADER PATTERN", 3, false, (*scenario).expectHeader},
	"broken":  {"expect broken NAME", 1, false, (*scenario).expectBroken},
	"done":    {"expect done NAME", 1, false, (*scenario).expectDone},
	"pending": {"expect pending NAME", 1, false, (*scenario).expectPending},
	"log":     {"expect log PROCESS PATTERN", 2, true, (*scenario).expectLog},
	"running": {"expect running PROCESS", 1, false, (*scenario).expectRunning},
	"exit":    {"expect exit PROCESS CODE", 2, false, (*scenario).expectExit},
	"ticket":  {"expect ticket NUMBER [HOST...]", 1, true, (*scenario).expectTicket},
	"ready":   {"expect ready HOST", 1, true, (*scenario).expectReady},

	"whole":      {"expect whole NAME", 1, false, (*scenario).expectWhole},
	"tokens":     {"expect tokens NAME LEAST", 2, false, (*scenario).expectTokens},
	"unfinished": {"expect unfinished NAME", 1, false, (*scenario).expectUnfinished},
	"cached":     {"expect cached NAME TOKENS", 2, false, (*scenario).expectCached},
	"refused":    {"expect refused NAME CODE OUTCOME", 3, false, (*scenario).expectRefused},
	"runs":       {"expect runs KEY COUNT", 2, true, (*scenario).expectRuns},
	"ran":        {"expect ran STANDIN COUNT", 2, true, (*scenario).expectRan},
	"ended":      {"expect ended ENGINES", 1, true, (*scenario).expectEnded},
	"served":     {"expect served FLOW LEAST", 2, true, (*scenario).expectServed},
	"open":       {"expect open HOST LEAST", 2, true, (*scenario).expectOpen},
	"written":    {"expect written LEAST", 1, true, (*scenario).expectWritten},
	"loaded":     {"expect loaded VERSION [ENGINE...]", 1, true, (*scenario).expectLoaded},
	"busy":       {"expect busy STORE", 1, true, (*scenario).expectBusy},
	"events":     {"expect events HOST KIND LEAST", 3, true, (*scenario).expectEvents},
	"event":      {"expect event HOST KIND [PATTERN]", 2, true, (*scenario).expectEvent},
}

// expect waits until a condition holds. With !, it waits until the result is final and fails if
// the condition held meanwhile; a condition with neverSettles is checked once.
func (s *scenario) expect(ts *testscript.TestScript, neg bool, args []string) {
	checkArgs(ts, args, 1, math.MaxInt, "expect CONDITION ARGUMENTS...")
	s.requireSetup(ts)
	spec, ok := expectations[args[0]]
	if !ok {
		ts.Fatalf("unknown condition %q", args[0])
	}
	checkArgs(ts, args[1:], spec.minArgs, math.MaxInt, spec.usage)
	for i, name := range args {
		if target, ok := s.aliases[name]; ok {
			args[i] = target
		}
	}
	evaluate, err := spec.build(s, args[1:])
	ts.Check(err)
	if !neg {
		ts.Check(eris.Wrap(s.await(func() (bool, string) {
			met, settled, seen := evaluate()
			if !met && settled {
				ts.Fatalf("%s: %s", strings.Join(args, " "), seen)
			}
			return met, seen
		}), strings.Join(args, " ")))
		return
	}
	ts.Check(eris.Wrap(s.await(func() (bool, string) {
		met, settled, seen := evaluate()
		if met {
			ts.Fatalf("%s, which must not be: %s", strings.Join(args, " "), seen)
		}
		return settled || spec.neverSettles, seen
	}), strings.Join(args, " ")))
}

// within waits like expect and fails if the wait took longer than the duration.
func (s *scenario) within(ts *testscript.TestScript, neg bool, args []string) {
	checkArgs(ts, args, 2, math.MaxInt, "within DURATION CONDITION ARGUMENTS...")
	limit, err := time.ParseDuration(args[0])
	ts.Check(err)
	started := time.Now()
	s.expect(ts, neg, args[1:])
	elapsed := time.Since(started).Round(time.Millisecond)
	ts.Logf("measured: %s after %v, limit %v", strings.Join(args[1:], " "), elapsed, limit)
	if elapsed > limit {
		ts.Fatalf("%s took %v, limit %v", strings.Join(args[1:], " "), elapsed, limit)
	}
}

// setWaitTimeout implements the command patience: it sets the bound of later waits, for effects
// that occur only after long timeouts of the product.
func (s *scenario) setWaitTimeout(ts *testscript.TestScript, _ bool, args []string) {
	checkArgs(ts, args, 1, 1, "patience DURATION")
	limit, err := time.ParseDuration(args[0])
	ts.Check(err)
	s.waitTimeout = limit
}

func (s *scenario) exchange(name string) (*exchange, error) {
	current, ok := s.requests[name]
	if !ok {
		return nil, eris.Errorf("no request %q was sent", name)
	}
	return current, nil
}

// answerCondition returns a condition on the answer of a request, which settles when the answer
// ends.
func (s *scenario) answerCondition(name string, holds func(progress) bool) (condition, error) {
	current, err := s.exchange(name)
	return func() (bool, bool, string) {
		state := current.progress()
		return holds(state), state.done, state.String()
	}, err
}

func (s *scenario) expectStatus(args []string) (condition, error) {
	code, err := strconv.Atoi(args[1])
	if err != nil {
		return nil, eris.Wrap(err, "status")
	}
	return s.answerCondition(args[0], func(state progress) bool { return state.status == code })
}

func (s *scenario) expectBody(args []string) (condition, error) {
	pattern, err := regexp.Compile(args[1])
	if err != nil {
		return nil, eris.Wrap(err, "pattern")
	}
	return s.answerCondition(args[0], func(state progress) bool { return pattern.MatchString(state.body) })
}

func (s *scenario) expectHeader(args []string) (condition, error) {
	pattern, err := regexp.Compile(args[2])
	if err != nil {
		return nil, eris.Wrap(err, "pattern")
	}
	return s.answerCondition(args[0], func(state progress) bool {
		return state.status != 0 && pattern.MatchString(state.header.Get(args[1]))
	})
}

func (s *scenario) expectBroken(args []string) (condition, error) {
	return s.answerCondition(args[0], func(state progress) bool { return state.done && state.err != nil })
}

func (s *scenario) expectDone(args []string) (condition, error) {
	return s.answerCondition(args[0], func(state progress) bool { return state.done && state.err == nil })
}

// expectPending settles at once, because the answer may never end.
func (s *scenario) expectPending(args []string) (condition, error) {
	current, err := s.exchange(args[0])
	return func() (bool, bool, string) {
		state := current.progress()
		return !state.done, true, state.String()
	}, err
}

func (s *scenario) expectLog(args []string) (condition, error) {
	process, err := s.setup.Process(args[0])
	if err != nil {
		return nil, err
	}
	pattern, err := regexp.Compile(args[1])
	return func() (bool, bool, string) {
		text, err := process.Log()
		return err == nil && pattern.MatchString(text), !process.Running(), process.LogTail()
	}, eris.Wrap(err, "pattern")
}

// expectRunning settles at once: an ended process does not restart by itself, and a running one
// may never end.
func (s *scenario) expectRunning(args []string) (condition, error) {
	process, err := s.setup.Process(args[0])
	return func() (bool, bool, string) { return process.Running(), true, "process has ended" }, err
}

func (s *scenario) expectExit(args []string) (condition, error) {
	process, err := s.setup.Process(args[0])
	if err != nil {
		return nil, err
	}
	code, err := strconv.Atoi(args[1])
	return func() (bool, bool, string) {
		if process.Running() {
			return false, false, "process is running"
		}
		got, err := process.ExitCode(s.ctx)
		return err == nil && got == code, true, fmt.Sprintf("exit code %d, %v", got, err)
	}, eris.Wrap(err, "exit code")
}

// expectTicket holds when the named hosts, or all running ones, report the ticket as in force.
func (s *scenario) expectTicket(args []string) (condition, error) {
	number, err := strconv.ParseUint(args[0], 10, 64)
	hosts := args[1:]
	if len(hosts) == 0 {
		hosts = s.runningHosts()
	}
	return func() (bool, bool, string) {
		for _, host := range hosts {
			status, err := s.statusOf(host)
			if err != nil || uint64(status.Host.Number) != number {
				return false, false, fmt.Sprintf("host %s has ticket %d in force, %v", host, status.Host.Number, err)
			}
		}
		return true, false, fmt.Sprintf("ticket %d is in force", number)
	}, eris.Wrap(err, "ticket number")
}

func (s *scenario) expectReady(args []string) (condition, error) {
	return func() (bool, bool, string) {
		status, err := s.statusOf(args[0])
		return err == nil && status.Host.Ready, false, fmt.Sprintf("ready is %t, %v", status.Host.Ready, err)
	}, nil
}

func (s *scenario) runningHosts() []string {
	var running []string
	for _, host := range s.setup.Hosts() {
		if process, err := s.setup.Process(host); err == nil && process.Running() {
			running = append(running, host)
		}
	}
	return running
}

func (s *scenario) statusOf(host string) (spoke.Status, error) {
	client, err := s.admin(host)
	if err != nil {
		return spoke.Status{}, err
	}
	ctx, cancel := context.WithTimeout(s.ctx, stepTimeout)
	defer cancel()
	return client.Status(ctx)
}

func (s *scenario) admin(host string) (*admin.Client, error) {
	address, err := s.address(host, ready.Admin)
	return admin.NewClient(address, s.setup.Plan().AdminKey), err
}

// String describes the answer for messages, with at most 500 characters of the body.
func (p progress) String() string {
	const shown = 500
	return fmt.Sprintf("status %d, ended %t, error %v, body %.*q", p.status, p.done, p.err, shown, p.body)
}
