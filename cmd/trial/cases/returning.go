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
	returningPrompts = 60
	returningPieces  = 8
)

// returning measures prompts that come back after their blocks were evicted.
func (s *Suite) returning(ctx context.Context) error {
	var without Samples
	plan := s.User.Plan()
	ours, baselines, err := s.beside(ctx, func(ctx context.Context, t *traffic) ([]Samples, error) {
		var second Samples
		err := t.comeBack(ctx, &second)
		return []Samples{second}, err
	})
	if err != nil {
		return err
	}
	with := ours[0]
	if err := s.within(ctx, plans.WithoutStores(plan), func(t *traffic) error { return t.comeBack(ctx, &without) }); err != nil {
		return err
	}
	s.add("return", "recomputed share", with.Recomputed(), AtMost, 0.1,
		fmt.Sprintf("%.1f%%", 100*with.Recomputed()), withBaseline(fmt.Sprintf("without store %.1f%%", 100*without.Recomputed()), baselines, func(b []Samples) string {
			return fmt.Sprintf("%.1f%%", 100*b[0].Recomputed())
		}))
	first, base := with.FirstToken(0.5), without.FirstToken(0.5)
	s.add("return", "first token p50 to baseline", first/base, AtMost, 0.5, inMilliseconds(first),
		withBaseline(inMilliseconds(base), baselines, func(b []Samples) string { return inMilliseconds(b[0].FirstToken(0.5)) }))
	return nil
}

// comeBack sends all prompts twice in the same order and keeps the samples of
// the second round; the caches hold less than one round.
func (t *traffic) comeBack(ctx context.Context, second *Samples) error {
	prompts := t.fixedPrompts()
	first := t.inTurn(ctx, prompts)
	if err := checkBroken("first round", first); err != nil {
		return err
	}
	*second = t.inTurn(ctx, prompts)
	return checkBroken("second round", *second)
}

func (t *traffic) fixedPrompts() []load.Request {
	asks := make([]load.Request, returningPrompts)
	for i := range asks {
		asks[i] = t.ask(Flow{Rank: plans.RankNormal, Workspace: i % plans.BenchWorkspaces, Size: returningPieces * spoke.PieceSize})
	}
	return asks
}

// inTurn sends each prompt through a fixed host, one prompt at a time for each
// engine, as callers near a data centre do.
func (t *traffic) inTurn(ctx context.Context, asks []load.Request) Samples {
	t.samples = nil
	jobs := make(chan int)
	var workers sync.WaitGroup
	for range engines(t.session.Fleet.Plan()) {
		workers.Go(func() {
			for i := range jobs {
				flow := Flow{Rank: asks[i].Rank, Workspace: i % plans.BenchWorkspaces}
				t.measure(ctx, t.callers[i%len(t.callers)], flow, asks[i])
			}
		})
	}
	for i := range asks {
		jobs <- i
	}
	close(jobs)
	workers.Wait()
	return t.samples
}

func engines(plan fleet.Plan) int {
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
