package cases

import (
	"context"
	"fmt"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cmd/trial/plans"
)

const (
	// floodFactor is the load of a flood as a multiple of capacity.
	floodFactor = 5
	// urgentLoadShare is the load of urgent requests during a flood of batch requests, as a fraction of capacity.
	urgentLoadShare = 0.1
	// otherLoadShare is the load of each other rank during a flood of urgent requests, as a fraction of capacity.
	otherLoadShare = 0.2
)

func smallFlow(rank spoke.RankName, workspace int, rate float64) Flow {
	return Flow{Rank: rank, Workspace: workspace, Rate: rate, Size: spoke.PieceSize}
}

// floodOfBatch measures urgent requests while the least urgent rank floods the set-up.
func (s *Suite) floodOfBatch(ctx context.Context) error {
	urgent := smallFlow(plans.RankUrgent, 0, urgentLoadShare*s.capacity())
	flood := []Flow{urgent, smallFlow(plans.RankBatch, 1, floodFactor*s.capacity())}
	measured, baselines, err := s.measureWithBaselines(ctx, phases(phaseDuration, []Flow{urgent}, flood))
	if err != nil {
		return err
	}
	unloaded, urgentInFlood := measured[0], measured[1].OfRank(plans.RankUrgent)
	unloadedP95, floodP95 := unloaded.FirstToken(0.95), urgentInFlood.Served().FirstToken(0.95)
	s.addRow("flood-batch", "urgent first token p95 to unloaded", floodP95/unloadedP95, AtMost, 1.2, formatMilliseconds(floodP95),
		withBaseline(formatMilliseconds(unloadedP95), baselines, func(b []Samples) string {
			return formatMilliseconds(b[1].OfRank(plans.RankUrgent).Served().FirstToken(0.95))
		}))
	s.addRow("flood-batch", "urgent refused", float64(len(urgentInFlood.Refused())), AtMost, 0,
		fmt.Sprintf("%d of %d", len(urgentInFlood.Refused()), len(urgentInFlood)), fmt.Sprintf("unloaded %d of %d", len(unloaded.Refused()), len(unloaded)))
	return nil
}

// floodOfUrgent measures the share of capacity that other ranks get while the most urgent rank floods the set-up.
func (s *Suite) floodOfUrgent(ctx context.Context) error {
	normal := smallFlow(plans.RankNormal, 0, otherLoadShare*s.capacity())
	batch := smallFlow(plans.RankBatch, 1, otherLoadShare*s.capacity())
	return s.withTraffic(ctx, s.Installation.Plan(), func(t *trafficGenerator) error {
		flooded := t.run(ctx, 2*phaseDuration, normal, batch, smallFlow(plans.RankUrgent, 2, floodFactor*s.capacity()))
		if err := checkNoneFailed("flood of urgent", flooded); err != nil {
			return err
		}
		served := flooded.Served()
		others := len(served) - len(served.OfRank(plans.RankUrgent))
		share := float64(others) / (s.capacity() * (2 * phaseDuration).Seconds())
		s.addRow("flood-urgent", "share of capacity of other ranks", share, AtLeast, 0.1,
			fmt.Sprintf("%d normal, %d batch", len(served.OfRank(plans.RankNormal)), len(served.OfRank(plans.RankBatch))),
			fmt.Sprintf("%d urgent", len(served.OfRank(plans.RankUrgent))))
		return nil
	})
}

// fairness measures nine small workspaces while another one sends twenty times the load of each.
func (s *Suite) fairness(ctx context.Context) error {
	const largeWorkspace = 9
	var smallFlows []Flow
	for workspace := range largeWorkspace {
		smallFlows = append(smallFlows, smallFlow(plans.RankNormal, workspace, 0.05*s.capacity()))
	}
	allFlows := append([]Flow{smallFlow(plans.RankNormal, largeWorkspace, 20*0.05*s.capacity())}, smallFlows...)
	measured, baselines, err := s.measureWithBaselines(ctx, phases(phaseDuration, smallFlows, allFlows))
	if err != nil {
		return err
	}
	isSmall := func(sample Sample) bool { return sample.Workspace != largeWorkspace }
	smallAlone, smallWithLarge := measured[0], measured[1].Filter(isSmall)
	aloneP95, withLargeP95 := smallAlone.FirstToken(0.95), smallWithLarge.Served().FirstToken(0.95)
	s.addRow("fairness", "small first token p95 to alone", withLargeP95/aloneP95, AtMost, 1.5, formatMilliseconds(withLargeP95),
		withBaseline(formatMilliseconds(aloneP95), baselines, func(b []Samples) string {
			return formatMilliseconds(b[1].Filter(isSmall).Served().FirstToken(0.95))
		}))
	s.addRow("fairness", "small refused share", share(len(smallWithLarge.Refused()), len(smallWithLarge)), AtMost, share(len(smallAlone.Refused()), len(smallAlone))+0.01,
		fmt.Sprintf("%d of %d", len(smallWithLarge.Refused()), len(smallWithLarge)), fmt.Sprintf("alone %d of %d", len(smallAlone.Refused()), len(smallAlone)))
	return nil
}

// overload compares goodput at floodFactor times capacity with that at capacity.
func (s *Suite) overload(ctx context.Context) error {
	mixedFlows := func(factor float64) []Flow {
		rate := factor * s.capacity()
		return []Flow{
			smallFlow(plans.RankUrgent, 0, 0.2*rate), smallFlow(plans.RankNormal, 1, 0.4*rate), smallFlow(plans.RankBatch, 2, 0.4*rate),
		}
	}
	measured, baselines, err := s.measureWithBaselines(ctx, phases(2*phaseDuration, mixedFlows(1), mixedFlows(floodFactor)))
	if err != nil {
		return err
	}
	atCapacity, overloaded := measured[0], measured[1]
	goodput, capacityGoodput := overloaded.Goodput(firstTokenTargets()), atCapacity.Goodput(firstTokenTargets())
	s.addRow("overload", "goodput to that at capacity", share(goodput, capacityGoodput), AtLeast, 0.9, fmt.Sprintf("%d of %d", goodput, len(overloaded)),
		withBaseline(fmt.Sprintf("%d of %d", capacityGoodput, len(atCapacity)), baselines, func(b []Samples) string {
			return fmt.Sprintf("%d of %d", b[1].Goodput(firstTokenTargets()), len(b[1]))
		}))
	s.addRow("overload", "refusal p95 in ms", overloaded.RefusalTime(0.95), AtMost, 50,
		fmt.Sprintf("%d refused", len(overloaded.Refused())), fmt.Sprintf("%d refused", len(atCapacity.Refused())))
	return nil
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
