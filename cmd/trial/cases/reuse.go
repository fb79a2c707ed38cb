package cases

import (
	"context"
	"fmt"
	"sync"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cmd/trial/load"
	"magnoliaspoke.example/spoke/cmd/trial/plans"
	"magnoliaspoke.example/spoke/fleet"
)

const (
	reusePromptCount = 60
	piecesPerPrompt  = 8
)

// promptReuse measures prompts that are repeated after their blocks were evicted from the engines.
func (s *Suite) promptReuse(ctx context.Context) error {
	var withoutStores Samples
	plan := s.Installation.Plan()
	measured, baselines, err := s.measureWithBaselines(ctx, func(ctx context.Context, t *trafficGenerator) ([]Samples, error) {
		var secondRound Samples
		err := t.sendTwice(ctx, &secondRound)
		return []Samples{secondRound}, err
	})
	if err != nil {
		return err
	}
	withStores := measured[0]
	if err := s.withTraffic(ctx, plans.WithoutStores(plan), func(t *trafficGenerator) error { return t.sendTwice(ctx, &withoutStores) }); err != nil {
		return err
	}
	s.addRow("return", "recomputed share", withStores.RecomputedShare(), AtMost, 0.1,
		fmt.Sprintf("%.1f%%", 100*withStores.RecomputedShare()), withBaseline(fmt.Sprintf("without store %.1f%%", 100*withoutStores.RecomputedShare()), baselines, func(b []Samples) string {
			return fmt.Sprintf("%.1f%%", 100*b[0].RecomputedShare())
		}))
	first, baseline := withStores.FirstToken(0.5), withoutStores.FirstToken(0.5)
	s.addRow("return", "first token p50 to baseline", first/baseline, AtMost, 0.5, formatMilliseconds(first),
		withBaseline(formatMilliseconds(baseline), baselines, func(b []Samples) string { return formatMilliseconds(b[0].FirstToken(0.5)) }))
	return nil
}

// sendTwice sends all prompts twice in the same order and stores the samples of the second
// round. The engines' caches hold less than one round, so that each prompt is evicted before it is repeated.
func (t *trafficGenerator) sendTwice(ctx context.Context, secondRound *Samples) error {
	prompts := t.newPromptSet()
	first := t.sendPrompts(ctx, prompts)
	if err := checkNoneFailed("first round", first); err != nil {
		return err
	}
	*secondRound = t.sendPrompts(ctx, prompts)
	return checkNoneFailed("second round", *secondRound)
}

func (t *trafficGenerator) newPromptSet() []load.Request {
	requests := make([]load.Request, reusePromptCount)
	for i := range requests {
		requests[i] = t.newRequest(Flow{Rank: plans.RankNormal, Workspace: i % plans.BenchWorkspaces, Size: piecesPerPrompt * spoke.PieceSize})
	}
	return requests
}

// sendPrompts sends each prompt through a fixed host, as callers near a data centre do, with as many
// requests in flight as there are engines.
func (t *trafficGenerator) sendPrompts(ctx context.Context, requests []load.Request) Samples {
	t.samples = nil
	jobs := make(chan int)
	var workers sync.WaitGroup
	for range engineCount(t.session.Fleet.Plan()) {
		workers.Go(func() {
			for i := range jobs {
				flow := Flow{Rank: requests[i].Rank, Workspace: i % plans.BenchWorkspaces}
				t.measure(ctx, t.callers[i%len(t.callers)], flow, requests[i])
			}
		})
	}
	for i := range requests {
		jobs <- i
	}
	close(jobs)
	workers.Wait()
	return t.samples
}

func engineCount(plan fleet.Plan) int {
	count := 0
	for _, centre := range plan.DataCentres {
		for _, upstream := range centre.Upstreams {
			if upstream.Kind == fleet.KindEngine {
				count++
			}
		}
	}
	return count
}
