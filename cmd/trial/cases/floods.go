package cases

import (
	"context"
	"fmt"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cmd/trial/plans"
)

const (
	floodFactor = 5
	// urgentShare is the share of capacity that urgent work asks for beside a flood.
	urgentShare = 0.1
	otherShare  = 0.2
)

func small(rank spoke.RankName, workspace int, rate float64) Flow {
	return Flow{Rank: rank, Workspace: workspace, Rate: rate, Size: spoke.PieceSize}
}

// floodOfBatch measures urgent work in a flood of the least urgent rank.
func (s *Suite) floodOfBatch(ctx context.Context) error {
	urgent := small(plans.RankUrgent, 0, urgentShare*s.capacity())
	flood := []Flow{urgent, small(plans.RankBatch, 1, floodFactor*s.capacity())}
	measured, baselines, err := s.beside(ctx, phases(phase, []Flow{urgent}, flood))
	if err != nil {
		return err
	}
	calm, ours := measured[0], measured[1].OfRank(plans.RankUrgent)
	alone, beside := calm.FirstToken(0.95), ours.Served().FirstToken(0.95)
	s.add("flood-batch", "urgent first token p95 to unloaded", beside/alone, AtMost, 1.2, inMilliseconds(beside),
		withBaseline(inMilliseconds(alone), baselines, func(b []Samples) string {
			return inMilliseconds(b[1].OfRank(plans.RankUrgent).Served().FirstToken(0.95))
		}))
	s.add("flood-batch", "urgent refused", float64(len(ours.Refused())), AtMost, 0,
		fmt.Sprintf("%d of %d", len(ours.Refused()), len(ours)), fmt.Sprintf("unloaded %d of %d", len(calm.Refused()), len(calm)))
	return nil
}

// floodOfUrgent measures what other ranks keep in a flood of the most urgent one.
func (s *Suite) floodOfUrgent(ctx context.Context) error {
	normal := small(plans.RankNormal, 0, otherShare*s.capacity())
	batch := small(plans.RankBatch, 1, otherShare*s.capacity())
	return s.within(ctx, s.User.Plan(), func(t *traffic) error {
		flooded := t.run(ctx, 2*phase, normal, batch, small(plans.RankUrgent, 2, floodFactor*s.capacity()))
		if err := checkBroken("flood of urgent", flooded); err != nil {
			return err
		}
		served := flooded.Served()
		others := len(served) - len(served.OfRank(plans.RankUrgent))
		share := float64(others) / (s.capacity() * (2 * phase).Seconds())
		s.add("flood-urgent", "share of capacity of other ranks", share, AtLeast, 0.1,
			fmt.Sprintf("%d normal, %d batch", len(served.OfRank(plans.RankNormal)), len(served.OfRank(plans.RankBatch))),
			fmt.Sprintf("%d urgent", len(served.OfRank(plans.RankUrgent))))
		return nil
	})
}

// fairness measures small workspaces beside one that asks twenty times as much.
func (s *Suite) fairness(ctx context.Context) error {
	const large = 9
	var quiet []Flow
	for workspace := range large {
		quiet = append(quiet, small(plans.RankNormal, workspace, 0.05*s.capacity()))
	}
	loud := append([]Flow{small(plans.RankNormal, large, 20*0.05*s.capacity())}, quiet...)
	measured, baselines, err := s.beside(ctx, phases(phase, quiet, loud))
	if err != nil {
		return err
	}
	isSmall := func(sample Sample) bool { return sample.Workspace != large }
	alone, ours := measured[0], measured[1].Where(isSmall)
	before, after := alone.FirstToken(0.95), ours.Served().FirstToken(0.95)
	s.add("fairness", "small first token p95 to alone", after/before, AtMost, 1.5, inMilliseconds(after),
		withBaseline(inMilliseconds(before), baselines, func(b []Samples) string {
			return inMilliseconds(b[1].Where(isSmall).Served().FirstToken(0.95))
		}))
	s.add("fairness", "small refused share", share(len(ours.Refused()), len(ours)), AtMost, share(len(alone.Refused()), len(alone))+0.01,
		fmt.Sprintf("%d of %d", len(ours.Refused()), len(ours)), fmt.Sprintf("alone %d of %d", len(alone.Refused()), len(alone)))
	return nil
}

// overload compares goodput at capacity and far above it.
func (s *Suite) overload(ctx context.Context) error {
	mix := func(factor float64) []Flow {
		rate := factor * s.capacity()
		return []Flow{
			small(plans.RankUrgent, 0, 0.2*rate), small(plans.RankNormal, 1, 0.4*rate), small(plans.RankBatch, 2, 0.4*rate),
		}
	}
	measured, baselines, err := s.beside(ctx, phases(2*phase, mix(1), mix(floodFactor)))
	if err != nil {
		return err
	}
	full, over := measured[0], measured[1]
	good, base := over.Goodput(targets()), full.Goodput(targets())
	s.add("overload", "goodput to that at capacity", share(good, base), AtLeast, 0.9, fmt.Sprintf("%d of %d", good, len(over)),
		withBaseline(fmt.Sprintf("%d of %d", base, len(full)), baselines, func(b []Samples) string {
			return fmt.Sprintf("%d of %d", b[1].Goodput(targets()), len(b[1]))
		}))
	s.add("overload", "refusal p95 in ms", over.RefusalTime(0.95), AtMost, 50,
		fmt.Sprintf("%d refused", len(over.Refused())), fmt.Sprintf("%d refused", len(full.Refused())))
	return nil
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
