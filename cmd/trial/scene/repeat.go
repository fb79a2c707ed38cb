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

// insist sends a booking again and again, as a caller does that follows retry hints, until it
// is answered or refused for good.
func (s *stage) insist(ts *testscript.TestScript, _ bool, args []string) {
	want(ts, args, 3, 4, "insist NAME HOST KEY [workspace=N]")
	s.needSetup(ts)
	limit := time.Now().Add(stepLimit)
	for try := 1; ; try++ {
		name := fmt.Sprintf("%s-%d", args[0], try)
		s.book(ts, false, append([]string{name}, args[1:]...))
		current := s.requests[name]
		ts.Check(s.await(func() (bool, string) {
			now := current.progress()
			return now.done, now.String()
		}))
		now := current.progress()
		refusal := now.refusal()
		if refusal == nil || (refusal.Code != spoke.CodeInProgress && refusal.Code != spoke.CodePlatformUnavailable) {
			s.requests[args[0]] = current
			return
		}
		if time.Now().After(limit) {
			ts.Fatalf("after %d tries: %s", try, now)
		}
		s.pause()
	}
}

// pause spaces the tries of a caller that does not wait for the whole retry hint.
func (s *stage) pause() {
	tick := time.NewTimer(numberPeriod)
	defer tick.Stop()
	select {
	case <-tick.C:
	case <-s.ctx.Done():
	}
}

// race submits tickets at the same time; the number of accepted ones must be in the given
// range, and the others must be refused with the code.
func (s *stage) race(ts *testscript.TestScript, _ bool, args []string) {
	const usage = "race LEAST-ACCEPTED CODE HOST FILE HOST FILE..."
	want(ts, args, 6, math.MaxInt, usage)
	s.needSetup(ts)
	least, err := strconv.Atoi(args[0])
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
	if accepted < least {
		ts.Fatalf("%d tickets were accepted, want at least %d", accepted, least)
	}
	if least == 1 && args[1] == string(spoke.AdminConflict) && accepted != 1 {
		ts.Fatalf("%d tickets of one number were accepted", accepted)
	}
}

// changes submits tickets with a range of numbers one after the other, each one again until
// the platform takes it.
func (s *stage) changes(ts *testscript.TestScript, _ bool, args []string) {
	const usage = "changes HOST FROM TO"
	want(ts, args, 3, 3, usage)
	s.needSetup(ts)
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

// quiet fails if a stand-in starts a run later than the duration from now, while a flow has
// the given number of requests served after that.
func (s *stage) quiet(ts *testscript.TestScript, _ bool, args []string) {
	want(ts, args, 4, 4, "quiet DURATION STANDIN FLOW SERVED")
	s.needSetup(ts)
	limit, err := time.ParseDuration(args[0])
	ts.Check(err)
	name, err := s.resolve(args[1])
	ts.Check(err)
	current, ok := s.flows[args[2]]
	if !ok {
		ts.Fatalf("no flow %q", args[2])
	}
	least, err := strconv.Atoi(args[3])
	ts.Check(err)
	began := time.Now()
	last, lastAt, goal := 0, time.Duration(0), math.MaxInt
	ts.Check(s.await(func() (bool, string) {
		elapsed := time.Since(began)
		got, err := s.started(name)
		ts.Check(err)
		if got > last && last > 0 {
			lastAt = elapsed
		}
		last = max(last, got)
		served := int(current.served.Load())
		if elapsed > limit && goal == math.MaxInt {
			goal = served + least
		}
		return served >= goal, fmt.Sprintf("%d requests served, want %d", served, goal)
	}))
	ts.Logf("measured: last run at %s after %v, limit %v", name, lastAt.Round(time.Millisecond), limit)
	if lastAt > limit {
		ts.Fatalf("%s started a run %v later, limit %v", name, lastAt, limit)
	}
}

// expectOpen holds when a host has at least the number of requests in progress.
func (s *stage) expectOpen(args []string) (condition, error) {
	least, err := strconv.Atoi(args[1])
	return func() (bool, bool, string) {
		status, err := s.statusOf(args[0])
		return err == nil && status.Host.Requests >= least, false, fmt.Sprintf("%d requests are open, %v", status.Host.Requests, err)
	}, eris.Wrap(err, "requests")
}

// expectWritten holds when the platform has begun at least the number of writes since its
// faults were set; a delayed write counts before it takes effect.
func (s *stage) expectWritten(args []string) (condition, error) {
	least, err := strconv.ParseInt(args[0], 10, 64)
	return func() (bool, bool, string) {
		writes, err := s.platformWrites()
		return err == nil && writes-s.writes >= least, false, fmt.Sprintf("%d writes, %v", writes-s.writes, err)
	}, eris.Wrap(err, "writes")
}

func (s *stage) platformWrites() (int64, error) {
	text, err := s.standin(http.MethodGet, fleet.PlatformName, "/calls", "")
	if err != nil {
		return 0, err
	}
	var calls platformCalls
	err = json.Unmarshal(text, &calls)
	return calls.Writes, eris.Wrap(err, "calls")
}
