package scene

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cmd/trial/plans"
	"magnoliaspoke.example/spoke/fleet"
)

// insist repeats a booking while it is refused with the code in-progress or platform-unavailable, as
// callers that follow retry hints do, and fails if that lasts longer than stepTimeout.
func (s *scenario) insist(ts *testscript.TestScript, _ bool, args []string) {
	checkArgs(ts, args, 3, 4, "insist NAME HOST KEY [workspace=N]")
	s.requireSetup(ts)
	limit := time.Now().Add(stepTimeout)
	for try := 1; ; try++ {
		name := fmt.Sprintf("%s-%d", args[0], try)
		s.book(ts, false, append([]string{name}, args[1:]...))
		current := s.requests[name]
		ts.Check(s.await(func() (bool, string) {
			state := current.progress()
			return state.done, state.String()
		}))
		state := current.progress()
		refusal := state.refusal()
		if refusal == nil || (refusal.Code != spoke.CodeInProgress && refusal.Code != spoke.CodePlatformUnavailable) {
			s.requests[args[0]] = current
			return
		}
		if time.Now().After(limit) {
			ts.Fatalf("no final answer after %d attempts: %s", try, state)
		}
		s.pause()
	}
}

// pause waits pollInterval between the attempts of insist, which is shorter than the retry hint.
func (s *scenario) pause() {
	tick := time.NewTimer(pollInterval)
	defer tick.Stop()
	select {
	case <-tick.C:
	case <-s.ctx.Done():
	}
}

// race submits tickets concurrently. At least the given number must be accepted, and the others
// must be refused with the code. If the minimum is 1 and the code is conflict, the tickets have the
// same number and exactly one must be accepted.
func (s *scenario) race(ts *testscript.TestScript, _ bool, args []string) {
	const usage = "race LEAST-ACCEPTED CODE HOST FILE HOST FILE..."
	checkArgs(ts, args, 6, math.MaxInt, usage)
	s.requireSetup(ts)
	minimum, err := strconv.Atoi(args[0])
	ts.Check(eris.Wrap(err, usage))
	pairs := slices.Collect(slices.Chunk(args[2:], 2))
	results := make([]error, len(pairs))
	var group sync.WaitGroup
	for i, pair := range pairs {
		client, err := s.admin(pair[0])
		ts.Check(err)
		text, err := s.ticketText(ts, pair[1])
		ts.Check(err)
		group.Go(func() { _, results[i] = client.Submit(s.ctx, text) })
	}
	group.Wait()
	accepted := 0
	for i, err := range results {
		if err == nil {
			accepted++
			continue
		}
		ts.Logf("%s: %v", pairs[i][1], err)
		if code := codeOf(err); code != args[1] {
			ts.Fatalf("%s was refused with code %q, want %q: %v", pairs[i][1], code, args[1], err)
		}
	}
	if accepted < minimum {
		ts.Fatalf("%d tickets were accepted, want at least %d", accepted, minimum)
	}
	if minimum == 1 && args[1] == string(spoke.AdminConflict) && accepted != 1 {
		ts.Fatalf("%d tickets of one number were accepted", accepted)
	}
}

// changes submits tickets with a range of numbers one after another and retries each one while the
// platform is unavailable.
func (s *scenario) changes(ts *testscript.TestScript, _ bool, args []string) {
	const usage = "changes HOST FROM TO"
	checkArgs(ts, args, 3, 3, usage)
	s.requireSetup(ts)
	first, err := strconv.ParseUint(args[1], 10, 64)
	ts.Check(eris.Wrap(err, usage))
	last, err := strconv.ParseUint(args[2], 10, 64)
	ts.Check(eris.Wrap(err, usage))
	client, err := s.admin(args[0])
	ts.Check(err)
	for number := first; number <= last; number++ {
		change := spoke.Ticket{Number: spoke.TicketNumber(number), Author: author, Objects: []spoke.Object{spoke.Rank{
			Name: plans.RankBatch, Order: 2, FirstTokenTarget: time.Duration(number) * time.Second, Floor: 0.05, Worth: 1,
		}}}
		text, err := s.runner.codec.EncodeTicket(change)
		ts.Check(err)
		ts.Check(s.await(func() (bool, string) {
			_, err := client.Submit(s.ctx, text)
			if err != nil && codeOf(err) != string(spoke.AdminUnavailable) {
				ts.Check(err)
			}
			return err == nil, fmt.Sprint(err)
		}))
	}
}

// quiet fails if a stand-in starts a run after the duration has elapsed. It waits until the given
// number of requests of a flow has been served after that time.
func (s *scenario) quiet(ts *testscript.TestScript, _ bool, args []string) {
	checkArgs(ts, args, 4, 4, "quiet DURATION STANDIN FLOW SERVED")
	s.requireSetup(ts)
	limit, err := time.ParseDuration(args[0])
	ts.Check(err)
	name, err := s.resolve(args[1])
	ts.Check(err)
	current, ok := s.flows[args[2]]
	if !ok {
		ts.Fatalf("no flow %q", args[2])
	}
	minimum, err := strconv.Atoi(args[3])
	ts.Check(err)
	began := time.Now()
	last, lastAt, goal := 0, time.Duration(0), math.MaxInt
	ts.Check(s.await(func() (bool, string) {
		elapsed := time.Since(began)
		got, err := s.runsStarted(name)
		ts.Check(err)
		if got > last && last > 0 {
			lastAt = elapsed
		}
		last = max(last, got)
		served := int(current.served.Load())
		if elapsed > limit && goal == math.MaxInt {
			goal = served + minimum
		}
		return served >= goal, fmt.Sprintf("%d requests served, want %d", served, goal)
	}))
	ts.Logf("measured: last run at %s after %v, limit %v", name, lastAt.Round(time.Millisecond), limit)
	if lastAt > limit {
		ts.Fatalf("%s started a run %v later, limit %v", name, lastAt, limit)
	}
}

// expectOpen holds when a host has at least the given number of requests in progress.
func (s *scenario) expectOpen(args []string) (condition, error) {
	minimum, err := strconv.Atoi(args[1])
	return func() (bool, bool, string) {
		status, err := s.statusOf(args[0])
		return err == nil && status.Host.Requests >= minimum, false, fmt.Sprintf("%d requests in progress, %v", status.Host.Requests, err)
	}, eris.Wrap(err, "requests")
}

// expectWritten holds when the platform has received at least the given number of writes since its
// faults were set; a delayed write counts before it takes effect.
func (s *scenario) expectWritten(args []string) (condition, error) {
	minimum, err := strconv.ParseInt(args[0], 10, 64)
	return func() (bool, bool, string) {
		writes, err := s.platformWrites()
		return err == nil && writes-s.writeBaseline >= minimum, false, fmt.Sprintf("%d writes, %v", writes-s.writeBaseline, err)
	}, eris.Wrap(err, "writes")
}

func (s *scenario) platformWrites() (int64, error) {
	text, err := s.callStandin(http.MethodGet, fleet.PlatformName, "/calls", "")
	if err != nil {
		return 0, err
	}
	var calls platformCalls
	err = json.Unmarshal(text, &calls)
	return calls.Writes, eris.Wrap(err, "calls")
}
