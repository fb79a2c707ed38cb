package scene

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/fleet"
)

// pollInterval is the interval at which ticket numbers in force are read and bookings are retried.
const pollInterval = 100 * time.Millisecond

// numberTracker records the highest ticket number that each host has reported and the first
// decrease. A restarted host may report none until it has a configuration, but never a lower one.
type numberTracker struct {
	mu         sync.Mutex
	highest    map[string]spoke.TicketNumber
	regression error
}

func (n *numberTracker) observe(host string, number spoke.TicketNumber) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if number > 0 && number < n.highest[host] && n.regression == nil {
		n.regression = eris.Errorf("host %s reported ticket %d after ticket %d", host, number, n.highest[host])
	}
	n.highest[host] = max(n.highest[host], number)
}

func (n *numberTracker) err() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.regression
}

// trackTicketNumbers polls the ticket numbers of all hosts until the scenario ends and skips hosts
// that do not answer.
func (s *scenario) trackTicketNumbers() {
	for _, host := range s.setup.Hosts() {
		go func() {
			ticks := time.NewTicker(pollInterval)
			defer ticks.Stop()
			for {
				select {
				case <-ticks.C:
					s.readTicketNumber(host)
				case <-s.ctx.Done():
					return
				}
			}
		}()
	}
}

func (s *scenario) readTicketNumber(host string) {
	ctx, cancel := context.WithTimeout(s.ctx, time.Second)
	defer cancel()
	client, err := s.admin(host)
	if err != nil {
		return
	}
	if status, err := client.Status(ctx); err == nil {
		s.ticketNumbers.observe(host, status.Host.Number)
	}
}

// configure submits the first ticket, waits until every host has it in force and lists all upstreams
// as owned and alive with a known load, and starts to track ticket numbers.
func (s *scenario) configure(ts *testscript.TestScript, _ bool, args []string) {
	checkArgs(ts, args, 0, 0, "configure")
	s.requireSetup(ts)
	text, err := s.ticketText(ts, firstTicketWord)
	ts.Check(err)
	client, err := s.admin(s.setup.Hosts()[0])
	ts.Check(err)
	_, err = client.Submit(s.ctx, text)
	ts.Check(err)
	ts.Check(s.await(func() (bool, string) {
		for _, host := range s.setup.Hosts() {
			if status, err := s.statusOf(host); err != nil || !isServing(status) {
				return false, fmt.Sprintf("host %s does not list all upstreams as owned and alive: %v", host, err)
			}
		}
		return true, ""
	}))
	s.trackTicketNumbers()
}

func isServing(status spoke.Status) bool {
	for _, view := range status.Upstreams {
		if view.Owner == "" || view.Load.Dead || view.Load.AsOf.IsZero() {
			return false
		}
	}
	return status.Host.Number >= firstTicket
}

// audit waits until all requests have ended and checks the invariants of every scenario:
// complete answers have the expected text, refusals with the outcome not-run are true, no
// attempt ran twice at plain stand-ins, no key ran more than once per workspace, no run used blocks
// of another version or workspace, and no host went back to an older ticket.
func (s *scenario) audit(ts *testscript.TestScript, _ bool, args []string) {
	checkArgs(ts, args, 0, 0, "audit")
	s.requireSetup(ts)
	for name, current := range s.requests {
		ts.Check(eris.Wrap(s.await(func() (bool, string) {
			state := current.progress()
			return state.done, state.String()
		}), name))
		ts.Check(eris.Wrap(s.auditRequest(current), name))
	}
	attempts, err := s.plainRunsByAttempt()
	ts.Check(err)
	for attempt, times := range attempts {
		if times > 1 {
			ts.Fatalf("attempt %s ran %d times", attempt, times)
		}
	}
	ts.Check(s.auditKeys())
	ts.Check(s.auditBlocks())
	ts.Check(s.ticketNumbers.err())
}

func (s *scenario) auditRequest(current *exchange) error {
	state := current.progress()
	if current.ask != nil && state.err == nil && state.status == http.StatusOK {
		if answer := state.answer(*current.ask); !answer.IsServed() {
			return eris.Errorf("the answer ended without an error and is not complete: %s", describeCheck(answer))
		}
	}
	return s.checkNotRun(state)
}

// auditKeys checks that no key ran more often than the number of workspaces that sent it.
func (s *scenario) auditKeys() error {
	senders := make(map[string]map[string]bool)
	for _, current := range s.requests {
		if current.key == "" {
			continue
		}
		if senders[current.key] == nil {
			senders[current.key] = make(map[string]bool)
		}
		senders[current.key][current.credential] = true
	}
	for key, workspaces := range senders {
		got, err := s.runsOfKey(key)
		if err != nil {
			return err
		}
		if got > len(workspaces) {
			return eris.Errorf("key %s of %d workspaces ran %d times", key, len(workspaces), got)
		}
	}
	return nil
}

// auditBlocks checks that runs used only cached blocks of their own version and salt.
func (s *scenario) auditBlocks() error {
	var mismatch error
	err := eachCounter(s, fleet.KindEngine, "/counters", func(counters engineRuns) {
		for _, run := range counters.Runs {
			for i, version := range run.BlockVersions {
				if version != run.Version || run.BlockSalts[i] != run.Salt {
					mismatch = eris.Errorf("attempt %s of version %s used a block of version %s, salts %s and %s",
						run.Attempt, run.Version, version, run.Salt, run.BlockSalts[i])
				}
			}
		}
	})
	return errors.Join(err, mismatch)
}

func (s *scenario) plainRunsByAttempt() (map[string]int, error) {
	result := make(map[string]int)
	err := eachCounter(s, fleet.KindPlain, "/runs", func(runs plainRuns) {
		for attempt, times := range runs.ByAttempt {
			result[attempt] += times
		}
	})
	return result, err
}
