package cache

import (
	"context"
	"errors"
	"time"

	"magnoliaspoke.example/spoke"
)

// verifyReserve is the share of the time limit that is kept for the verification after the
// last pull.
const verifyReserve = 0.1

// execution runs one planner over the clients.
type execution struct {
	owner   *Importer
	job     ImportJob
	plan    importPlan
	started time.Time
	results chan PlannerMessage
	pulled  int
}

// execute runs the planner until it has finished. All calls end with the limit of the import,
// so the planner always finishes.
func (m *Importer) execute(ctx context.Context, job ImportJob, plan importPlan) FinishImport {
	run := &execution{
		owner:   m,
		job:     job,
		plan:    plan,
		started: m.clock.Now(),
		results: make(chan PlannerMessage, 2*len(plan.blocks)+1),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	planner := NewPlanner()
	limit := m.clock.After(run.limit())
	defer func() { limit.Stop() }()
	actions := planner.Handle(BeginImport{Blocks: plan.blocks})
	for {
		for _, action := range actions {
			if result, ok := action.(FinishImport); ok {
				return result
			}
			run.start(ctx, action)
		}
		select {
		case message := <-run.results:
			if done, ok := message.(PullDone); ok && done.Imported {
				// Each block that arrived extends the limit by the time it saves.
				run.pulled++
				limit.Stop()
				limit = m.clock.After(max(time.Nanosecond, run.started.Add(run.limit()).Sub(m.clock.Now())))
			}
			actions = planner.Handle(message)
		case <-limit.C():
			actions = planner.Handle(ImportLimit{})
		case <-ctx.Done():
			actions = planner.Handle(ImportLimit{})
			// The calls in progress end with the context and finish the planner.
			ctx = context.WithoutCancel(ctx)
		}
	}
}

// limit returns the time since the start at which the import ends.
func (x *execution) limit() time.Duration {
	if x.owner.unlimited {
		return unlimitedTime
	}
	return x.plan.grant.Limit(time.Duration(x.pulled) * x.plan.piece)
}

// start runs one action in a goroutine; its result is a message to the planner.
func (x *execution) start(ctx context.Context, action PlannerAction) {
	limit := x.limit()
	ends := x.started.Add(limit)
	pullEnds := x.started.Add(time.Duration((1 - verifyReserve) * float64(limit)))
	go func() {
		switch a := action.(type) {
		case LookupMeta:
			meta, err := x.lookup(ctx, x.lookupEnds(pullEnds), a.PlacedBlock)
			x.results <- MetaFound{Block: a.Block, Meta: meta, Err: err}
		case PinBlock:
			ctx, cancel := x.within(ctx, pullEnds)
			defer cancel()
			err := x.owner.store.Pin(ctx, a.Store, a.Key, a.Generation, pinTime)
			x.results <- PinDone{Block: a.Block, Err: err}
		case PullBlock:
			imported, err := x.pull(ctx, pullEnds, a.Import)
			x.results <- PullDone{Block: a.Block, Imported: imported, Err: err}
		case VerifyMeta:
			ctx, cancel := x.within(ctx, ends)
			defer cancel()
			meta, err := x.owner.store.Meta(ctx, a.Store, a.Key)
			x.results <- MetaFound{Block: a.Block, Meta: meta, Err: err}
		}
	}()
}

// lookupEnds bounds the lookups by the time that every import may lose: what earlier imports
// saved is for slow links, and a store host that does not even answer a lookup is dead.
func (x *execution) lookupEnds(pullEnds time.Time) time.Time {
	if x.owner.unlimited {
		return pullEnds
	}
	ends := x.started.Add(extraOf(x.plan.grant.recompute))
	if ends.Before(pullEnds) {
		return ends
	}
	return pullEnds
}

func (x *execution) within(ctx context.Context, ends time.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, ends.Sub(x.owner.clock.Now()))
}

// lookup reads what a store host holds; no answer within the limit marks the host as dead.
func (x *execution) lookup(ctx context.Context, ends time.Time, block PlacedBlock) (spoke.BlockMeta, error) {
	limited, cancel := x.within(ctx, ends)
	defer cancel()
	meta, err := x.owner.store.Meta(limited, block.Store, block.Key)
	if ctx.Err() != nil {
		return meta, err
	}
	x.owner.links.measure(func(now time.Time, rates *Rates[spoke.Address]) {
		switch {
		case errors.Is(err, spoke.ErrBlockMissing):
			if x.plan.probe {
				rates.ReleaseProbe(now, block.Store)
			}
		case err != nil:
			rates.Dead(now, block.Store)
		}
	})
	return meta, err
}

// pull makes the engine pull one block when the link is free, and measures the link.
func (x *execution) pull(ctx context.Context, ends time.Time, block spoke.BlockImport) (bool, error) {
	limited, cancel := x.within(ctx, ends)
	defer cancel()
	release, err := x.owner.links.Acquire(limited, block.Store, x.job.Order, block.Length)
	if err != nil {
		// Nothing was sent to the engine, so the block is a plain miss.
		return false, nil
	}
	defer release()
	started := x.owner.clock.Now()
	result, err := x.owner.engine.Import(limited, x.job.Engine, []spoke.BlockImport{block})
	took := x.owner.clock.Now().Sub(started)
	imported := err == nil && len(result.Imported) == 1 && result.Imported[0] == block.Key
	if ctx.Err() == nil {
		x.measure(block, imported, took, ends.Sub(started))
	}
	return imported, err
}

// measure notes the rate of a pull. A rejection well before the limit tells nothing about the
// link, because the engine also rejects damaged blocks.
func (x *execution) measure(block spoke.BlockImport, imported bool, took, allowed time.Duration) {
	size := float64(block.Length)
	x.owner.links.measure(func(now time.Time, rates *Rates[spoke.Address]) {
		switch {
		case imported && x.plan.probe:
			rates.Replace(now, block.Store, size, took)
		case imported:
			rates.Observe(now, block.Store, size, took)
		case took > allowed/2:
			rates.Slow(now, block.Store, size, took, x.plan.probe)
		}
	})
	x.owner.mu.Lock()
	x.owner.length = block.Length
	x.owner.mu.Unlock()
}
