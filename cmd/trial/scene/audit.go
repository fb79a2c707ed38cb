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

// numberPeriod is the period at which the numbers in force are read.
const numberPeriod = 100 * time.Millisecond

// numbers remembers the highest ticket that each host has shown. A restarted host may show
// none until it has a configuration, but never a lower one.
type numbers struct {
	mu      sync.Mutex
	highest map[string]spoke.TicketNumber
	fallen  error
}

func (n *numbers) note(host string, number spoke.TicketNumber) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if number > 0 && number < n.highest[host] && n.fallen == nil {
		n.fallen = eris.Errorf("host %s showed ticket %d after ticket %d", host, number, n.highest[host])
	}
	n.highest[host] = max(n.highest[host], number)
}

func (n *numbers) err() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fallen
}

// followNumbers reads the numbers of all running hosts until the scenario ends.
func (s *stage) followNumbers() {
	for _, host := range s.setup.Hosts() {
		go func() {
			ticks := time.NewTicker(numberPeriod)
			defer ticks.Stop()
			for {
				select {
				case <-ticks.C:
					s.readNumber(host)
				case <-s.ctx.Done():
					return
				}
			}
		}()
	}
}

func (s *stage) readNumber(host string) {
	ctx, cancel := context.WithTimeout(s.ctx, time.Second)
	defer cancel()
	client, err := s.admin(host)
	if err != nil {
		return
	}
	if status, err := client.Status(ctx); err == nil {
		s.numbers.note(host, status.Host.Number)
	}
}

// configure submits the first ticket and waits until every host sees all upstreams.
func (s *stage) configure(ts *testscript.TestScript, _ bool, args []string) {
	want(ts, args, 0, 0, "configure")
	s.needSetup(ts)
	text, err := s.ticketText(ts, firstWord)
	ts.Check(err)
	client, err := s.admin(s.setup.Hosts()[0])
	ts.Check(err)
	_, err = client.Submit(s.ctx, text)
	ts.Check(err)
	ts.Check(s.await(func() (bool, string) {
		for _, host := range s.setup.Hosts() {
			if status, err := s.statusOf(host); err != nil || !isServing(status) {
				return false, fmt.Sprintf("host %s does not see all upstreams: %v", host, err)
			}
		}
		return true, ""
	}))
	s.followNumbers()
}

func isServing(status spoke.Status) bool {
	for _, view := range status.Upstreams {
		if view.Owner == "" || view.Load.Dead || view.Load.AsOf.IsZero() {
			return false
		}
	}
	return status.Host.Number >= firstTicket
}

// audit waits for the end of all requests and checks what holds in every scenario: whole
// answers have the right text, refusals that say not-run are true, no attempt and no key of
// one workspace ran twice, no run used blocks of another version or workspace, and no host
// went back to an older ticket.
func (s *stage) audit(ts *testscript.TestScript, _ bool, args []string) {
	want(ts, args, 0, 0, "audit")
	s.needSetup(ts)
	for name, current := range s.requests {
		ts.Check(eris.Wrap(s.await(func() (bool, string) {
			now := current.progress()
			return now.done, now.String()
		}), name))
		ts.Check(eris.Wrap(s.auditRequest(current), name))
	}
	attempts, err := s.plainAttempts()
	ts.Check(err)
	for attempt, times := range attempts {
		if times > 1 {
			ts.Fatalf("attempt %s ran %d times", attempt, times)
		}
	}
	ts.Check(s.auditKeys())
	ts.Check(s.auditBlocks())
	ts.Check(s.numbers.err())
}

func (s *stage) auditRequest(current *exchange) error {
	now := current.progress()
	if current.ask != nil && now.err == nil && now.status == http.StatusOK {
		if answer := now.answer(*current.ask); !answer.IsServed() {
			return eris.Errorf("the answer looks complete and is not: %s", checked(answer))
		}
	}
	return s.truthful(now)
}

// auditKeys allows one run of a key for each workspace that sent it.
func (s *stage) auditKeys() error {
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

// auditBlocks compares the cached blocks that runs used with their version and salt.
func (s *stage) auditBlocks() error {
	var wrong error
	err := count(s, fleet.KindEngine, "/counters", func(counted engineRuns) {
		for _, run := range counted.Runs {
			for i, version := range run.BlockVersions {
				if version != run.Version || run.BlockSalts[i] != run.Salt {
					wrong = eris.Errorf("attempt %s of version %s used a block of version %s, salts %s and %s",
						run.Attempt, run.Version, version, run.Salt, run.BlockSalts[i])
				}
			}
		}
	})
	return errors.Join(err, wrong)
}

func (s *stage) plainAttempts() (map[string]int, error) {
	result := make(map[string]int)
	err := count(s, fleet.KindPlain, "/runs", func(runs plainRuns) {
		for attempt, times := range runs.ByAttempt {
			result[attempt] += times
		}
	})
	return result, err
}
