package cases

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cmd/trial/plans"
	"magnoliaspoke.example/spoke/cmd/trial/setup"
	"magnoliaspoke.example/spoke/fleet"
)

const (
	phase = 5 * time.Second
	// settle lets queues and rates of the phase before run out.
	settle = time.Second
)

type (
	// Suite runs cases for one user and seed.
	Suite struct {
		User   plans.User
		Seed   uint64
		Report *Report
		// Baselines runs the baselines beside the system in the cases that compare decisions.
		Baselines bool
		Log       func(format string, args ...any)
	}

	// Case is one measured case.
	Case struct {
		Name string
		Run  func(s *Suite, ctx context.Context) error
	}
)

// All lists the cases in the order in which they run.
func All() []Case {
	return []Case{
		{"return", (*Suite).returning},
		{"flood-batch", (*Suite).floodOfBatch},
		{"flood-urgent", (*Suite).floodOfUrgent},
		{"fairness", (*Suite).fairness},
		{"store-faults", (*Suite).storeFaults},
		{"engine-dies", (*Suite).engineDies},
		{"host-dies", (*Suite).hostDies},
		{"platform-out", (*Suite).platformOut},
		{"overload", (*Suite).overload},
	}
}

// within starts a plan, runs a function with its traffic and ends the plan.
func (s *Suite) within(ctx context.Context, plan fleet.Plan, measure func(*traffic) error) error {
	session, err := setup.Start(ctx, plan)
	if err != nil {
		return err
	}
	defer session.Close()
	t, err := newTraffic(session, s.Seed)
	if err != nil {
		return err
	}
	s.delayLinks(session)
	return measure(t)
}

// delayLinks sets the one-way delay between data centres.
func (s *Suite) delayLinks(session *setup.Session) {
	centres := session.Fleet.Plan().DataCentres
	for i := range centres {
		for j := i + 1; j < len(centres); j++ {
			if link, err := session.Fleet.Link(string(centres[i].ID), string(centres[j].ID)); err == nil {
				link.Delay(s.User.Distance)
			}
		}
	}
}

func (s *Suite) add(name, figure string, value float64, bound Bound, target float64, measured, baseline string) {
	s.Report.Rows = append(s.Report.Rows, Row{
		Case: name, User: s.User.Name, Name: figure, Seed: s.Seed, Value: value,
		Bound: bound, Target: target, Measured: measured, Baseline: baseline,
	})
	s.Log("%s seed %d %s: %s %.3g (%s; %s)\n", s.User.Name, s.Seed, name, figure, value, measured, baseline)
}

// requestCost is the time for which one small request occupies an engine's prefill.
func (s *Suite) requestCost() float64 {
	return float64(spoke.PieceTokens) / s.User.PrefillRate
}

// capacity is the rate of small requests that all engines prefill together, in
// requests per second.
func (s *Suite) capacity() float64 {
	return float64(s.User.Engines) / s.requestCost()
}

func checkBroken(name string, samples Samples) error {
	broken := samples.Broken()
	if len(broken) == 0 {
		return nil
	}
	return eris.Errorf("%s: %d of %d answers are neither whole nor refused, the first: %v", name, len(broken), len(samples), broken[0].Answer.Err)
}

func targets() map[spoke.RankName]time.Duration {
	found := make(map[spoke.RankName]time.Duration)
	for _, object := range plans.Objects(0) {
		if rank, ok := object.(spoke.Rank); ok {
			found[rank.Name] = rank.FirstTokenTarget
		}
	}
	return found
}

func inMilliseconds(value float64) string { return fmt.Sprintf("%.0f ms", value) }
