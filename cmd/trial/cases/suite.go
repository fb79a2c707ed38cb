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
	phaseDuration = 5 * time.Second
	// settleTime is the pause between phases, in which queues drain and rate estimates decay.
	settleTime = time.Second
)

type (
	// Suite runs cases for one installation and seed.
	Suite struct {
		Installation plans.Installation
		Seed         uint64
		Report       *Report
		// Baselines also measures the baseline policies, in the cases that compare policies.
		Baselines bool
		Log       func(format string, args ...any)
	}

	// Case is a named case of the benchmark.
	Case struct {
		Name string
		Run  func(s *Suite, ctx context.Context) error
	}
)

// All lists the cases in the order in which they run.
func All() []Case {
	return []Case{
		{"return", (*Suite).promptReuse},
		{"flood-batch", (*Suite).floodOfBatch},
		{"flood-urgent", (*Suite).floodOfUrgent},
		{"fairness", (*Suite).fairness},
		{"store-faults", (*Suite).storeFaults},
		{"engine-dies", (*Suite).engineCrash},
		{"host-dies", (*Suite).hostCrash},
		{"platform-out", (*Suite).platformOut},
		{"overload", (*Suite).overload},
	}
}

// withTraffic starts a set-up, calls measure with a traffic generator for it, and stops the set-up.
func (s *Suite) withTraffic(ctx context.Context, plan fleet.Plan, measure func(*trafficGenerator) error) error {
	session, err := setup.Start(ctx, plan)
	if err != nil {
		return err
	}
	defer session.Close()
	t, err := newTrafficGenerator(session, s.Seed)
	if err != nil {
		return err
	}
	s.delayLinks(session)
	return measure(t)
}

// delayLinks sets the one-way delay of all links between data centres.
func (s *Suite) delayLinks(session *setup.Session) {
	centres := session.Fleet.Plan().DataCentres
	for i := range centres {
		for j := i + 1; j < len(centres); j++ {
			if link, err := session.Fleet.Link(string(centres[i].ID), string(centres[j].ID)); err == nil {
				link.Delay(s.Installation.LinkDelay)
			}
		}
	}
}

func (s *Suite) addRow(name, figure string, value float64, bound Bound, target float64, measured, baseline string) {
	s.Report.Rows = append(s.Report.Rows, Row{
		Case: name, Installation: s.Installation.Name, Name: figure, Seed: s.Seed, Value: value,
		Bound: bound, Target: target, Measured: measured, Baseline: baseline,
	})
	s.Log("%s seed %d %s: %s %.3g (%s; %s)\n", s.Installation.Name, s.Seed, name, figure, value, measured, baseline)
}

// requestCost returns the time in seconds for which one small request occupies an engine's prefill.
func (s *Suite) requestCost() float64 {
	return float64(spoke.PieceTokens) / s.Installation.PrefillRate
}

// capacity returns the total rate at which the engines prefill small requests, in requests
// per second.
func (s *Suite) capacity() float64 {
	return float64(s.Installation.Engines) / s.requestCost()
}

func checkNoneFailed(name string, samples Samples) error {
	failed := samples.Failed()
	if len(failed) == 0 {
		return nil
	}
	return eris.Errorf("%s: %d of %d requests were neither answered completely nor refused; first error: %v", name, len(failed), len(samples), failed[0].Answer.Err)
}

func firstTokenTargets() map[spoke.RankName]time.Duration {
	found := make(map[spoke.RankName]time.Duration)
	for _, object := range plans.Objects(0) {
		if rank, ok := object.(spoke.Rank); ok {
			found[rank.Name] = rank.FirstTokenTarget
		}
	}
	return found
}

func formatMilliseconds(value float64) string { return fmt.Sprintf("%.0f ms", value) }
