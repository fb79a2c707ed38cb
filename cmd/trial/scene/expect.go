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
	// condition reports whether something holds, whether that can still change, and what
	// was seen.
	condition func() (holds, settled bool, seen string)

	// expectation builds a condition from the arguments after its name.
	expectation struct {
		usage string
		least int
		// open says that the condition may always change, so that its absence is checked now.
		open  bool
		build func(s *stage, args []string) (condition, error)
	}
)

var expectations = map[string]expectation{
	"status":  {"expect status NAME CODE", 2, false, (*stage).expectStatus},
	"body":    {"expect body NAME PATTERN", 2, false, (*stage).expectBody},
	"header":  {"expect header NAME HEADER PATTERN", 3, false, (*stage).expectHeader},
	"broken":  {"expect broken NAME", 1, false, (*stage).expectBroken},
	"done":    {"expect done NAME", 1, false, (*stage).expectDone},
	"pending": {"expect pending NAME", 1, false, (*stage).expectPending},
	"log":     {"expect log PROCESS PATTERN", 2, true, (*stage).expectLog},
	"running": {"expect running PROCESS", 1, false, (*stage).expectRunning},
	"exit":    {"expect exit PROCESS CODE", 2, false, (*stage).expectExit},
	"ticket":  {"expect ticket NUMBER [HOST...]", 1, true, (*stage).expectTicket},
	"ready":   {"expect ready HOST", 1, true, (*stage).expectReady},

	"whole":      {"expect whole NAME", 1, false, (*stage).expectWhole},
	"tokens":     {"expect tokens NAME LEAST", 2, false, (*stage).expectTokens},
	"unfinished": {"expect unfinished NAME", 1, false, (*stage).expectUnfinished},
	"cached":     {"expect cached NAME TOKENS", 2, false, (*stage).expectCached},
	"refused":    {"expect refused NAME CODE OUTCOME", 3, false, (*stage).expectRefused},
	"runs":       {"expect runs KEY COUNT", 2, true, (*stage).expectRuns},
	"ran":        {"expect ran STANDIN COUNT", 2, true, (*stage).expectRan},
	"ended":      {"expect ended ENGINES", 1, true, (*stage).expectEnded},
	"served":     {"expect served FLOW LEAST", 2, true, (*stage).expectServed},
	"open":       {"expect open HOST LEAST", 2, true, (*stage).expectOpen},
	"written":    {"expect written LEAST", 1, true, (*stage).expectWritten},
	"loaded":     {"expect loaded VERSION [ENGINE...]", 1, true, (*stage).expectLoaded},
	"busy":       {"expect busy STORE", 1, true, (*stage).expectBusy},
	"event":      {"expect event HOST KIND [PATTERN]", 2, true, (*stage).expectEvent},
}

// expect waits until a condition holds. With !, it waits until the condition can no
// longer change and must not hold; for one that can always change, it must not hold now.
func (s *stage) expect(ts *testscript.TestScript, neg bool, args []string) {
	want(ts, args, 1, math.MaxInt, "expect CONDITION ARGUMENTS...")
	s.needSetup(ts)
	kind, ok := expectations[args[0]]
	if !ok {
		ts.Fatalf("unknown condition %q", args[0])
	}
	want(ts, args[1:], kind.least, math.MaxInt, kind.usage)
	for i, name := range args {
		if real, ok := s.aliases[name]; ok {
			args[i] = real
		}
	}
	holds, err := kind.build(s, args[1:])
	ts.Check(err)
	if !neg {
		ts.Check(eris.Wrap(s.await(func() (bool, string) {
			met, settled, seen := holds()
			if !met && settled {
				ts.Fatalf("%s: %s", strings.Join(args, " "), seen)
			}
			return met, seen
		}), strings.Join(args, " ")))
		return
	}
	ts.Check(eris.Wrap(s.await(func() (bool, string) {
		met, settled, seen := holds()
		if met {
			ts.Fatalf("%s, which must not be: %s", strings.Join(args, " "), seen)
		}
		return settled || kind.open, seen
	}), strings.Join(args, " ")))
}

