package cases

import (
	"context"
	"fmt"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cmd/trial/plans"
	"magnoliaspoke.example/spoke/cmd/trial/setup"
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
	return s.within(ctx, s.User.Plan(), func(t *traffic) error {
		calm := t.run(ctx, phase, urgent)
		if err := setup.Wait(ctx, settle); err != nil {
			return err
		}
		flooded := t.run(ctx, phase, urgent, small(plans.RankBatch, 1, floodFactor*s.capacity()))
		if err := checkBroken("flood of batch", flooded); err != nil {
			return err
		}
		ours := flooded.OfRank(plans.RankUrgent)
		alone, beside := calm.FirstToken(0.95), ours.Served().FirstToken(0.95)
		s.add("flood-batch", "urgent first token p95 to unloaded", beside/alone, AtMost, 1.2, inMilliseconds(beside), inMilliseconds(alone))
		s.add("flood-batch", "urgent refused", float64(len(ours.Refused())), AtMost, 0,
			fmt.Sprintf("%d of %d", len(ours.Refused()), len(ours)), fmt.Sprintf("unloaded %d of %d", len(calm.Refused()), len(calm)))
		return nil
	})
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
	return s.within(ctx, s.User.Plan(), func(t *traffic) error {
		alone := t.run(ctx, phase, quiet...)
		if err := setup.Wait(ctx, settle); err != nil {
			return err
		}
		flows := append([]Flow{small(plans.RankNormal, large, 20*0.05*s.capacity())}, quiet...)
		beside := t.run(ctx, phase, flows...)
		if err := checkBroken("fairness", beside); err != nil {
			return err
		}
		ours := beside.Where(func(sample Sample) bool { return sample.Workspace != large })
		before, after := alone.FirstToken(0.95), ours.Served().FirstToken(0.95)
		s.add("fairness", "small first token p95 to alone", after/before, AtMost, 1.5, inMilliseconds(after), inMilliseconds(before))
		s.add("fairness", "small refused share", share(len(ours.Refused()), len(ours)), AtMost, share(len(alone.Refused()), len(alone))+0.01,
			fmt.Sprintf("%d of %d", len(ours.Refused()), len(ours)), fmt.Sprintf("alone %d of %d", len(alone.Refused()), len(alone)))
		return nil
	})
}

// overload compares goodput at capacity and far above it.
func (s *Suite) overload(ctx context.Context) error {
	mix := func(factor float64) []Flow {
		rate := factor * s.capacity()
		return []Flow{
			small(plans.RankUrgent, 0, 0.2*rate), small(plans.RankNormal, 1, 0.4*rate), small(plans.RankBatch, 2, 0.4*rate),
		}
	}
	return s.within(ctx, s.User.Plan(), func(t *traffic) error {
		full := t.run(ctx, 2*phase, mix(1)...)
		if err := setup.Wait(ctx, settle); err != nil {
			return err
		}
		over := t.run(ctx, 2*phase, mix(floodFactor)...)
		if err := checkBroken("overload", over); err != nil {
			return err
		}
		good, base := over.Goodput(targets()), full.Goodput(targets())
		s.add("overload", "goodput to that at capacity", share(good, base), AtLeast, 0.9,
			fmt.Sprintf("%d of %d", good, len(over)), fmt.Sprintf("%d of %d", base, len(full)))
		slow := over.RefusalTime(0.95)
		s.add("overload", "refusal p95 in ms", slow, AtMost, 50,
			fmt.Sprintf("%d refused", len(over.Refused())), fmt.Sprintf("%d refused", len(full.Refused())))
		return nil
	})
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