// within waits as expect does and fails if a condition holds later than after the duration.
func (s *stage) within(ts *testscript.TestScript, neg bool, args []string) {
	want(ts, args, 2, math.MaxInt, "within DURATION CONDITION ARGUMENTS...")
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

// setPatience bounds the waits that follow, for what the product does only after long limits.
func (s *stage) setPatience(ts *testscript.TestScript, _ bool, args []string) {
	want(ts, args, 1, 1, "patience DURATION")
	limit, err := time.ParseDuration(args[0])
	ts.Check(err)
	s.patience = limit
}

func (s *stage) exchange(name string) (*exchange, error) {
	current, ok := s.requests[name]
	if !ok {
		return nil, eris.Errorf("no request %q was sent", name)
	}
	return current, nil
}

// watch builds a condition on the answer of a request, which settles when the answer ends.
func (s *stage) watch(name string, holds func(progress) bool) (condition, error) {
	current, err := s.exchange(name)
	return func() (bool, bool, string) {
		now := current.progress()
		return holds(now), now.done, now.String()
	}, err
}

func (s *stage) expectStatus(args []string) (condition, error) {
	code, err := strconv.Atoi(args[1])
	if err != nil {
		return nil, eris.Wrap(err, "status")
	}
	return s.watch(args[0], func(now progress) bool { return now.status == code })
}

func (s *stage) expectBody(args []string) (condition, error) {
	pattern, err := regexp.Compile(args[1])
	if err != nil {
		return nil, eris.Wrap(err, "pattern")
	}
	return s.watch(args[0], func(now progress) bool { return pattern.MatchString(now.body) })
}

func (s *stage) expectHeader(args []string) (condition, error) {
	pattern, err := regexp.Compile(args[2])
	if err != nil {
		return nil, eris.Wrap(err, "pattern")
	}
	return s.watch(args[0], func(now progress) bool {
		return now.status != 0 && pattern.MatchString(now.header.Get(args[1]))
	})
}

func (s *stage) expectBroken(args []string) (condition, error) {
	return s.watch(args[0], func(now progress) bool { return now.done && now.err != nil })
}

func (s *stage) expectDone(args []string) (condition, error) {
	return s.watch(args[0], func(now progress) bool { return now.done && now.err == nil })
}

// expectPending is settled at once, because the answer may never end.
func (s *stage) expectPending(args []string) (condition, error) {
	current, err := s.exchange(args[0])
	return func() (bool, bool, string) {
		now := current.progress()
		return !now.done, true, now.String()
	}, err
}

func (s *stage) expectLog(args []string) (condition, error) {
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

// expectRunning is settled at once: a process that ended does not come back by itself, and
// one that runs may run for good.
func (s *stage) expectRunning(args []string) (condition, error) {
	process, err := s.setup.Process(args[0])
	return func() (bool, bool, string) { return process.Running(), true, "process has ended" }, err
}

func (s *stage) expectExit(args []string) (condition, error) {
	process, err := s.setup.Process(args[0])
	if err != nil {
		return nil, err
	}
	code, err := strconv.Atoi(args[1])
	return func() (bool, bool, string) {
		if process.Running() {
			return false, false, "process runs"
		}
		got, err := process.ExitCode(s.ctx)
		return err == nil && got == code, true, fmt.Sprintf("exit code %d, %v", got, err)
	}, eris.Wrap(err, "exit code")
}

// expectTicket asks the named hosts, or all running ones, for the ticket in force.
func (s *stage) expectTicket(args []string) (condition, error) {
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

func (s *stage) expectReady(args []string) (condition, error) {
	return func() (bool, bool, string) {
		status, err := s.statusOf(args[0])
		return err == nil && status.Host.Ready, false, fmt.Sprintf("ready is %t, %v", status.Host.Ready, err)
	}, nil
}

func (s *stage) runningHosts() []string {
	var running []string
	for _, host := range s.setup.Hosts() {
		if process, err := s.setup.Process(host); err == nil && process.Running() {
			running = append(running, host)
		}
	}
	return running
}

func (s *stage) statusOf(host string) (spoke.Status, error) {
	client, err := s.admin(host)
	if err != nil {
		return spoke.Status{}, err
	}
	ctx, cancel := context.WithTimeout(s.ctx, stepLimit)
	defer cancel()
	return client.Status(ctx)
}

func (s *stage) admin(host string) (*admin.Client, error) {
	address, err := s.address(host, ready.Admin)
	return admin.NewClient(address, s.setup.Plan().AdminKey), err
}

// String shows an answer in messages.
func (p progress) String() string {
	const shown = 500
	return fmt.Sprintf("status %d, ended %t, error %v, body %.*q", p.status, p.done, p.err, shown, p.body)
}
